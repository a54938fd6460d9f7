//! Links between managers. Each test acts as another manager over real connections to a running fleet member.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use juniperrail_consensus::{MemberId, RaftConfig, Run, SwimConfig};
use juniperrail_fleet::{Fleet, FleetConfig, FleetListener};
use juniperrail_store::Limits;
use serde::Serialize;

/// Long enough for every awaited event, even on a busy machine.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any test, so that no election starts and no handshake times out. The time limit of a handshake is
/// derived from this.
const ELECTION_TIMEOUT_MS: f64 = 60_000.0;

/// The handshake, the first message on a link, as managers encode it.
#[derive(Serialize)]
struct Handshake {
    sender: MemberId,
    receiver: MemberId,
    fleet: String,
    run: Run,
}

/// Encodes a message, preceded by its length.
fn encode_frame(value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_stdvec(value).unwrap();
    [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
}

/// Member 1 of three, with its store. Nothing listens at the addresses of the others.
struct RunningMember {
    fleet: Option<Fleet>,
    store_path: PathBuf,
    address: SocketAddr,
}

impl Drop for RunningMember {
    fn drop(&mut self) {
        // Ends the member's threads before its files are removed.
        drop(self.fleet.take());
        _ = std::fs::remove_dir_all(&self.store_path);
    }
}

fn start_member(name: &str) -> RunningMember {
    let store_path = std::env::temp_dir().join(format!("juniperrail-links-{name}-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&store_path);
    std::fs::create_dir_all(&store_path).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let others = [(MemberId(2), "127.0.0.1:1".to_string()), (MemberId(3), "127.0.0.1:1".to_string())];
    let config = FleetConfig {
        member_id: MemberId(1),
        fleet_name: "exams".into(),
        listen: address,
        store_path: store_path.clone(),
        store_limits: Limits::default(),
        members: others.into_iter().chain([(MemberId(1), address.to_string())]).collect(),
        generation: 0,
        raft: RaftConfig {
            heartbeat_interval_ms: 100.0,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
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
    RunningMember { fleet: Some(FleetListener::new(config, listener).start().unwrap()), store_path, address }
}

/// Connects as member 2 and names `run` as its run.
fn connect_as_member_2(address: SocketAddr, run: u64) -> TcpStream {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let handshake =
        Handshake { sender: MemberId(2), receiver: MemberId(1), fleet: "exams".into(), run: Run(run) };
    socket.write_all(&encode_frame(&handshake)).unwrap();
    socket
}

/// Waits until the connection ends or the read times out, and returns whether the member closed it. A member that
/// closes it with unread bytes resets it.
fn is_closed(socket: &mut TcpStream) -> bool {
    match socket.read(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

#[test]
fn a_later_connection_of_a_manager_closes_the_earlier_one_even_in_the_middle_of_a_message() {
    let running = start_member("later");
    let mut old_connection = connect_as_member_2(running.address, 5);
    // The start of a message whose remaining bytes are never sent.
    old_connection.write_all(&[0, 0, 0, 9, 1]).unwrap();
    let mut new_connection = connect_as_member_2(running.address, 5);
    assert!(
        is_closed(&mut old_connection),
        "the old connection is closed, because its messages are older than those of the new one"
    );
    // The member sends nothing on this connection: a read that times out shows that it is still open.
    new_connection.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    assert!(!is_closed(&mut new_connection));
}

#[test]
fn a_connection_of_an_earlier_run_is_closed_and_replaces_nothing() {
    let running = start_member("earlier");
    let mut new_connection = connect_as_member_2(running.address, 6);
    // The member usually reads the handshake of `new_connection` first, which was sent first, and rejects and closes
    // `old_connection`. If it reads that of `old_connection` first, `new_connection` replaces `old_connection`, which
    // is then closed too.
    let mut old_connection = connect_as_member_2(running.address, 5);
    if !is_closed(&mut old_connection) {
        panic!("a connection of an earlier run was accepted");
    }
    // The member sends nothing on this connection: a read that times out shows that it is still open.
    new_connection.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    assert!(!is_closed(&mut new_connection));
}
