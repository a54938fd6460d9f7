//! The load of NETCONF on a manager: the time from a commit until the last proxy holds it, the lateness of turns with
//! and without a flood of sessions, and the memory that sessions take.

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
/// Threads that run the sessions of the flood, an equal part each.
const FLOOD_THREADS: usize = 4;
/// Length of a measurement window of turns; each round has one without and one with the flood.
const ROUND_DURATION: Duration = Duration::from_secs(3);
/// Time that a client waits for the notification that all proxies hold a commit.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(30);

pub fn run(report: &mut Report, commits: u32, rounds: u32) {
    let size = ClusterSize { workers: 30, proxies: PROXIES, managers: 1, report_period_ms: 2000 };
    commit_times(report, size, commits);
    let short_period = ClusterSize { report_period_ms: 160, ..size };
    turn_lateness(report, short_period, rounds);
    session_memory(report, short_period);
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Starts the proxies and waits until each has a table of at least 10 workers, as many as a zone has.
fn join_proxies(cluster: &Cluster, manager: &ManagerProcess) -> Proxies {
    let proxies = Proxies::start(manager.address, 0, PROXIES, &["a", "b", "c"], cluster.rules());
    proxies.wait_until("every proxy has a table", |checker| {
        (0..PROXIES).all(|proxy| checker.routable_workers(proxy).len() >= 10)
    });
    proxies
}

fn worker_edit(name: &str, body: &str) -> String {
    format!("<workers xmlns=\"{MANAGER_NAMESPACE}\"><worker><name>{name}</name>{body}</worker></workers>")
}

/// Measures the time from the start of an edit, through its commit, to the notification that all proxies hold the
/// change, as seen by a client.
fn commit_times(report: &mut Report, size: ClusterSize, commits: u32) {
    let cluster = Cluster::new("held", size);
    let manager = cluster.start_manager("n0", None);
    let proxies = join_proxies(&cluster, &manager);
    let mut rng = fastrand::Rng::with_seed(17);
    let new_histogram =
        || Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid");
    let (mut drain_times, mut weight_times) = (new_histogram(), new_histogram());
    let mut unconfirmed = 0;
    runtime().block_on(async {
        let mut client = cluster.connect(&manager).await;
        let mut watcher = cluster.connect(&manager).await;
        let filter = "<change-held xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
        watcher.subscribe(Some(filter)).await.expect("a subscription");
        for number in 0..commits {
            let name = cluster.worker_name(rng.usize(..size.workers));
            let revert = worker_edit(&name, "<wanted>follow</wanted>");
            let (body, times): (String, _) = match number % 2 {
                0 => ("<wanted>draining</wanted>".into(), &mut drain_times),
                _ => (format!("<weight>{:.2}</weight>", 0.5 + rng.f64()), &mut weight_times),
            };
            let started = Instant::now();
            client.edit(&worker_edit(&name, &body)).await.expect("the edit is valid");
            client.commit(&Commit::default()).await.expect("the commit is valid");
            let notification = tokio::time::timeout(NOTIFICATION_TIMEOUT, watcher.next_notification()).await;
            match notification {
                Ok(Ok(_)) => times.saturating_record(started.elapsed().as_micros() as u64),
                _ => unconfirmed += 1,
            }
            if number % 2 == 0 {
                client.edit(&revert).await.expect("the edit is valid");
                client.commit(&Commit::default()).await.expect("the commit is valid");
                _ = tokio::time::timeout(NOTIFICATION_TIMEOUT, watcher.next_notification()).await;
            }
        }
    });
    for (name, times) in [("drains", &drain_times), ("weights", &weight_times)] {
        let quantile_ms = |share| times.value_at_quantile(share) as f64 / 1000.0;
        report.figure(
            &format!("{name}: commit to held by {PROXIES} proxies, p50 ms"),
            format!("{:.1}", quantile_ms(0.5)),
        );
        report.figure(
            &format!("{name}: commit to held by {PROXIES} proxies, p99 ms"),
            format!("{:.1}", quantile_ms(0.99)),
        );
    }
    report.bound("commits that not all proxies held", unconfirmed, unconfirmed == 0);
    let violations = proxies.with_checker(|checker| checker.violations.len());
    report.bound("rules broken meanwhile", violations, violations == 0);
}

/// Sessions that request the complete state and configuration, send invalid edits and incomplete messages, and
/// reconnect at random, until they are stopped.
struct Flood {
    stop: Arc<AtomicBool>,
    operations: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Flood {
    fn start(cluster: &Cluster, manager: &ManagerProcess) -> Flood {
        let (stop, operations) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let endpoint = cluster.endpoint(manager);
        let spawn_thread = |number: usize| {
            let (stop, operations, endpoint) = (stop.clone(), operations.clone(), endpoint.clone());
            thread::spawn(move || {
                let flood = async {
                    let mut sessions = Vec::new();
                    for _ in 0..SESSIONS / FLOOD_THREADS {
                        sessions.extend(Client::connect(&endpoint).await.ok());
                    }
                    let run_session = |mut client: Client| {
                        let (stop, operations, endpoint) =
                            (stop.clone(), operations.clone(), endpoint.clone());
                        async move {
                            let mut rng = fastrand::Rng::with_seed(number as u64);
                            while !stop.load(Ordering::Relaxed) {
                                let result = match rng.u8(..4) {
                                    0 => client.get(None).await.map(drop),
                                    1 => client.get_config(Datastore::Running, None).await.map(drop),
                                    2 => client.edit(&worker_edit("s-1", "<weight>NaN</weight>")).await,
                                    // Announces a chunk of 1 GiB and sends nothing of it.
                                    _ => client.send_raw(b"\n#1073741824\n").await,
                                };
                                operations.fetch_add(1, Ordering::Relaxed);
                                // Reconnects if the session has failed, and otherwise at random after a quarter of
                                // the operations.
                                if result.is_err_and(|error| error.rpc_errors().is_empty())
                                    || rng.u8(..4) == 3
                                {
                                    match Client::connect(&endpoint).await {
                                        Ok(reconnected) => client = reconnected,
                                        Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                                    }
                                }
                            }
                        }
                    };
                    let tasks = tokio::task::LocalSet::new();
                    for client in sessions {
                        tasks.spawn_local(run_session(client));
                    }
                    tasks.await;
                };
                runtime().block_on(flood);
            })
        };
        let threads = (0..FLOOD_THREADS).map(spawn_thread).collect();
        Flood { stop, operations, threads }
    }

    /// Stops all sessions. Returns the number of operations that they sent.
    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        self.operations.load(Ordering::Relaxed)
    }
}

/// Starts a collector that sends the sums of a busy zone in every report period, until it is stopped.
fn start_collector(manager: SocketAddr, workers: usize, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let Ok(mut socket) = TcpStream::connect(manager) else { return };
        _ = write!(socket, "agent locality=a\r\n");
        while !stop.load(Ordering::Relaxed) {
            for worker in 0..workers {
                let sums = format!("locality=a endpoint=s-{worker} total=20 errors=0 rtt=40 interval=160");
                if write!(socket, "outcomes {sums}\r\n").is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(160));
        }
    })
}

