//! Links between managers, with another manager played by hand on real connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use juniperrail_consensus::{MemberId, RaftConfig, Run, SwimConfig};
use juniperrail_fleet::{Fleet, FleetConfig, FleetListener};
use juniperrail_store::Limits;
use serde::Serialize;

/// Nothing that is waited for takes so long, however busy the machine is.
const WITHIN: Duration = Duration::from_secs(20);
/// A first word may take so long, and an election: longer than any story here.
const ELECTION: f64 = 60_000.0;

/// The first word on a link, as managers write it.
#[derive(Serialize)]
struct Hello {
    from: MemberId,
    to: MemberId,
    fleet: String,
    run: Run,
}

fn framed(value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_stdvec(value).unwrap();
    [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
}

/// Member 1 of three, with its store; nobody listens where the others would be.
struct Running {
    fleet: Option<Fleet>,
    store: PathBuf,
    address: SocketAddr,
}

impl Drop for Running {
    fn drop(&mut self) {
        // Its threads end before their files go.
        drop(self.fleet.take());
        _ = std::fs::remove_dir_all(&self.store);
    }
}

fn member(name: &str) -> Running {
    let store = std::env::temp_dir().join(format!("juniperrail-links-{name}-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&store);
    std::fs::create_dir_all(&store).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let others = [(MemberId(2), "127.0.0.1:1".to_string()), (MemberId(3), "127.0.0.1:1".to_string())];
    let setting = FleetConfig {
        member_id: MemberId(1),
        fleet_name: "exams".into(),
        listen: address,
        store_path: store.clone(),
        store_limits: Limits::default(),
        members: others.into_iter().chain([(MemberId(1), address.to_string())]).collect(),
        generation: 0,
        raft: RaftConfig {
            heartbeat_interval_ms: 100.0,
            election_timeout_ms: ELECTION,
            max_clock_drift_ratio: 0.1,
            max_entries_per_message: 64,
            max_uncommitted_entries: 64,
        },
        swim: SwimConfig {
            probe_period_ms: 1000.0,
            probe_timeout_ms: 300.0,
            indirect_probe_count: 3,
            max_updates_per_message: 16,
        },
        failover: None,
        schedules: Default::default(),
        seed: 7,
        max_log_entries: 1000,
    };
    Running { fleet: Some(FleetListener::new(setting, listener).start().unwrap()), store, address }
}

fn second(address: SocketAddr, run: u64) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(WITHIN)).unwrap();
    let hello = Hello { from: MemberId(2), to: MemberId(1), fleet: "exams".into(), run: Run(run) };
    socket.write_all(&framed(&hello)).unwrap();
    socket
}

/// Whether the connection is ended, with whatever was sent.
fn ends(socket: &mut TcpStream) -> bool {
    match socket.read(&mut [0]) {
        Ok(read) => read == 0,
        Err(why) => why.kind() == ErrorKind::ConnectionReset,
    }
}

#[test]
fn a_later_connection_of_a_manager_ends_the_one_before_within_its_message() {
    let running = member("later");
    let mut old = second(running.address, 5);
    // The beginning of a message whose rest is held back.
    old.write_all(&[0, 0, 0, 9, 1]).unwrap();
    let mut new = second(running.address, 5);
    assert!(ends(&mut old), "what it would still bring is older than what comes over the new one");
    new.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    assert!(!ends(&mut new));
}

#[test]
fn a_connection_of_an_earlier_start_ends_and_takes_no_place() {
    let running = member("earlier");
    let mut new = second(running.address, 6);
    // Read before the next one comes: what can't be a message is answered by its end.
    let mut old = second(running.address, 5);
    if !ends(&mut old) {
        panic!("an earlier start is listened to");
    }
    new.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    assert!(!ends(&mut new));
}
