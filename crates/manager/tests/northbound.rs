//! The northbound interface: managers on real sockets with stand-ins for proxies and discovery, and NETCONF clients
//! that change the configuration over SSH and TLS. Where stand-in proxies run, a checker applies the rules for tables
//! to every message that they receive.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use juniperrail_client::{Client, ClientError, Commit, Datastore, Endpoint, ErrorKind, Stage};
use juniperrail_manager::{Launch, Manager};
use juniperrail_model::xml::Element;
use juniperrail_standins::{
    instance_json, list_json, CertificateAuthority, Discovery, Proxies, RuleChecker, RuleLimits, SshKeyPair,
    SETTINGS,
};
use tokio::time::timeout;

/// The XML namespace of the manager's configuration.
const MANAGER_NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";

/// Time limit of one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Time limit of one wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// All workers, with their zones.
const WORKERS: [(&str, &str); 4] = [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b")];

/// Validity of certificates: its start and its end, in days from now.
const VALID_NOW: (i64, i64) = (-1, 1);
const EXPIRED: (i64, i64) = (-2, -1);

/// A user of the management interface.
struct User {
    name: &'static str,
    role: &'static str,
    keys: SshKeyPair,
}

/// What the managers of a test share: discovery, keys and certificates.
struct TestEnvironment {
    directory: PathBuf,
    discovery: Discovery,
    users: Vec<User>,
    authority: CertificateAuthority,
    host_keys: SshKeyPair,
}

impl TestEnvironment {
    fn new(name: &str) -> TestEnvironment {
        let directory = std::env::temp_dir().join(format!("juniperrail-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let names_and_roles = [("ann", "admin"), ("bob", "operator"), ("eve", "reader")];
        let seeded_users = names_and_roles.into_iter().zip(1..);
        let users = seeded_users.map(|((name, role), seed)| User {
            name,
            role,
            keys: SshKeyPair::write(&directory, name, seed),
        });
        let discovery = Discovery::start();
        let entries = WORKERS.map(|(id, zone)| instance_json(id, zone, "127.0.0.1:9", "ready"));
        discovery.publish(&list_json(1, true, &entries));
        let users = users.collect();
        let host_keys = SshKeyPair::write(&directory, "host", 99);
        TestEnvironment {
            discovery,
            users,
            authority: CertificateAuthority::new(&directory, "authority"),
            host_keys,
            directory,
        }
    }

    /// Writes an operator's file with an SSH and a TLS listener. `client_elements`: further content of the element
    /// `tls`; `other_elements`: content after the element `northbound`.
    fn write_operator_file(&self, name: &str, client_elements: &str, other_elements: &str) -> PathBuf {
        let (certificate, key, _) = self.authority.issue("manager.example", VALID_NOW);
        let file_name = |path: &Path| path.file_name().unwrap().to_str().unwrap().to_string();
        let user_elements: String = self
            .users
            .iter()
            .map(|User { name, role, keys }| {
                format!(
                    "<user><name>{name}</name><role>{role}</role><ssh-key>{}</ssh-key></user>",
                    keys.public_key
                )
            })
            .collect();
        let text = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><northbound xmlns="{MANAGER_NAMESPACE}"><netconf>
            <ssh><listen>127.0.0.1:0</listen><host-key>host</host-key></ssh>
            <tls><listen>127.0.0.1:0</listen><certificate>{}</certificate><key>{}</key>
            <client-authorities>authority.pem</client-authorities>{client_elements}</tls></netconf>{user_elements}
            </northbound>{other_elements}</config>"#,
            file_name(&certificate),
            file_name(&key)
        );
        let path = self.directory.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// The configuration file of a manager with this name.
    fn config(&self, name: &str) -> String {
        let cached_list =
            list_json(1, true, &WORKERS.map(|(id, zone)| instance_json(id, zone, "127.0.0.1:9", "ready")));
        let discovery = self.discovery.address;
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"sockets":256}},"known":{cached_list},"settings":{SETTINGS}}}"#
        )
    }

    /// Starts a manager with this operator's file on a thread of its own.
    fn start_manager(&self, operator_file: &Path) -> RunningManager {
        let config = self.config("n0");
        let operator_file = operator_file.to_path_buf();
        let (address_sender, addresses) = mpsc::channel();
        let (stop, stop_receiver) = tokio::sync::oneshot::channel::<()>();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let launch =
                    Launch::new(&config, |_| None).unwrap().with_operator_file(operator_file, true).unwrap();
                let manager = Manager::bind(launch).await.unwrap();
                address_sender.send((manager.address(), manager.netconf_addresses())).unwrap();
                tokio::select! { () = manager.serve() => {}, _ = stop_receiver => {} }
            });
        });
        let (address, (ssh_address, tls_address)) = addresses.recv().unwrap();
        RunningManager {
            address,
            ssh_address: ssh_address.unwrap(),
            tls_address: tls_address.unwrap(),
            _stop: stop,
        }
    }

    /// The endpoint at which a user connects to a manager over SSH.
    fn ssh_endpoint(&self, manager: &RunningManager, user: &str) -> Endpoint {
        let user = self.users.iter().find(|known| known.name == user).unwrap();
        Endpoint::ssh(manager.ssh_address.to_string(), user.name, &user.keys.private_key_path)
            .with_host_key(&self.host_keys.public_key_path)
    }

    /// Opens a NETCONF session of a user over SSH.
    async fn connect(&self, manager: &RunningManager, user: &str) -> Client {
        Client::connect(&self.ssh_endpoint(manager, user)).await.unwrap()
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.directory);
    }
}