/// Measures the lateness of turns without and with the flood, in alternating windows. All threads of the manager are
/// pinned to one processor.
fn turn_lateness(report: &mut Report, size: ClusterSize, rounds: u32) {
    let cluster = Cluster::new("turns", size);
    let mut manager = cluster.start_manager("n0", Some(0));
    let _proxies = join_proxies(&cluster, &manager);
    let stop = Arc::new(AtomicBool::new(false));
    let collector = start_collector(manager.address, size.workers, stop.clone());
    let mut operations = 0;
    // The windows are short and alternate, so that other load on the machine affects both alike.
    for _ in 0..rounds {
        for name in ["quiet", "flood"] {
            let flood = (name == "flood").then(|| Flood::start(&cluster, &manager));
            thread::sleep(Duration::from_secs(1));
            manager.discard_lateness();
            thread::sleep(ROUND_DURATION);
            manager.save_lateness(name);
            operations += flood.map_or(0, Flood::stop);
        }
    }
    stop.store(true, Ordering::Relaxed);
    _ = collector.join();
    let (quiet, flood) = (manager.lateness("quiet"), manager.lateness("flood"));
    for (name, lateness) in [("quiet", quiet), ("under the flood", flood)] {
        let ms = |us: u64| us as f64 / 1e3;
        let figures =
            format!("{:.2} {:.2} {:.2}", ms(lateness.p50_us), ms(lateness.p99_us), ms(lateness.max_us));
        report.figure(&format!("{} turns {name}, late by p50, p99, most ms", lateness.count), figures);
    }
    report.figure("operations of the flood", operations);
    let ratio = flood.p99_us as f64 / quiet.p99_us as f64;
    report.bound("late p99 under the flood over quiet, 1.2 at most", format!("{ratio:.3}"), ratio <= 1.2);
}

/// Measures the resident memory of a manager without sessions, with idle sessions, and under two floods in succession.
fn session_memory(report: &mut Report, size: ClusterSize) {
    let cluster = Cluster::new("memory", size);
    let manager = cluster.start_manager("n0", None);
    let _proxies = join_proxies(&cluster, &manager);
    let resident_mib = || manager.resident_kib() as f64 / 1024.0;
    let before = resident_mib();
    report.figure("resident with 150 proxies, no session, MiB", format!("{before:.1}"));
    let runtime = runtime();
    let sessions = runtime.block_on(async {
        let mut sessions = Vec::new();
        for _ in 0..SESSIONS {
            sessions.push(cluster.connect(&manager).await);
        }
        sessions
    });
    let idle = resident_mib();
    report.figure(&format!("with {SESSIONS} idle sessions, MiB"), format!("{idle:.1}"));
    drop(sessions);
    drop(runtime);
    // Gives the manager time to notice that the sessions have ended.
    thread::sleep(Duration::from_secs(1));
    let flood = Flood::start(&cluster, &manager);
    let mut first_peak = 0.0f64;
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        first_peak = first_peak.max(resident_mib());
    }
    let operations = flood.stop();
    report.figure(
        &format!("with {SESSIONS} busy sessions, most MiB ({operations} operations)"),
        format!("{first_peak:.1}"),
    );
    let flood = Flood::start(&cluster, &manager);
    let mut second_peak = 0.0f64;
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        second_peak = second_peak.max(resident_mib());
    }
    flood.stop();
    report.figure("the same once more, most MiB", format!("{second_peak:.1}"));
    let growth = second_peak / first_peak;
    report.bound(
        "memory of the second flood over the first, 1.25 at most",
        format!("{growth:.2}"),
        growth <= 1.25,
    );
}
