//! NETCONF beside the decisions: from a commit to the last proxy that holds it, turns with and without a flood of
//! sessions, and what sessions cost in memory.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use juniperrail_client::{Client, Commit, Datastore};
use juniperrail_standins::Proxies;

use crate::cluster::{Cluster, ClusterSize, ManagerProcess, MANAGER_NAMESPACE};
use crate::report::Report;

const PROXIES: u16 = 150;
const SESSIONS: usize = 64;
/// A round of turns, once quiet and once under the flood.
const ROUND: Duration = Duration::from_secs(3);

pub fn run(report: &mut Report, commits: u32, rounds: u32) {
    let size = ClusterSize { workers: 30, proxies: PROXIES, managers: 1, report_period_ms: 2000 };
    held(report, size, commits);
    let quick = ClusterSize { report_period_ms: 160, ..size };
    turns(report, quick, rounds);
    memory(report, quick);
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn joined(town: &Cluster, manager: &ManagerProcess) -> Proxies {
    let proxies = Proxies::start(manager.address, 0, PROXIES, &["a", "b", "c"], town.rules());
    proxies.wait_until("every proxy has a table", |rules| {
        (0..PROXIES).all(|proxy| rules.routable_workers(proxy).len() >= 10)
    });
    proxies
}

fn worker(name: &str, body: &str) -> String {
    format!("<workers xmlns=\"{MANAGER_NAMESPACE}\"><worker><name>{name}</name>{body}</worker></workers>")
}

/// From the commit to the notice that all hold it, as a client sees it.
fn held(report: &mut Report, size: ClusterSize, commits: u32) {
    let town = Cluster::new("held", size);
    let manager = town.start_manager("n0", None);
    let proxies = joined(&town, &manager);
    let mut rng = fastrand::Rng::with_seed(17);
    let histogram = || Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("the bounds are sound");
    let (mut drains, mut weights) = (histogram(), histogram());
    let mut unheld = 0;
    runtime().block_on(async {
        let mut client = town.connect(&manager).await;
        let mut watcher = town.connect(&manager).await;
        let filter = "<change-held xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
        watcher.subscribe(Some(filter)).await.expect("a subscription");
        for turn in 0..commits {
            let name = town.worker_name(rng.usize(..size.workers));
            let back = worker(&name, "<wanted>follow</wanted>");
            let (body, times): (String, _) = match turn % 2 {
                0 => ("<wanted>draining</wanted>".into(), &mut drains),
                _ => (format!("<weight>{:.2}</weight>", 0.5 + rng.f64()), &mut weights),
            };
            let asked = Instant::now();
            client.edit(&worker(&name, &body)).await.expect("a sound edit");
            client.commit(&Commit::default()).await.expect("a sound commit");
            let told = tokio::time::timeout(Duration::from_secs(30), watcher.next_notification()).await;
            match told {
                Ok(Ok(_)) => times.saturating_record(asked.elapsed().as_micros() as u64),
                _ => unheld += 1,
            }
            if turn % 2 == 0 {
                client.edit(&back).await.expect("a sound edit");
                client.commit(&Commit::default()).await.expect("a sound commit");
                _ = tokio::time::timeout(Duration::from_secs(30), watcher.next_notification()).await;
            }
        }
    });
    for (name, times) in [("drains", &drains), ("weights", &weights)] {
        let at = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
        report.figure(
            &format!("{name}: commit to held by {PROXIES} proxies, p50 ms"),
            format!("{:.1}", at(0.5)),
        );
        report.figure(
            &format!("{name}: commit to held by {PROXIES} proxies, p99 ms"),
            format!("{:.1}", at(0.99)),
        );
    }
    report.bound("commits that not all proxies held", unheld, unheld == 0);
    let broken = proxies.with_rules(|rules| rules.violations.len());
    report.bound("rules broken meanwhile", broken, broken == 0);
}

/// Sessions that ask for all there is, send edits that are refused, and bytes that are nothing, until they are told
/// to stop.
struct Flood {
    stop: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Flood {
    fn start(town: &Cluster, manager: &ManagerProcess) -> Flood {
        let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let dial = town.endpoint(manager);
        let thread = |number: usize| {
            let (stop, asked, dial) = (stop.clone(), asked.clone(), dial.clone());
            thread::spawn(move || {
                let flood = async {
                    let mut sessions = Vec::new();
                    for _ in 0..SESSIONS / 4 {
                        sessions.extend(Client::connect(&dial).await.ok());
                    }
                    let busy = |mut client: Client| {
                        let (stop, asked, dial) = (stop.clone(), asked.clone(), dial.clone());
                        async move {
                            let mut rng = fastrand::Rng::with_seed(number as u64);
                            while !stop.load(Ordering::Relaxed) {
                                let went = match rng.u8(..4) {
                                    0 => client.get(None).await.map(drop),
                                    1 => client.get_config(Datastore::Running, None).await.map(drop),
                                    2 => client.edit(&worker("s-1", "<weight>NaN</weight>")).await,
                                    // A gigabyte that is announced and never comes.
                                    _ => client.send_raw(b"\n#1073741824\n").await,
                                };
                                asked.fetch_add(1, Ordering::Relaxed);
                                if went.is_err_and(|failed| failed.rpc_errors().is_empty())
                                    || rng.u8(..4) == 3
                                {
                                    match Client::connect(&dial).await {
                                        Ok(again) => client = again,
                                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                                    }
                                }
                            }
                        }
                    };
                    let tasks = tokio::task::LocalSet::new();
                    for client in sessions {
                        tasks.spawn_local(busy(client));
                    }
                    tasks.await;
                };
                runtime().block_on(flood);
            })
        };
        let threads = (0..4).map(thread).collect();
        Flood { stop, asked, threads }
    }

    fn end(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        self.asked.load(Ordering::Relaxed)
    }
}

/// A collector that reports as a busy zone does.
fn collector(manager: SocketAddr, workers: usize, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let Ok(mut socket) = TcpStream::connect(manager) else { return };
        _ = write!(socket, "agent locality=a\r\n");
        while !stop.load(Ordering::Relaxed) {
            for worker in 0..workers {
                let met = format!("locality=a endpoint=s-{worker} total=20 errors=0 rtt=40 interval=160");
                if write!(socket, "outcomes {met}\r\n").is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(160));
        }
    })
}