/// A manager on a thread of the test process.
struct RunningManager {
    /// The address on which it serves proxies.
    address: SocketAddr,
    ssh_address: SocketAddr,
    tls_address: SocketAddr,
    /// Dropping this stops the manager.
    _stop: tokio::sync::oneshot::Sender<()>,
}

fn rule_checker() -> RuleChecker {
    // The limits are generous because a test machine can be busy; the lab checks managers against the real limits.
    let limits = RuleLimits {
        drain_grace_ms: 15_000.0,
        max_messages: usize::MAX,
        message_window_ms: 10_000.0,
        max_waiting_lines: 5000.0,
        message_overhead_lines: 4.0,
    };
    let mut checker = RuleChecker::new(limits);
    WORKERS.iter().for_each(|(worker, _)| checker.add_known_worker(worker));
    checker
}

/// The configuration of one worker, with this content of its element `worker`.
fn worker_config(name: &str, body: &str) -> String {
    format!("<workers xmlns=\"{MANAGER_NAMESPACE}\"><worker><name>{name}</name>{body}</worker></workers>")
}

/// Edits the candidate and commits it. Discards the edit if the commit is refused.
async fn edit_and_commit(client: &mut Client, config: &str) -> Result<(), ClientError> {
    client.edit(config).await?;
    let result = client.commit(&Commit::default()).await;
    if result.is_err() {
        client.discard().await?;
    }
    result
}

/// The weight of a worker in the running configuration, if it has one there.
async fn read_weight(client: &mut Client, name: &str) -> Option<String> {
    let running = client.get_config(Datastore::Running, None).await.unwrap();
    let workers = running.find(&["workers"])?;
    let worker =
        workers.children.iter().find(|worker| worker.children.iter().any(|leaf| leaf.text == name))?;
    worker.children.iter().find(|leaf| leaf.name == "weight").map(|leaf| leaf.text.clone())
}

/// The operational state.
async fn read_state(client: &mut Client) -> Element {
    let filter = "<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
    client.get(Some(filter)).await.unwrap().0.remove(0)
}

/// The elements at a path of element names below `element`.
fn descendants<'a>(element: &'a Element, names: &[&str]) -> Vec<&'a Element> {
    let Some((first, rest)) = names.split_first() else { return vec![element] };
    let matching = element.children.iter().filter(|child| child.name == *first);
    matching.flat_map(|child| descendants(child, rest)).collect()
}

/// The text of the first child with this name, empty if there is none.
fn child_text<'a>(element: &'a Element, name: &str) -> &'a str {
    descendants(element, &[name]).first().map_or("", |leaf| leaf.text.as_str())
}

/// Runs a test on a runtime of its own, for at most [`TEST_TIMEOUT`].
fn run_async(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { timeout(TEST_TIMEOUT, test).await.expect("the test timed out") });
}

#[test]
fn a_committed_change_reaches_every_proxy_and_shows_in_the_state() {
    run_async(async {
        let environment = TestEnvironment::new("commit");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 6, &["a", "b"], rule_checker());
        proxies.wait_until("every proxy has a full table", |checker| {
            (0..6).all(|proxy| checker.routable_workers(proxy).len() == 4)
        });
        let mut client = environment.connect(&manager, "bob").await;
        let mut subscriber = environment.connect(&manager, "ann").await;
        subscriber.subscribe(None).await.unwrap();
        proxies.with_checker(|checker| checker.start_removal("s-1", 0.0));
        proxies.with_checker(|checker| checker.cancel_removal("s-1"));
        let now = proxies.now_ms();
        edit_and_commit(&mut client, &worker_config("s-1", "<wanted>draining</wanted>")).await.unwrap();
        proxies.with_checker(|checker| checker.start_removal("s-1", now));
        proxies.wait_until("s-1 is removed", |checker| {
            (0..6).all(|proxy| !checker.routable_workers(proxy).contains_key("s-1"))
        });
        // The notification of the change arrives first, then the one that all proxies have applied it.
        let mut events = Vec::new();
        while events.last() != Some(&"change-held".to_string()) {
            let notification = timeout(WAIT_TIMEOUT, subscriber.next_notification()).await.unwrap().unwrap();
            events.push(notification.children[1].name.clone());
        }
        assert!(events.contains(&"netconf-config-change".to_string()), "{events:?}");
        let state = read_state(&mut client).await;
        let change = descendants(&state, &["changes", "change"]).pop().unwrap().clone();
        assert_eq!(
            (child_text(&change, "progress"), child_text(&change, "held-by"), child_text(&change, "by")),
            ("held", "6", "bob")
        );
        let workers = descendants(&state, &["workers", "worker"]);
        let drained = workers.iter().find(|worker| child_text(worker, "name") == "s-1").unwrap();
        assert_eq!(
            (child_text(drained, "phase"), child_text(drained, "phase-from")),
            ("draining", "operator")
        );
        assert_eq!(child_text(drained, "discovery-phase"), "ready");
        for proxy in descendants(&state, &["proxies", "proxy"]) {
            assert_eq!(child_text(proxy, "shut-out"), "s-1");
        }
        edit_and_commit(&mut client, &worker_config("s-1", "<wanted>follow</wanted><weight>0.5</weight>"))
            .await
            .unwrap();
        proxies.with_checker(|checker| checker.cancel_removal("s-1"));
        proxies.wait_until("s-1 is back", |checker| {
            (0..6).all(|proxy| checker.routable_workers(proxy).contains_key("s-1"))
        });
        proxies.wait_until("every proxy has the new weight of s-1", |checker| {
            (0..6).all(|proxy| checker.routable_workers(proxy)["s-1"] < 0.6)
        });
        client.close().await.unwrap();
        assert_eq!(proxies.with_checker(|checker| checker.violations.clone()), []);
        drop(manager);
    });
}

