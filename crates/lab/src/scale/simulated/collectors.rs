//! Simulated collectors: one per zone, each of which sends an equal share of the reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

use super::{Fleet, Traffic};

const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The time between two writes of reports.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The period that a report states.
const REPORT_PERIOD_MS: u32 = 2000;

/// The collectors of one manager, until they are dropped.
pub struct Collectors {
    traffic: Arc<Traffic>,
    _tasks: JoinSet<()>,
}

impl Collectors {
    /// Starts a collector for each zone. Together they send the manager this many reports per second.
    pub fn start(manager: SocketAddr, fleet: &Fleet, reports_per_second: f64) -> Collectors {
        let traffic = Arc::<Traffic>::default();
        let mut tasks = JoinSet::new();
        for zone in 0..fleet.zones {
            let collector = Collector {
                manager,
                zone,
                fleet: fleet.clone(),
                reports_per_second: reports_per_second / fleet.zones as f64,
                traffic: traffic.clone(),
            };
            tasks.spawn(collector.run());
        }
        Collectors { traffic, _tasks: tasks }
    }

    /// The bytes of all collectors.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

struct Collector {
    manager: SocketAddr,
    zone: usize,
    fleet: Fleet,
    reports_per_second: f64,
    traffic: Arc<Traffic>,
}

impl Collector {
    async fn run(self) {
        loop {
            // A collector reconnects after any error.
            _ = self.send_reports().await;
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Connects to the manager and sends reports until the connection fails.
    async fn send_reports(&self) -> std::io::Result<()> {
        let mut socket = TcpStream::connect(self.manager).await?;
        socket.set_nodelay(true)?;
        let zone = Fleet::zone_name(self.zone);
        self.write(&mut socket, &format!("agent locality={zone}\r\n")).await?;
        let mut ticks = interval(WRITE_INTERVAL);
        // The amount of reports due, with a fraction, and the number of the next report, which selects its worker.
        let (mut due, mut number) = (0.0, self.zone);
        loop {
            ticks.tick().await;
            due += self.reports_per_second * WRITE_INTERVAL.as_secs_f64();
            let mut reports = String::new();
            while due >= 1.0 {
                let endpoint = Fleet::worker_name(number % self.fleet.workers);
                reports += &format!(
                    "outcomes locality={zone} endpoint={endpoint} total=40 errors=0 rtt={rtt} interval={REPORT_PERIOD_MS} \
                     metrics=inflight:2,util:0.40\r\n",
                    rtt = 40 + number % 5,
                );
                due -= 1.0;
                number += 1;
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