/// Wakes that came late, quiet and under the flood, in turns. The manager has one processor for all its threads.
fn turns(report: &mut Report, size: ClusterSize, rounds: u32) {
    let town = Cluster::new("turns", size);
    let mut manager = town.start_manager("n0", Some(0));
    let _proxies = joined(&town, &manager);
    let stop = Arc::new(AtomicBool::new(false));
    let reports = collector(manager.address, size.workers, stop.clone());
    let mut asked = 0;
    // Short rounds in turns, so that what else the machine does falls on both alike.
    for _ in 0..rounds {
        for name in ["quiet", "flood"] {
            let flood = (name == "flood").then(|| Flood::start(&town, &manager));
            thread::sleep(Duration::from_secs(1));
            manager.discard_lateness();
            thread::sleep(ROUND);
            manager.save_lateness(name);
            asked += flood.map_or(0, Flood::end);
        }
    }
    stop.store(true, Ordering::Relaxed);
    _ = reports.join();
    let (quiet, flood) = (manager.lateness("quiet"), manager.lateness("flood"));
    for (name, of) in [("quiet", quiet), ("under the flood", flood)] {
        let ms = |us: u64| us as f64 / 1e3;
        let figures = format!("{:.2} {:.2} {:.2}", ms(of.p50_us), ms(of.p99_us), ms(of.max_us));
        report.figure(&format!("{} turns {name}, late by p50, p99, most ms", of.count), figures);
    }
    report.figure("operations of the flood", asked);
    let ratio = flood.p99_us as f64 / quiet.p99_us as f64;
    report.bound("late p99 under the flood over quiet, 1.2 at most", format!("{ratio:.3}"), ratio <= 1.2);
}

fn memory(report: &mut Report, size: ClusterSize) {
    let town = Cluster::new("memory", size);
    let manager = town.start_manager("n0", None);
    let _proxies = joined(&town, &manager);
    let resident = || manager.resident_kib() as f64 / 1024.0;
    let before = resident();
    report.figure("resident with 150 proxies, no session, MiB", format!("{before:.1}"));
    let runtime = runtime();
    let sessions = runtime.block_on(async {
        let mut sessions = Vec::new();
        for _ in 0..SESSIONS {
            sessions.push(town.connect(&manager).await);
        }
        sessions
    });
    let idle = resident();
    report.figure(&format!("with {SESSIONS} idle sessions, MiB"), format!("{idle:.1}"));
    drop(sessions);
    drop(runtime);
    // The sessions' ends are heard.
    thread::sleep(Duration::from_secs(1));
    let flood = Flood::start(&town, &manager);
    let mut most = 0.0f64;
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        most = most.max(resident());
    }
    let asked = flood.end();
    report.figure(
        &format!("with {SESSIONS} busy sessions, most MiB ({asked} operations)"),
        format!("{most:.1}"),
    );
    let first = most;
    let flood = Flood::start(&town, &manager);
    let mut again = 0.0f64;
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        again = again.max(resident());
    }
    flood.end();
    report.figure("the same once more, most MiB", format!("{again:.1}"));
    let growth = again / first;
    report.bound(
        "memory of the second flood over the first, 1.25 at most",
        format!("{growth:.2}"),
        growth <= 1.25,
    );
}