#[test]
fn commits_that_leave_an_operation_without_workers_or_exceed_the_settings_are_refused_with_the_reason() {
    run_async(async {
        let environment = TestEnvironment::new("refused");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 4, &["a", "b"], rule_checker());
        proxies.wait_until("every proxy has a full table", |checker| {
            (0..4).all(|proxy| checker.routable_workers(proxy).len() == 4)
        });
        let mut client = environment.connect(&manager, "bob").await;
        let all_workers = |body: &str| WORKERS.map(|(name, _)| worker_config(name, body)).concat();
        for (config, tag, path) in [
            (all_workers("<wanted>draining</wanted>"), "no-ready-worker", "/jrm:workers"),
            (all_workers("<wanted>out</wanted>"), "no-ready-worker", "/jrm:workers"),
            (all_workers("<weight>0</weight>"), "no-ready-worker", "/jrm:workers"),
            (
                format!("<figures xmlns=\"{MANAGER_NAMESPACE}\"><drain-grace>3000.5</drain-grace></figures>"),
                "looser-than-settings",
                "/jrm:figures/drain-grace",
            ),
            (
                format!("<figures xmlns=\"{MANAGER_NAMESPACE}\"><drain-grace>900</drain-grace></figures>"),
                "grace-too-short",
                "/jrm:figures/drain-grace",
            ),
            (
                worker_config("s-9", "<place><zone>nowhere</zone></place>"),
                "unknown-zone",
                "/jrm:workers/worker[name='s-9']/place/zone",
            ),
        ] {
            let error = edit_and_commit(&mut client, &config).await.unwrap_err();
            let refusal = &error.rpc_errors()[0];
            assert_eq!(
                (refusal.app_tag.as_deref(), refusal.path.as_deref()),
                (Some(tag), Some(path)),
                "{error}"
            );
            assert_eq!(refusal.tag, "operation-failed");
        }
        // Changes that are each valid alone, but not together.
        for (name, _) in &WORKERS[..3] {
            edit_and_commit(&mut client, &worker_config(name, "<wanted>draining</wanted>")).await.unwrap();
        }
        let error =
            edit_and_commit(&mut client, &worker_config("s-4", "<weight>0</weight>")).await.unwrap_err();
        assert!(error.to_string().contains("lookup would have no ready, warm worker"), "{error}");
        proxies.wait_until("only s-4 is left", |checker| {
            (0..4).all(|proxy| checker.routable_workers(proxy).keys().eq(["s-4"]))
        });
        // A worker that discovery lists as gone stays removed, even if a commit wants it ready, until discovery lists it
        // again.
        environment.discovery.publish(&list_json(
            2,
            false,
            &[instance_json("s-1", "a", "127.0.0.1:9", "gone")],
        ));
        let mut phase = String::new();
        while phase != "gone" {
            let state = read_state(&mut client).await;
            let workers = descendants(&state, &["workers", "worker"]);
            phase = workers
                .iter()
                .find(|worker| child_text(worker, "name") == "s-1")
                .map_or("gone", |worker| child_text(worker, "phase"))
                .into();
        }
        edit_and_commit(&mut client, &worker_config("s-1", "<wanted>ready</wanted>")).await.unwrap();
        assert!(
            proxies.with_checker(
                |checker| (0..4).all(|proxy| !checker.routable_workers(proxy).contains_key("s-1"))
            )
        );
        environment.discovery.publish(&list_json(
            3,
            false,
            &[instance_json("s-1", "a", "127.0.0.1:9", "ready")],
        ));
        proxies.wait_until("s-1 is back", |checker| {
            (0..4).all(|proxy| checker.routable_workers(proxy).contains_key("s-1"))
        });
        assert_eq!(proxies.with_checker(|checker| checker.violations.clone()), []);
    });
}

