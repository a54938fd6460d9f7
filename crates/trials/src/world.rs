//! What is true of zones, and collectors that tell managers what proxies meet in them, a while late.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::cluster::WORKERS;

#[derive(Clone, Default)]
struct Truth {
    /// Nobody is served there.
    lost: Vec<String>,
    /// Between these and all others nothing passes.
    cut: Vec<String>,
    late: Duration,
}

/// Sums come so often.
const EVERY: Duration = Duration::from_millis(300);

#[derive(Default)]
pub struct World(Mutex<Truth>);

impl World {
    pub fn lose(&self, zones: &[&str]) {
        self.truth(|truth| truth.lost = zones.iter().map(|zone| zone.to_string()).collect());
    }

    pub fn cut(&self, zones: &[&str]) {
        self.truth(|truth| truth.cut = zones.iter().map(|zone| zone.to_string()).collect());
    }

    /// Sums come so late from now on.
    pub fn late(&self, late: Duration) {
        self.truth(|truth| truth.late = late);
    }

    fn truth<R>(&self, with: impl FnOnce(&mut Truth) -> R) -> R {
        with(&mut self.0.lock().expect("no collector panics"))
    }

    /// A collector of a zone that tells a manager what its proxies meet, until that ends.
    pub fn collect(self: &Arc<Self>, zone: &'static str, manager: SocketAddr) {
        let world = self.clone();
        thread::spawn(move || {
            let Ok(mut socket) = TcpStream::connect(manager) else { return };
            if write!(socket, "agent locality={zone}\r\n").is_err() {
                return;
            }
            loop {
                thread::sleep(EVERY);
                let Truth { lost, cut, late } = world.truth(|truth| truth.clone());
                let mut told = String::new();
                for (worker, of) in WORKERS {
                    let apart = cut.iter().any(|c| c == zone) != cut.iter().any(|c| c == of);
                    let bad = if lost.iter().any(|lost| lost == of) || apart { 30 } else { 0 };
                    told += &format!(
                        "outcomes locality={zone} endpoint={worker} total=30 errors={bad} rtt=40 interval=300 \
                         metrics=inflight:2,util:0.50\r\n"
                    );
                }
                thread::sleep(late);
                if socket.write_all(told.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}
