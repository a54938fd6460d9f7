//! NETCONF clients with long messages, over SSH and TLS, on a manager in a process of its own.

mod common;

use std::future::Future;
use std::time::{Duration, Instant};

use common::netconf_manager::TestManager;
use common::{entry, resident_anonymous_bytes};
use juniperrail_client::{Client, Datastore, Endpoint};
use juniperrail_standins::list_json;
use tokio::time::{sleep, timeout};

/// The memory limit of a manager in `examples/config.json`. NETCONF is not served where a manager has less.
const MEMORY_LIMIT_BYTES: u64 = 192_000_000;

/// Sessions besides those of the test's other clients; 64 are allowed.
const SESSIONS: usize = 60;

/// The longest wait for one reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a message near the limit of 4 MiB.
const LONG_MESSAGE_BYTES: usize = 3_900_000;

fn run_async(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

fn endpoints(manager: &TestManager) -> [Endpoint; 2] {
    [manager.ssh_endpoint(), manager.tls_endpoint()]
}

/// A message of many short elements, in one chunk.
fn many_elements() -> String {
    let elements = "<a/>".repeat(LONG_MESSAGE_BYTES / "<a/>".len());
    let rpc = format!(
        "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"1\"><get><filter>{elements}\
         </filter></get></rpc>"
    );
    format!("\n#{}\n{rpc}\n##\n", rpc.len())
}

/// Reads running and returns how long that took.
async fn read_running(client: &mut Client) -> Duration {
    let start = Instant::now();
    let reply = timeout(REPLY_TIMEOUT, client.get_config(Datastore::Running, None)).await;
    reply.expect("the manager replies in time").unwrap();
    start.elapsed()
}

/// Sends a message in sessions of their own, all at once, and keeps them open. Returns the most memory that the manager
/// took, and the median time of another client's requests meanwhile.
async fn send_in_all_sessions(manager: &TestManager, endpoint: &Endpoint, message: &str) -> (u64, Duration) {
    const SAMPLES: usize = 60;
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
    let mut other = Client::connect(endpoint).await.unwrap();
    let mut senders = Vec::new();
    for _ in 0..SESSIONS {
        let mut client = Client::connect(endpoint).await.unwrap();
        let message = message.to_string();
        senders.push(tokio::spawn(async move {
            // Fails where the manager ends the session.
            _ = client.send_raw(message.as_bytes()).await;
            std::future::pending::<()>().await;
            drop(client);
        }));
    }
    let (mut peak, mut durations) = (0, Vec::new());
    for _ in 0..SAMPLES {
        durations.push(read_running(&mut other).await);
        peak = peak.max(resident_anonymous_bytes(&manager.child));
        sleep(SAMPLE_INTERVAL).await;
    }
    senders.iter().for_each(|sender| sender.abort());
    durations.sort();
    (peak, durations[SAMPLES / 2])
}

/// Guards against a process that is killed for its memory because all sessions stop in the middle of a long message.
#[test]
fn unfinished_messages_of_all_sessions_take_bounded_memory() {
    let manager = TestManager::new("unfinished-messages");
    run_async(async {
        let message = format!("\n#{}\n{}", LONG_MESSAGE_BYTES + 1, "x".repeat(LONG_MESSAGE_BYTES));
        for endpoint in endpoints(&manager) {
            let (peak, _) = send_in_all_sessions(&manager, &endpoint, &message).await;
            assert!(peak < MEMORY_LIMIT_BYTES, "{peak} bytes with {SESSIONS} sessions at {endpoint:?}");
        }
    });
}

/// Guards against messages of many short elements, which take many times their length as a tree and keep other clients
/// waiting while they are parsed.
#[test]
fn messages_of_many_elements_take_bounded_memory_and_do_not_keep_others_waiting() {
    let manager = TestManager::new("many-elements");
    run_async(async {
        let message = many_elements();
        for endpoint in endpoints(&manager) {
            let mut single = Client::connect(&endpoint).await.unwrap();
            let start = Instant::now();
            single.send_raw(message.as_bytes()).await.unwrap();
            let refusal = single.read_reply().await.unwrap_err();
            let message_duration = start.elapsed();
            assert!(refusal.to_string().contains("elements and attributes"), "{refusal}");
            let (peak, read_duration) = send_in_all_sessions(&manager, &endpoint, &message).await;
            assert!(peak < MEMORY_LIMIT_BYTES, "{peak} bytes with {SESSIONS} sessions at {endpoint:?}");
            let limit = message_duration * SESSIONS as u32 / 3;
            assert!(read_duration < limit, "{read_duration:?}, {message_duration:?} for one message alone");
        }
    });
}

/// Guards against sessions that keep the memory of their longest message.
#[test]
fn finished_long_messages_leave_no_memory_behind() {
    let manager = TestManager::new("finished-messages");
    run_async(async {
        for endpoint in endpoints(&manager) {
            let mut clients = Vec::new();
            for _ in 0..SESSIONS {
                let mut client = Client::connect(&endpoint).await.unwrap();
                let text = "x".repeat(LONG_MESSAGE_BYTES);
                client.send_raw(format!("\n#{}\n{text}\n##\n", text.len()).as_bytes()).await.unwrap();
                assert!(client.read_reply().await.is_err(), "the message is not XML");
                clients.push(client);
            }
            let bytes = resident_anonymous_bytes(&manager.child);
            assert!(bytes < MEMORY_LIMIT_BYTES, "{bytes} bytes after {SESSIONS} messages at {endpoint:?}");
        }
    });
}

/// Guards against a process that is killed for its memory because no client reads its replies, which hold the state of a large fleet.
#[test]
fn replies_that_no_client_reads_take_bounded_memory() {
    const WORKERS: usize = 2_000;
    const REQUESTS: usize = 4;
    let manager = TestManager::new("unread-replies");
    let entries: Vec<String> = (0..WORKERS).map(|worker| entry(&format!("s-{worker}"), "ready")).collect();
    manager.discovery.publish(&list_json(2, true, &entries));
    let rpc = "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"1\"><get/></rpc>";
    let requests = format!("\n#{}\n{rpc}\n##\n", rpc.len()).repeat(REQUESTS);
    run_async(async {
        for endpoint in endpoints(&manager) {
            let mut reader = Client::connect(&endpoint).await.unwrap();
            let state_bytes = loop {
                reader.send_raw(requests.as_bytes()).await.unwrap();
                let reply = timeout(REPLY_TIMEOUT, reader.read_reply()).await;
                let reply = reply.expect("the manager replies in time").unwrap();
                let length = format!("{reply:?}").len();
                if length > WORKERS * 100 {
                    break length;
                }
            };
            drop(reader);
            let (peak, duration) = send_in_all_sessions(&manager, &endpoint, &requests).await;
            println!("{peak} bytes with replies of some {state_bytes}; another client's {duration:?}");
            assert!(peak < MEMORY_LIMIT_BYTES, "{peak} bytes with {SESSIONS} sessions at {endpoint:?}");
        }
    });
}