#[test]
fn a_change_is_shown_as_applied_only_once_the_proxies_have_acknowledged_it() {
    run_async(async {
        let environment = TestEnvironment::new("slow");
        let operator_file = environment.write_operator_file("operator.xml", "", "");
        let quick_manager = environment.start_manager(&operator_file);
        let slow_manager = environment.start_manager(&operator_file);
        let quick_proxies = Proxies::start(quick_manager.address, 0, 4, &["a", "b"], rule_checker());
        let slow_proxies = Proxies::start(slow_manager.address, 4, 4, &["a", "b"], rule_checker());
        quick_proxies.wait_until("every proxy has a full table", |checker| {
            (0..4).all(|proxy| checker.routable_workers(proxy).len() == 4)
        });
        slow_proxies.wait_until("every proxy has a full table", |checker| {
            (4..8).all(|proxy| checker.routable_workers(proxy).len() == 4)
        });
        let mut quick_client = environment.connect(&quick_manager, "bob").await;
        let mut slow_client = environment.connect(&slow_manager, "bob").await;
        slow_proxies.set_stalled(true);
        for client in [&mut quick_client, &mut slow_client] {
            edit_and_commit(client, &worker_config("s-2", "<wanted>draining</wanted>")).await.unwrap();
        }
        quick_proxies.wait_until("s-2 is removed", |checker| {
            (0..4).all(|proxy| !checker.routable_workers(proxy).contains_key("s-2"))
        });
        let last_change = |state: &Element| descendants(state, &["changes", "change"]).pop().unwrap().clone();
        loop {
            let change = last_change(&read_state(&mut quick_client).await);
            if child_text(&change, "progress") == "held" {
                break;
            }
        }
        let pending_change = last_change(&read_state(&mut slow_client).await);
        assert_eq!(
            (child_text(&pending_change, "progress"), child_text(&pending_change, "held-by")),
            ("going-out", "0")
        );
        // A later change of the same worker supersedes a change that no proxy has applied yet.
        edit_and_commit(&mut slow_client, &worker_config("s-2", "<wanted>follow</wanted>")).await.unwrap();
        let state = read_state(&mut slow_client).await;
        let progress: Vec<&str> = descendants(&state, &["changes", "change"])
            .iter()
            .map(|change| child_text(change, "progress"))
            .collect();
        assert_eq!(progress, ["superseded", "going-out"]);
        slow_proxies.set_stalled(false);
        slow_proxies.wait_until("s-2 is back", |checker| {
            (4..8).all(|proxy| checker.routable_workers(proxy).contains_key("s-2"))
        });
        while child_text(&last_change(&read_state(&mut slow_client).await), "progress") != "held" {}
        for proxies in [&quick_proxies, &slow_proxies] {
            assert_eq!(proxies.with_checker(|checker| checker.violations.clone()), []);
        }
    });
}

#[test]
fn a_confirmed_commit_is_reverted_when_its_session_ends_or_its_timeout_expires() {
    run_async(async {
        let environment = TestEnvironment::new("confirmed");
        let operator_file = environment.write_operator_file("operator.xml", "", "");
        let manager = environment.start_manager(&operator_file);
        let mut other_client = environment.connect(&manager, "ann").await;
        let mut client = environment.connect(&manager, "bob").await;
        let confirmed_commit = |seconds, persist: Option<&str>| Commit {
            confirm_timeout_s: Some(seconds),
            persist: persist.map(str::to_string),
            persist_id: None,
        };
        client.edit(&worker_config("s-1", "<weight>2</weight>")).await.unwrap();
        client.commit(&confirmed_commit(600, None)).await.unwrap();
        assert_eq!(read_weight(&mut other_client, "s-1").await.as_deref(), Some("2.0"));
        let error = other_client.commit(&Commit::default()).await.unwrap_err();
        assert_eq!(error.rpc_errors()[0].tag, "in-use");
        // The commit is reverted at the end of its session although another session has locked the candidate.
        other_client.lock(Datastore::Candidate).await.unwrap();
        assert_eq!(
            other_client.lock(Datastore::Running).await.unwrap_err().rpc_errors()[0].tag,
            "lock-denied"
        );
        drop(client);
        while read_weight(&mut other_client, "s-1").await.is_some() {}
        other_client.unlock(Datastore::Candidate).await.unwrap();
        let mut client = environment.connect(&manager, "bob").await;
        client.edit(&worker_config("s-1", "<weight>3</weight>")).await.unwrap();
        client.commit(&confirmed_commit(1, Some("night"))).await.unwrap();
        client.close().await.unwrap();
        assert_eq!(
            read_weight(&mut other_client, "s-1").await.as_deref(),
            Some("3.0"),
            "a commit with a persist name outlives its session"
        );
        while read_weight(&mut other_client, "s-1").await.is_some() {}
        // A commit that another session confirms in time stays in effect. Once it is copied to startup it survives a
        // restart, unlike the commit after it, which is not confirmed.
        other_client.edit(&worker_config("s-1", "<weight>4</weight>")).await.unwrap();
        other_client.commit(&confirmed_commit(600, Some("day"))).await.unwrap();
        let mut client = environment.connect(&manager, "bob").await;
        let confirmation = Commit { persist_id: Some("day".into()), ..Commit::default() };
        client.commit(&confirmation).await.unwrap();
        client.edit(&worker_config("s-1", "<weight>5</weight>")).await.unwrap();
        let copied = client.copy(Datastore::Running, Datastore::Startup).await;
        assert_eq!(copied, Ok(()));
        client.commit(&confirmed_commit(600, Some("late"))).await.unwrap();
        assert_eq!(read_weight(&mut client, "s-1").await.as_deref(), Some("5.0"));
        drop((manager, client, other_client));
        let restarted = environment.start_manager(&operator_file);
        let mut client = environment.connect(&restarted, "bob").await;
        assert_eq!(read_weight(&mut client, "s-1").await.as_deref(), Some("4.0"));
    });
}

