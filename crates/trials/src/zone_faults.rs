//! Simulated zone failures, and stand-ins for collectors, which report the resulting error counts to managers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::topology::WORKERS;

/// The failures that are currently simulated.
#[derive(Clone, Default)]
struct Conditions {
    /// Zones in which every request fails.
    lost: Vec<String>,
    /// Zones partitioned from all zones outside this list.
    cut_off: Vec<String>,
    /// Time between the end of an interval and the sending of its report.
    report_delay: Duration,
}

/// Interval between two reports of a collector.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// The zone failures that are currently simulated, shared with the collectors that report their effects. Initially
/// there are none.
#[derive(Default)]
pub struct ZoneFaults(Mutex<Conditions>);

impl ZoneFaults {
    /// Makes every request to these zones fail. Replaces the zones of earlier calls.
    pub fn set_lost(&self, zones: &[&str]) {
        self.with_conditions(|conditions| {
            conditions.lost = zones.iter().map(|zone| zone.to_string()).collect()
        });
    }

    /// Partitions these zones from all others: requests across the boundary fail, in both directions. Replaces the
    /// zones of earlier calls.
    pub fn set_cut_off(&self, zones: &[&str]) {
        self.with_conditions(|conditions| {
            conditions.cut_off = zones.iter().map(|zone| zone.to_string()).collect()
        });
    }

    /// Delays all further reports by this long.
    pub fn set_report_delay(&self, report_delay: Duration) {
        self.with_conditions(|conditions| conditions.report_delay = report_delay);
    }

    fn with_conditions<R>(&self, access: impl FnOnce(&mut Conditions) -> R) -> R {
        access(&mut self.0.lock().expect("no collector panics"))
    }

    /// Starts a thread that reports to a manager the outcomes that the proxies of a zone observe at each worker. The
    /// thread ends with the connection.
    pub fn start_collector(self: &Arc<Self>, zone: &'static str, manager: SocketAddr) {
        let faults = self.clone();
        thread::spawn(move || {
            let Ok(mut socket) = TcpStream::connect(manager) else { return };
            if write!(socket, "agent locality={zone}\r\n").is_err() {
                return;
            }
            loop {
                thread::sleep(REPORT_INTERVAL);
                let Conditions { lost, cut_off, report_delay } =
                    faults.with_conditions(|conditions| conditions.clone());
                let mut report = String::new();
                for (worker, worker_zone) in WORKERS {
                    let separated = cut_off.iter().any(|cut_off| cut_off == zone)
                        != cut_off.iter().any(|cut_off| cut_off == worker_zone);
                    let errors =
                        if lost.iter().any(|lost| lost == worker_zone) || separated { 30 } else { 0 };
                    report += &format!(
                        "outcomes locality={zone} endpoint={worker} total=30 errors={errors} rtt=40 interval=300 \
                         metrics=inflight:2,util:0.50\r\n"
                    );
                }
                thread::sleep(report_delay);
                if socket.write_all(report.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}
