//! Hollow collectors: one a zone, each forwards its part of the reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::{Fleet, Traffic};

const REDIAL: Duration = Duration::from_millis(100);
/// Reports are written so often.
const EVERY: Duration = Duration::from_millis(100);
/// What a report says it covers, in ms.
const INTERVAL: u32 = 2000;

/// The collectors of one manager, until they are dropped.
pub struct Collectors {
    traffic: Arc<Traffic>,
    _tasks: JoinSet<()>,
}

impl Collectors {
    /// So many reports a second go to the manager, of all collectors together.
    pub fn start(manager: SocketAddr, fleet: &Fleet, reports_per_second: f64) -> Collectors {
        let traffic = Arc::<Traffic>::default();
        let mut tasks = JoinSet::new();
        for zone in 0..fleet.zones {
            let collector = Collector {
                manager,
                zone,
                fleet: fleet.clone(),
                per_second: reports_per_second / fleet.zones as f64,
                traffic: traffic.clone(),
            };
            tasks.spawn(collector.run());
        }
        Collectors { traffic, _tasks: tasks }
    }

    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

struct Collector {
    manager: SocketAddr,
    zone: usize,
    fleet: Fleet,
    per_second: f64,
    traffic: Arc<Traffic>,
}

impl Collector {
    async fn run(self) {
        loop {
            // Whatever ended the connection, a collector dials again.
            _ = self.forward().await;
            sleep(REDIAL).await;
        }
    }

    async fn forward(&self) -> std::io::Result<()> {
        let mut socket = TcpStream::connect(self.manager).await?;
        socket.set_nodelay(true)?;
        let zone = Fleet::zone_name(self.zone);
        self.write(&mut socket, &format!("agent locality={zone}\r\n")).await?;
        let mut ticks = interval(EVERY);
        let (mut due, mut turn) = (0.0, self.zone);
        loop {
            ticks.tick().await;
            due += self.per_second * EVERY.as_secs_f64();
            let mut reports = String::new();
            while due >= 1.0 {
                let endpoint = Fleet::worker_name(turn % self.fleet.workers);
                reports += &format!(
                    "outcomes locality={zone} endpoint={endpoint} total=40 errors=0 rtt={rtt} interval={INTERVAL} \
                     metrics=inflight:2,util:0.40\r\n",
                    rtt = 40 + turn % 5,
                );
                due -= 1.0;
                turn += 1;
            }
            self.write(&mut socket, &reports).await?;
        }
    }

    async fn write(&self, socket: &mut TcpStream, text: &str) -> std::io::Result<()> {
        socket.write_all(text.as_bytes()).await?;
        self.traffic.add_sent(text.len());
        Ok(())
    }
}