#[test]
fn a_revert_that_would_leave_an_operation_without_workers_is_deferred_and_reports_why() {
    run_async(async {
        let environment = TestEnvironment::new("overdue");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 2, &["a", "b"], rule_checker());
        proxies.wait_until("every proxy has a full table", |checker| {
            (0..2).all(|proxy| checker.routable_workers(proxy).len() == 4)
        });
        let mut client = environment.connect(&manager, "ann").await;
        edit_and_commit(&mut client, &worker_config("s-1", "<wanted>draining</wanted>")).await.unwrap();
        client.edit(&worker_config("s-1", "<wanted>follow</wanted>")).await.unwrap();
        let persist = Some("night".to_string());
        client.commit(&Commit { confirm_timeout_s: Some(5), persist, persist_id: None }).await.unwrap();
        // s-1 must be back before the others drain: a worker that drains without a replacement is removed at the end of
        // its drain grace.
        proxies.wait_until("s-1 is back", |checker| {
            (0..2).all(|proxy| checker.routable_workers(proxy).contains_key("s-1"))
        });
        let other_entries =
            |lifecycle| ["s-2", "s-3", "s-4"].map(|id| instance_json(id, "a", "127.0.0.1:9", lifecycle));
        environment.discovery.publish(&list_json(2, false, &other_entries("draining")));
        proxies.wait_until("only s-1 is left", |checker| {
            (0..2).all(|proxy| checker.routable_workers(proxy).keys().eq(["s-1"]))
        });
        let versions = |state: &Element| descendants(state, &["versions"])[0].clone();
        let mut overdue = String::new();
        while overdue.is_empty() {
            overdue = child_text(&versions(&read_state(&mut client).await), "overdue").to_string();
        }
        assert!(overdue.contains("would have no ready, warm worker"), "{overdue}");
        assert!(proxies
            .with_checker(|checker| (0..2).all(|proxy| checker.routable_workers(proxy).contains_key("s-1"))));
        environment.discovery.publish(&list_json(3, false, &other_entries("ready")));
        proxies.wait_until("the commit is reverted", |checker| {
            (0..2).all(|proxy| checker.routable_workers(proxy).keys().eq(["s-2", "s-3", "s-4"]))
        });
        assert_eq!(child_text(&versions(&read_state(&mut client).await), "overdue"), "");
        assert_eq!(proxies.with_checker(|checker| checker.violations.clone()), []);
    });
}

#[test]
fn only_known_users_are_authenticated_and_roles_limit_their_access() {
    run_async(async {
        let environment = TestEnvironment::new("known");
        let (bob_certificate, bob_key, bob_fingerprint) =
            environment.authority.issue("bob.example", VALID_NOW);
        let (ann_certificate, ann_key, ann_fingerprint) = environment.authority.issue("ann", VALID_NOW);
        let (expired_certificate, expired_key, expired_fingerprint) =
            environment.authority.issue("old.example", EXPIRED);
        let (unmapped_certificate, unmapped_key, _) = environment.authority.issue("odd.example", VALID_NOW);
        let untrusted_authority = CertificateAuthority::new(&environment.directory, "untrusted");
        let (forged_certificate, forged_key, forged_fingerprint) =
            untrusted_authority.issue("forged.example", VALID_NOW);
        let client_element = |fingerprint: &str, mapping: &str| {
            format!("<client><fingerprint>{fingerprint}</fingerprint>{mapping}</client>")
        };
        let tls_clients = [
            client_element(&bob_fingerprint, "<user>bob</user>"),
            client_element(&ann_fingerprint, "<name-from>common-name</name-from>"),
            client_element(&expired_fingerprint, "<user>ann</user>"),
            client_element(&forged_fingerprint, "<user>ann</user>"),
        ];
        let manager = environment.start_manager(&environment.write_operator_file(
            "operator.xml",
            &tls_clients.concat(),
            "",
        ));
        let tls_endpoint = |certificate: &Path, key: &Path| {
            let authorities = &environment.authority.certificate_path;
            Endpoint::tls(manager.tls_address.to_string(), "manager.example", authorities, certificate, key)
        };
        let mut bob = Client::connect(&tls_endpoint(&bob_certificate, &bob_key)).await.unwrap();
        edit_and_commit(&mut bob, &worker_config("s-1", "<weight>2</weight>")).await.unwrap();
        let mut ann = Client::connect(&tls_endpoint(&ann_certificate, &ann_key)).await.unwrap();
        let sessions = ann.get(Some("<netconf-state xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring\"><sessions/></netconf-state>"));
        let sessions = sessions.await.unwrap();
        let users: Vec<&str> = descendants(&sessions.0[0], &["sessions", "session"])
            .iter()
            .map(|session| child_text(session, "username"))
            .collect();
        assert_eq!(users, ["bob", "ann"]);
        // Rejected: an expired certificate, one that is not mapped to a user, and one of an untrusted authority.
        for (certificate, key) in [
            (&expired_certificate, &expired_key),
            (&unmapped_certificate, &unmapped_key),
            (&forged_certificate, &forged_key),
        ] {
            let error = Client::connect(&tls_endpoint(certificate, key)).await.map(|_| ()).unwrap_err();
            assert!(error.stage != Stage::Replied, "{error}");
        }
        // Rejected: an unknown key, an unknown user, and a wrong host key.
        let mallory = SshKeyPair::write(&environment.directory, "mallory", 66);
        for (user, key) in [("ann", &mallory.private_key_path), ("mallory", &mallory.private_key_path)] {
            let endpoint = Endpoint::ssh(manager.ssh_address.to_string(), user, key)
                .with_host_key(&environment.host_keys.public_key_path);
            let error = Client::connect(&endpoint).await.map(|_| ()).unwrap_err();
            assert!(matches!(error.kind, ErrorKind::Authentication(_)), "{error}");
        }
        let wrong_host_key =
            environment.ssh_endpoint(&manager, "ann").with_host_key(&mallory.public_key_path);
        let error = Client::connect(&wrong_host_key).await.map(|_| ()).unwrap_err();
        assert!(matches!(error.kind, ErrorKind::Authentication(_)), "{error}");
        // A reader can read part of the configuration and change nothing.
        let mut eve = environment.connect(&manager, "eve").await;
        let running = eve.get_config(Datastore::Running, None).await.unwrap();
        assert!(running.find(&["workers"]).is_some() && running.find(&["northbound"]).is_none());
        let error = eve.edit(&worker_config("s-1", "<weight>9</weight>")).await.unwrap_err();
        let refusal = &error.rpc_errors()[0];
        assert_eq!(refusal.tag, "access-denied");
        assert_eq!(refusal.path.as_deref(), Some("/jrm:workers/worker[name='s-1']/weight"));
        for result in
            [eve.lock(Datastore::Running).await, eve.discard().await, eve.commit(&Commit::default()).await]
        {
            assert_eq!(
                result.unwrap_err().rpc_errors()[0].tag,
                "access-denied",
                "a reader must not block other sessions"
            );
        }
        let promote_bob = format!(
            "<northbound xmlns=\"{MANAGER_NAMESPACE}\"><user><name>bob</name><role>admin</role></user></northbound>"
        );
        assert_eq!(bob.edit(&promote_bob).await.unwrap_err().rpc_errors()[0].tag, "access-denied");
        // An admin's change of the users applies to new sessions at once.
        let delete_eve = format!(
            "<northbound xmlns=\"{MANAGER_NAMESPACE}\" xmlns:n=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
             <user n:operation=\"delete\"><name>eve</name></user></northbound>"
        );
        edit_and_commit(&mut ann, &delete_eve).await.unwrap();
        assert!(Client::connect(&environment.ssh_endpoint(&manager, "eve")).await.is_err());
        let kill_session = Element::new("urn:ietf:params:xml:ns:netconf:base:1.0", "kill-session")
            .with_child(Element::with_text(
                "urn:ietf:params:xml:ns:netconf:base:1.0",
                "session-id",
                eve.session_id.to_string(),
            ));
        ann.rpc(kill_session).await.unwrap();
        assert!(eve.get_config(Datastore::Running, None).await.is_err(), "the killed session must be closed");
    });
}

#[test]
fn malformed_requests_get_an_error_or_close_the_session_and_change_nothing() {
    run_async(async {
        let environment = TestEnvironment::new("malformed");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let mut other_client = environment.connect(&manager, "bob").await;
        let before = other_client.get_config(Datastore::Running, None).await.unwrap();
        let rpc = |body: &str| {
            format!("<rpc message-id=\"7\" xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">{body}</rpc>")
        };
        let edit = |config: &str| {
            rpc(&format!("<edit-config><target><candidate/></target><config>{config}</config></edit-config>"))
        };
        let chunked = |text: &str| format!("\n#{}\n{text}\n##\n", text.len());
        // Each message gets an error, and the session stays open.
        let mut client = environment.connect(&manager, "bob").await;
        for (message, tag) in [
            ("<rpc".to_string(), "malformed-message"),
            (rpc("<get>"), "malformed-message"),
            ("<hello/>".into(), "malformed-message"),
            (rpc(""), "malformed-message"),
            (rpc("<get/><get/>"), "malformed-message"),
            (rpc(&"<a>".repeat(10_000)), "malformed-message"),
            (format!("<!DOCTYPE a [<!ENTITY b 'b'>]>{}", rpc("<get>&b;</get>")), "malformed-message"),
            (rpc("<get>&unknown;</get>"), "malformed-message"),
            (rpc("<get/>").replace(" message-id=\"7\"", ""), "missing-attribute"),
            (rpc("<shout/>"), "operation-not-supported"),
            (rpc("<get xmlns='urn:none'/>"), "operation-not-supported"),
            (rpc("<get><loud/></get>"), "unknown-element"),
            (rpc("<get loud='1'/>"), "unknown-attribute"),
            (rpc("<get-config/>"), "missing-element"),
            (rpc("<get-config><source><somewhere/></source></get-config>"), "unknown-element"),
            (rpc("<get><filter type='xpath' select='/'/></get>"), "bad-attribute"),
            (edit("<workers xmlns='urn:none'/>"), "unknown-namespace"),
            (edit(&format!("<strollers xmlns='{MANAGER_NAMESPACE}'/>")), "unknown-element"),
            (edit(&worker_config("s-1", "<hue>red</hue>")), "unknown-element"),
            (edit(&worker_config("s-1", "<weight>NaN</weight>")), "invalid-value"),
            (edit(&worker_config("s-1", "<weight>-1</weight>")), "invalid-value"),
            (edit(&worker_config("s-1", "<weight>inf</weight>")), "invalid-value"),
            (edit(&worker_config("s 1", "")), "invalid-value"),
            (edit("<state xmlns='tag:juniperrail.example,2026:yang:state'/>"), "unknown-element"),
            (edit(&worker_config("s-1", "<wanted hue='red'>out</wanted>")), "unknown-attribute"),
            (rpc("<commit><confirm-timeout>0</confirm-timeout></commit>"), "invalid-value"),
            (rpc("<cancel-commit/>"), "operation-failed"),
            (rpc("<unlock><target><running/></target></unlock>"), "operation-failed"),
            (rpc("<kill-session><session-id>999</session-id></kill-session>"), "invalid-value"),
            (
                rpc("<copy-config><target><running/></target><source><startup/></source></copy-config>"),
                "operation-not-supported",
            ),
        ] {
            client.send_raw(chunked(&message).as_bytes()).await.unwrap();
            let error = client.read_reply().await.unwrap_err();
            assert_eq!(
                error.rpc_errors().first().map(|refusal| refusal.tag.as_str()),
                Some(tag),
                "{message:.200}: {error}"
            );
        }
        client.send_raw(chunked("<a>\u{1}").as_bytes()).await.unwrap();
        assert_eq!(client.read_reply().await.unwrap_err().rpc_errors()[0].tag, "malformed-message");
        client.send_raw(b"\n#4\n<a>\xff\n##\n").await.unwrap();
        assert_eq!(client.read_reply().await.unwrap_err().rpc_errors()[0].tag, "malformed-message");
        // Errors of the message framing close the session, and no other.
        for invalid_frame in
            [&b"\n#0\n"[..], b"\n#4294967295\n", b"\n#99999999999\n", b"<rpc>]]>]]>", b"\n##\n"]
        {
            let mut client = environment.connect(&manager, "bob").await;
            client.send_raw(invalid_frame).await.unwrap();
            let end = timeout(WAIT_TIMEOUT, client.read_reply()).await.expect("the session was not closed");
            assert!(matches!(end.unwrap_err().kind, ErrorKind::ConnectionLost(_)));
        }
        assert_eq!(other_client.get_config(Datastore::Running, None).await.unwrap(), before);
        assert_eq!(other_client.get_config(Datastore::Candidate, None).await.unwrap(), before);
    });
}

/// The OpenSSH client exits with the status that the server sends. If it is disconnected first, it discards output that
/// it has not printed yet.
#[test]
fn a_closed_session_sends_its_last_reply_and_an_exit_status_before_it_disconnects() {
    use russh::client::{connect, Config, Handler};
    use russh::keys::{load_secret_key, PrivateKeyWithHashAlg, PublicKeyOrCertificate};

    struct AcceptAnyHostKey;
    impl Handler for AcceptAnyHostKey {
        type Error = russh::Error;

        async fn check_server_key(&mut self, _: &PublicKeyOrCertificate) -> Result<bool, russh::Error> {
            Ok(true)
        }
    }
    run_async(async {
        let environment = TestEnvironment::new("status");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let mut ssh = connect(std::sync::Arc::new(Config::default()), manager.ssh_address, AcceptAnyHostKey)
            .await
            .unwrap();
        let key = load_secret_key(&environment.users[1].keys.private_key_path, None).unwrap();
        let key = PrivateKeyWithHashAlg::new(std::sync::Arc::new(key), None);
        assert!(ssh.authenticate_publickey("bob", key).await.unwrap().success());
        let mut channel = ssh.channel_open_session().await.unwrap();
        channel.request_subsystem(true, "netconf").await.unwrap();
        let base = "urn:ietf:params:xml:ns:netconf:base:1.0";
        let text = format!(
            "<hello xmlns=\"{base}\"><capabilities><capability>urn:ietf:params:netconf:base:1.0</capability>\
             </capabilities></hello>]]>]]><rpc message-id=\"1\" xmlns=\"{base}\"><close-session/></rpc>]]>]]>"
        );
        channel.data(text.as_bytes()).await.unwrap();
        channel.eof().await.unwrap();
        let mut output = String::new();
        let mut status = None;
        while let Some(message) = channel.wait().await {
            match message {
                russh::ChannelMsg::Data { data } => output += std::str::from_utf8(&data).unwrap(),
                russh::ChannelMsg::ExitStatus { exit_status } => status = Some(exit_status),
                _ => {}
            }
        }
        assert!(output.ends_with("message-id=\"1\"><ok/></rpc-reply>]]>]]>"), "{output}");
        assert_eq!(status, Some(0));
    });
}

#[test]
fn sessions_that_stall_in_a_message_or_send_no_hello_are_closed() {
    run_async(async {
        let environment = TestEnvironment::new("stalls");
        let file = environment.write_operator_file("operator.xml", "", "");
        let limits =
            "<netconf><sessions>2</sessions><hello-within>1500</hello-within><idle-within>3000</idle-within>";
        fs::write(&file, fs::read_to_string(&file).unwrap().replace("<netconf>", limits)).unwrap();
        let manager = environment.start_manager(&file);
        let unauthenticated: Vec<std::net::TcpStream> =
            (0..4).map(|_| std::net::TcpStream::connect(manager.ssh_address).unwrap()).collect();
        // With two sessions only one connection may be unauthenticated at a time; another one is accepted once such a
        // connection has timed out without a hello. On a busy machine connecting can take longer than the hello
        // timeout, so both clients connect again until both succeed.
        let (mut first, mut second) = loop {
            let Ok(first) = Client::connect(&environment.ssh_endpoint(&manager, "bob")).await else {
                continue;
            };
            if let Ok(second) = Client::connect(&environment.ssh_endpoint(&manager, "ann")).await {
                break (first, second);
            }
        };
        first.send_raw(b"\n#1000\n<rpc").await.unwrap();
        second.send_raw(b"\n#").await.unwrap();
        for client in [&mut first, &mut second] {
            let end = timeout(WAIT_TIMEOUT, client.read_reply()).await.expect("the session was not closed");
            assert!(matches!(end.unwrap_err().kind, ErrorKind::ConnectionLost(_)));
        }
        loop {
            if let Ok(mut client) = Client::connect(&environment.ssh_endpoint(&manager, "ann")).await {
                assert!(client.get_config(Datastore::Running, None).await.is_ok());
                break;
            }
        }
        drop(unauthenticated);
    });
}

#[test]
fn a_client_can_be_dropped_outside_its_runtime() {
    let environment = TestEnvironment::new("dropped");
    let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = runtime.block_on(environment.connect(&manager, "bob"));
    drop(client);
    runtime.block_on(async { environment.connect(&manager, "bob").await.close().await.unwrap() });
    let open_client = runtime.block_on(environment.connect(&manager, "bob"));
    drop(runtime);
    drop(open_client);
}

#[test]
fn two_sessions_share_the_candidate_and_its_lock_excludes_other_sessions() {
    run_async(async {
        let environment = TestEnvironment::new("two");
        let manager = environment.start_manager(&environment.write_operator_file("operator.xml", "", ""));
        let mut ann = environment.connect(&manager, "ann").await;
        let mut bob = environment.connect(&manager, "bob").await;
        let ann_edit = worker_config("s-1", "<weight>2</weight>");
        let bob_edit = worker_config("s-2", "<weight>3</weight>");
        let (ann_result, bob_result) = tokio::join!(ann.edit(&ann_edit), bob.edit(&bob_edit));
        assert_eq!((ann_result, bob_result), (Ok(()), Ok(())));
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(
            read_weight(&mut ann, "s-1").await.as_deref(),
            Some("2.0"),
            "the shared candidate contains both changes"
        );
        ann.lock(Datastore::Candidate).await.unwrap();
        let error = bob.edit(&ann_edit).await.unwrap_err();
        assert_eq!(error.rpc_errors()[0].tag, "in-use");
        assert_eq!(bob.commit(&Commit::default()).await.unwrap_err().rpc_errors()[0].tag, "in-use");
        let denied = bob.lock(Datastore::Candidate).await.unwrap_err();
        assert!(
            denied.to_string().contains(&format!("session {} holds the lock", ann.session_id)),
            "{denied}"
        );
        ann.edit(&worker_config("s-1", "<weight>9</weight>")).await.unwrap();
        drop(ann);
        // When a session ends, its lock is released and its uncommitted changes are discarded.
        while bob.lock(Datastore::Candidate).await.is_err() {}
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(read_weight(&mut bob, "s-1").await.as_deref(), Some("2.0"));
        bob.rollback(1).await.unwrap();
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(read_weight(&mut bob, "s-1").await, None);
        assert_eq!(bob.rollback(77).await.unwrap_err().rpc_errors()[0].tag, "invalid-value");
        let yang = bob.schema("juniperrail-manager").await.unwrap();
        assert_eq!(yang, include_str!("../../../yang/juniperrail-manager.yang"));
    });
}

/// Guards against a commit that succeeds without its edits, because the refusal of another client's change had discarded
/// them from the shared candidate. The clients are all pairs of transports.
#[test]
fn a_commit_whose_edits_another_client_discarded_is_refused_over_each_transport() {
    run_async(async {
        let environment = TestEnvironment::new("undone");
        let (certificate, key, fingerprint) = environment.authority.issue("bob.example", VALID_NOW);
        let tls_client = format!("<client><fingerprint>{fingerprint}</fingerprint><user>bob</user></client>");
        let manager =
            environment.start_manager(&environment.write_operator_file("operator.xml", &tls_client, ""));
        let authorities = &environment.authority.certificate_path;
        let tls_address = manager.tls_address.to_string();
        let tls_endpoint = Endpoint::tls(tls_address, "manager.example", authorities, certificate, key);
        let endpoints = [environment.ssh_endpoint(&manager, "ann"), tls_endpoint];
        let valid_change = worker_config("s-1", "<wanted>draining</wanted>");
        let invalid_change =
            WORKERS.map(|(worker, _)| worker_config(worker, "<wanted>out</wanted>")).concat();
        for (valid, invalid) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let mut client = Client::connect(&endpoints[valid]).await.unwrap();
            let mut other = Client::connect(&endpoints[invalid]).await.unwrap();
            client.edit(&valid_change).await.unwrap();
            let refusal = edit_and_commit(&mut other, &invalid_change).await.unwrap_err();
            assert_eq!(refusal.rpc_errors()[0].app_tag.as_deref(), Some("no-ready-worker"), "{refusal}");
            let refusal = client.commit(&Commit::default()).await.unwrap_err();
            let rpc_error = &refusal.rpc_errors()[0];
            assert_eq!(
                (rpc_error.tag.as_str(), rpc_error.app_tag.as_deref()),
                ("operation-failed", Some("edits-undone"))
            );
            let names_session = format!("session {} ", other.session_id);
            assert!(rpc_error.message.contains(&names_session), "{}", rpc_error.message);
            edit_and_commit(&mut client, &valid_change).await.unwrap();
            let running = client.get_config(Datastore::Running, None).await.unwrap();
            assert!(running.text().contains("<wanted>draining</wanted>"), "{}", running.text());
            edit_and_commit(&mut client, &worker_config("s-1", "<wanted>follow</wanted>")).await.unwrap();
        }
    });
}
