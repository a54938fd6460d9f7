//! Stories from the north: managers on real sockets, stand-in proxies and discovery, and clients over SSH and TLS
//! that change what is wanted. The checker of the rules watches the proxies all the while.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use juniperrail_client::{Client, ClientError, Commit, Datastore, Endpoint, ErrorKind, Stage};
use juniperrail_manager::{Launch, Manager};
use juniperrail_model::xml::Element;
use juniperrail_standins::{entry, list, Authority, Discovery, Limits, Proxies, Rules, SshKeys, SETTINGS};
use tokio::time::timeout;

const MANAGER: &str = "tag:juniperrail.example,2026:yang:manager";
const WITHIN: Duration = Duration::from_secs(20);

/// Workers of zone a, and of zone b.
const WORKERS: [(&str, &str); 4] = [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b")];

/// What all managers of a story share: discovery, keys, certificates.
struct Ground {
    folder: PathBuf,
    discovery: Discovery,
    keys: Vec<(&'static str, &'static str, SshKeys)>,
    authority: Authority,
    host: SshKeys,
}

impl Ground {
    fn new(name: &str) -> Ground {
        let folder = std::env::temp_dir().join(format!("juniperrail-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let users = [("ann", "admin"), ("bob", "operator"), ("eve", "reader")];
        let keys = users.into_iter().zip(1..);
        let keys = keys.map(|((user, role), seed)| (user, role, SshKeys::write(&folder, user, seed)));
        let discovery = Discovery::start();
        let entries = WORKERS.map(|(id, zone)| entry(id, zone, "127.0.0.1:9", "ready"));
        discovery.tell(&list(1, true, &entries));
        let (keys, host) = (keys.collect(), SshKeys::write(&folder, "host", 99));
        Ground { discovery, keys, authority: Authority::new(&folder, "authority"), host, folder }
    }

    /// The operator's file, with both listeners and `more` beside them.
    fn file(&self, name: &str, tls_more: &str, more: &str) -> PathBuf {
        let (certificate, key, _) = self.authority.issue("manager.example", (-1, 1));
        let shown = |path: &Path| path.file_name().unwrap().to_str().unwrap().to_string();
        let users: String = self
            .keys
            .iter()
            .map(|(user, role, keys)| {
                format!("<user><name>{user}</name><role>{role}</role><ssh-key>{}</ssh-key></user>", keys.line)
            })
            .collect();
        let text = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><northbound xmlns="{MANAGER}"><netconf>
            <ssh><listen>127.0.0.1:0</listen><host-key>host</host-key></ssh>
            <tls><listen>127.0.0.1:0</listen><certificate>{}</certificate><key>{}</key>
            <client-authorities>authority.pem</client-authorities>{tls_more}</tls></netconf>{users}
            </northbound>{more}</config>"#,
            shown(&certificate),
            shown(&key)
        );
        let path = self.folder.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    fn config(&self, name: &str) -> String {
        let known = list(1, true, &WORKERS.map(|(id, zone)| entry(id, zone, "127.0.0.1:9", "ready")));
        let discovery = self.discovery.address;
        format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
        )
    }

    fn manager(&self, file: &Path) -> Running {
        let (config, file) = (self.config("n0"), file.to_path_buf());
        let (tell, told) = mpsc::channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let launch = Launch::new(&config, |_| None).unwrap().with_operator_file(file, true).unwrap();
                let manager = Manager::bind(launch).await.unwrap();
                tell.send((manager.address(), manager.netconf_addresses())).unwrap();
                tokio::select! { () = manager.serve() => {}, _ = stopped => {} }
            });
        });
        let (address, (ssh, tls)) = told.recv().unwrap();
        Running { address, ssh: ssh.unwrap(), tls: tls.unwrap(), _stop: stop }
    }

    fn ssh(&self, manager: &Running, user: &str) -> Endpoint {
        let key = &self.keys.iter().find(|(name, ..)| *name == user).unwrap().2.private;
        Endpoint::ssh(manager.ssh.to_string(), user, key).with_host_key(&self.host.public)
    }

    async fn dial(&self, manager: &Running, user: &str) -> Client {
        Client::connect(&self.ssh(manager, user)).await.unwrap()
    }
}

impl Drop for Ground {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.folder);
    }
}

struct Running {
    address: SocketAddr,
    ssh: SocketAddr,
    tls: SocketAddr,
    /// The manager ends as this is dropped.
    _stop: tokio::sync::oneshot::Sender<()>,
}

fn rules() -> Rules {
    // The grace on a machine that does much else besides; the lab holds managers to the real one.
    let limits = Limits {
        drain_grace: 15_000.0,
        messages_most: usize::MAX,
        messages_over: 10_000.0,
        lines_waiting_most: 5000.0,
        message_overhead: 4.0,
    };
    let mut rules = Rules::new(limits);
    WORKERS.iter().for_each(|(worker, _)| rules.knows(worker));
    rules
}

fn worker(name: &str, body: &str) -> String {
    format!("<workers xmlns=\"{MANAGER}\"><worker><name>{name}</name>{body}</worker></workers>")
}

async fn changed(client: &mut Client, config: &str) -> Result<(), ClientError> {
    client.edit(config).await?;
    let done = client.commit(&Commit::default()).await;
    if done.is_err() {
        client.discard().await?;
    }
    done
}

async fn weight(client: &mut Client, name: &str) -> Option<String> {
    let got = client.get_config(Datastore::Running, None).await.unwrap();
    let workers = got.find(&["workers"])?;
    let found = workers.children.iter().find(|of| of.children.iter().any(|leaf| leaf.text == name))?;
    found.children.iter().find(|leaf| leaf.name == "weight").map(|leaf| leaf.text.clone())
}

async fn state(client: &mut Client) -> Element {
    let filter = "<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>";
    client.get(Some(filter)).await.unwrap().0.remove(0)
}

fn below<'a>(element: &'a Element, names: &[&str]) -> Vec<&'a Element> {
    let Some((first, rest)) = names.split_first() else { return vec![element] };
    let fitting = element.children.iter().filter(|child| child.name == *first);
    fitting.flat_map(|child| below(child, rest)).collect()
}

fn text<'a>(element: &'a Element, name: &str) -> &'a str {
    below(element, &[name]).first().map_or("", |leaf| leaf.text.as_str())
}

fn run(story: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        timeout(Duration::from_secs(120), story).await.expect("the story comes to its end")
    });
}

#[test]
fn a_change_reaches_every_proxy_whole_and_the_state_says_so() {
    run(async {
        let ground = Ground::new("whole");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 6, &["a", "b"], rules());
        proxies.until("tables", |rules| (0..6).all(|proxy| rules.holds(proxy).len() == 4));
        let mut client = ground.dial(&manager, "bob").await;
        let mut watcher = ground.dial(&manager, "ann").await;
        watcher.subscribe(None).await.unwrap();
        proxies.rules(|rules| rules.leaves("s-1", 0.0));
        proxies.rules(|rules| rules.returns("s-1"));
        let now = proxies.now();
        changed(&mut client, &worker("s-1", "<wanted>draining</wanted>")).await.unwrap();
        proxies.rules(|rules| rules.leaves("s-1", now));
        proxies.until("s-1 is out", |rules| (0..6).all(|proxy| !rules.holds(proxy).contains_key("s-1")));
        // The event of the change, then that all hold it.
        let mut events = Vec::new();
        while events.last() != Some(&"change-held".to_string()) {
            let told = timeout(WITHIN, watcher.next_notification()).await.unwrap().unwrap();
            events.push(told.children[1].name.clone());
        }
        assert!(events.contains(&"netconf-config-change".to_string()), "{events:?}");
        let state = state(&mut client).await;
        let change = below(&state, &["changes", "change"]).pop().unwrap().clone();
        assert_eq!(
            (text(&change, "progress"), text(&change, "held-by"), text(&change, "by")),
            ("held", "6", "bob")
        );
        let of = below(&state, &["workers", "worker"]);
        let drained = of.iter().find(|worker| text(worker, "name") == "s-1").unwrap();
        assert_eq!((text(drained, "phase"), text(drained, "phase-from")), ("draining", "operator"));
        assert_eq!(text(drained, "discovery-phase"), "ready");
        for proxy in below(&state, &["proxies", "proxy"]) {
            assert_eq!(text(proxy, "shut-out"), "s-1");
        }
        changed(&mut client, &worker("s-1", "<wanted>follow</wanted><weight>0.5</weight>")).await.unwrap();
        proxies.rules(|rules| rules.returns("s-1"));
        proxies.until("s-1 is back", |rules| (0..6).all(|proxy| rules.holds(proxy).contains_key("s-1")));
        proxies.until("its weight", |rules| (0..6).all(|proxy| rules.holds(proxy)["s-1"] < 0.6));
        client.close().await.unwrap();
        assert_eq!(proxies.rules(|rules| rules.broken.clone()), []);
        drop(manager);
    });
}

#[test]
fn what_would_leave_an_operation_bare_or_is_looser_than_the_settings_is_refused_with_the_reason() {
    run(async {
        let ground = Ground::new("bare");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 4, &["a", "b"], rules());
        proxies.until("tables", |rules| (0..4).all(|proxy| rules.holds(proxy).len() == 4));
        let mut client = ground.dial(&manager, "bob").await;
        let all = |body: &str| WORKERS.map(|(name, _)| worker(name, body)).concat();
        for (config, tag, path) in [
            (all("<wanted>draining</wanted>"), "no-ready-worker", "/jrm:workers"),
            (all("<wanted>out</wanted>"), "no-ready-worker", "/jrm:workers"),
            (all("<weight>0</weight>"), "no-ready-worker", "/jrm:workers"),
            (
                format!("<figures xmlns=\"{MANAGER}\"><drain-grace>3000.5</drain-grace></figures>"),
                "looser-than-settings",
                "/jrm:figures/drain-grace",
            ),
            (
                format!("<figures xmlns=\"{MANAGER}\"><drain-grace>900</drain-grace></figures>"),
                "grace-too-short",
                "/jrm:figures/drain-grace",
            ),
            (
                worker("s-9", "<place><zone>nowhere</zone></place>"),
                "unknown-zone",
                "/jrm:workers/worker[name='s-9']/place/zone",
            ),
        ] {
            let failed = changed(&mut client, &config).await.unwrap_err();
            let refusal = &failed.rpc_errors()[0];
            assert_eq!(
                (refusal.app_tag.as_deref(), refusal.path.as_deref()),
                (Some(tag), Some(path)),
                "{failed}"
            );
            assert_eq!(refusal.tag, "operation-failed");
        }
        // Two that are each fine alone.
        for (name, _) in &WORKERS[..3] {
            changed(&mut client, &worker(name, "<wanted>draining</wanted>")).await.unwrap();
        }
        let failed = changed(&mut client, &worker("s-4", "<weight>0</weight>")).await.unwrap_err();
        assert!(failed.to_string().contains("lookup would have no ready, warm worker"), "{failed}");
        proxies.until("one is left", |rules| (0..4).all(|p| rules.holds(p).keys().eq(["s-4"])));
        // What discovery takes away meanwhile is not the commit's to give: gone stays gone, and back again.
        ground.discovery.tell(&list(2, false, &[entry("s-1", "a", "127.0.0.1:9", "gone")]));
        let mut phase = String::new();
        while phase != "gone" {
            let state = state(&mut client).await;
            let workers = below(&state, &["workers", "worker"]);
            phase =
                workers.iter().find(|w| text(w, "name") == "s-1").map_or("gone", |w| text(w, "phase")).into();
        }
        changed(&mut client, &worker("s-1", "<wanted>ready</wanted>")).await.unwrap();
        assert!(proxies.rules(|rules| (0..4).all(|p| !rules.holds(p).contains_key("s-1"))));
        ground.discovery.tell(&list(3, false, &[entry("s-1", "a", "127.0.0.1:9", "ready")]));
        proxies.until("s-1 is back", |rules| (0..4).all(|p| rules.holds(p).contains_key("s-1")));
        assert_eq!(proxies.rules(|rules| rules.broken.clone()), []);
    });
}

#[test]
fn a_change_shows_as_not_held_where_one_manager_is_slow() {
    run(async {
        let ground = Ground::new("slow");
        let file = ground.file("operator.xml", "", "");
        let (quick, slow) = (ground.manager(&file), ground.manager(&file));
        let quick_proxies = Proxies::start(quick.address, 0, 4, &["a", "b"], rules());
        let slow_proxies = Proxies::start(slow.address, 4, 4, &["a", "b"], rules());
        quick_proxies.until("tables", |rules| (0..4).all(|proxy| rules.holds(proxy).len() == 4));
        slow_proxies.until("tables", |rules| (4..8).all(|proxy| rules.holds(proxy).len() == 4));
        let (mut one, mut other) = (ground.dial(&quick, "bob").await, ground.dial(&slow, "bob").await);
        slow_proxies.stall(true);
        for client in [&mut one, &mut other] {
            changed(client, &worker("s-2", "<wanted>draining</wanted>")).await.unwrap();
        }
        quick_proxies.until("out", |rules| (0..4).all(|proxy| !rules.holds(proxy).contains_key("s-2")));
        let change = |state: &Element| below(state, &["changes", "change"]).pop().unwrap().clone();
        loop {
            let change = change(&state(&mut one).await);
            if text(&change, "progress") == "held" {
                break;
            }
        }
        let waits = change(&state(&mut other).await);
        assert_eq!((text(&waits, "progress"), text(&waits, "held-by")), ("going-out", "0"));
        // A later change of the same worker supersedes what nobody holds yet.
        changed(&mut other, &worker("s-2", "<wanted>follow</wanted>")).await.unwrap();
        let states = state(&mut other).await;
        let all: Vec<&str> =
            below(&states, &["changes", "change"]).iter().map(|c| text(c, "progress")).collect();
        assert_eq!(all, ["superseded", "going-out"]);
        slow_proxies.stall(false);
        slow_proxies.until("back", |rules| (4..8).all(|proxy| rules.holds(proxy).contains_key("s-2")));
        while text(&change(&state(&mut other).await), "progress") != "held" {}
        for proxies in [&quick_proxies, &slow_proxies] {
            assert_eq!(proxies.rules(|rules| rules.broken.clone()), []);
        }
    });
}

#[test]
fn a_confirmed_commit_is_taken_back_as_its_session_is_cut_or_its_time_is_over() {
    run(async {
        let ground = Ground::new("confirmed");
        let file = ground.file("operator.xml", "", "");
        let manager = ground.manager(&file);
        let mut other = ground.dial(&manager, "ann").await;
        let mut client = ground.dial(&manager, "bob").await;
        let confirm = |seconds, persist: Option<&str>| Commit {
            confirm_timeout_s: Some(seconds),
            persist: persist.map(str::to_string),
            persist_id: None,
        };
        client.edit(&worker("s-1", "<weight>2</weight>")).await.unwrap();
        client.commit(&confirm(600, None)).await.unwrap();
        assert_eq!(weight(&mut other, "s-1").await.as_deref(), Some("2.0"));
        let failed = other.commit(&Commit::default()).await.unwrap_err();
        assert_eq!(failed.rpc_errors()[0].tag, "in-use");
        // Another session holds the candidate meanwhile.
        other.lock(Datastore::Candidate).await.unwrap();
        assert_eq!(other.lock(Datastore::Running).await.unwrap_err().rpc_errors()[0].tag, "lock-denied");
        drop(client);
        while weight(&mut other, "s-1").await.is_some() {}
        other.unlock(Datastore::Candidate).await.unwrap();
        let mut client = ground.dial(&manager, "bob").await;
        client.edit(&worker("s-1", "<weight>3</weight>")).await.unwrap();
        client.commit(&confirm(1, Some("night"))).await.unwrap();
        client.close().await.unwrap();
        assert_eq!(
            weight(&mut other, "s-1").await.as_deref(),
            Some("3.0"),
            "it has a name and outlives its session"
        );
        while weight(&mut other, "s-1").await.is_some() {}
        // Confirmed by another session in time, it stays, and startup holds it over a restart; what waits does not.
        other.edit(&worker("s-1", "<weight>4</weight>")).await.unwrap();
        other.commit(&confirm(600, Some("day"))).await.unwrap();
        let mut client = ground.dial(&manager, "bob").await;
        let day = Commit { persist_id: Some("day".into()), ..Commit::default() };
        client.commit(&day).await.unwrap();
        client.edit(&worker("s-1", "<weight>5</weight>")).await.unwrap();
        let failed = client.copy(Datastore::Running, Datastore::Startup).await;
        assert_eq!(failed, Ok(()));
        client.commit(&confirm(600, Some("late"))).await.unwrap();
        assert_eq!(weight(&mut client, "s-1").await.as_deref(), Some("5.0"));
        drop((manager, client, other));
        let again = ground.manager(&file);
        let mut client = ground.dial(&again, "bob").await;
        assert_eq!(weight(&mut client, "s-1").await.as_deref(), Some("4.0"));
    });
}

#[test]
fn a_roll_back_that_would_leave_an_operation_bare_waits_and_says_why() {
    run(async {
        let ground = Ground::new("overdue");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let proxies = Proxies::start(manager.address, 0, 2, &["a", "b"], rules());
        proxies.until("tables", |rules| (0..2).all(|proxy| rules.holds(proxy).len() == 4));
        let mut client = ground.dial(&manager, "ann").await;
        changed(&mut client, &worker("s-1", "<wanted>draining</wanted>")).await.unwrap();
        client.edit(&worker("s-1", "<wanted>follow</wanted>")).await.unwrap();
        let persist = Some("night".to_string());
        client.commit(&Commit { confirm_timeout_s: Some(5), persist, persist_id: None }).await.unwrap();
        // Drained before the replacement is there, the others would go when their patience is over.
        proxies.until("s-1 is back", |rules| (0..2).all(|proxy| rules.holds(proxy).contains_key("s-1")));
        let all = |phase| ["s-2", "s-3", "s-4"].map(|id| entry(id, "a", "127.0.0.1:9", phase));
        ground.discovery.tell(&list(2, false, &all("draining")));
        proxies.until("s-1 alone", |rules| (0..2).all(|proxy| rules.holds(proxy).keys().eq(["s-1"])));
        let versions = |state: &Element| below(state, &["versions"])[0].clone();
        let mut overdue = String::new();
        while overdue.is_empty() {
            overdue = text(&versions(&state(&mut client).await), "overdue").to_string();
        }
        assert!(overdue.contains("would have no ready, warm worker"), "{overdue}");
        assert!(proxies.rules(|rules| (0..2).all(|proxy| rules.holds(proxy).contains_key("s-1"))));
        ground.discovery.tell(&list(3, false, &all("ready")));
        proxies.until("taken back", |rules| (0..2).all(|p| rules.holds(p).keys().eq(["s-2", "s-3", "s-4"])));
        assert_eq!(text(&versions(&state(&mut client).await), "overdue"), "");
        assert_eq!(proxies.rules(|rules| rules.broken.clone()), []);
    });
}

#[test]
fn only_who_is_known_comes_in_and_each_does_what_the_role_allows() {
    run(async {
        let ground = Ground::new("known");
        let (bob_crt, bob_key, bob_print) = ground.authority.issue("bob.example", (-1, 1));
        let (ann_crt, ann_key, ann_print) = ground.authority.issue("ann", (-1, 1));
        let (old_crt, old_key, old_print) = ground.authority.issue("old.example", (-2, -1));
        let (odd_crt, odd_key, _) = ground.authority.issue("odd.example", (-1, 1));
        let stranger = Authority::new(&ground.folder, "strangers");
        let (forged_crt, forged_key, forged_print) = stranger.issue("forged.example", (-1, 1));
        let client =
            |print: &str, more: &str| format!("<client><fingerprint>{print}</fingerprint>{more}</client>");
        let tls = [
            client(&bob_print, "<user>bob</user>"),
            client(&ann_print, "<name-from>common-name</name-from>"),
            client(&old_print, "<user>ann</user>"),
            client(&forged_print, "<user>ann</user>"),
        ];
        let manager = ground.manager(&ground.file("operator.xml", &tls.concat(), ""));
        let over_tls = |crt: &Path, key: &Path| {
            let authorities = &ground.authority.certificate;
            Endpoint::tls(manager.tls.to_string(), "manager.example", authorities, crt, key)
        };
        let mut bob = Client::connect(&over_tls(&bob_crt, &bob_key)).await.unwrap();
        changed(&mut bob, &worker("s-1", "<weight>2</weight>")).await.unwrap();
        let mut ann = Client::connect(&over_tls(&ann_crt, &ann_key)).await.unwrap();
        let sessions = ann.get(Some("<netconf-state xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring\"><sessions/></netconf-state>"));
        let sessions = sessions.await.unwrap();
        let users: Vec<&str> =
            below(&sessions.0[0], &["sessions", "session"]).iter().map(|s| text(s, "username")).collect();
        assert_eq!(users, ["bob", "ann"]);
        // A stale certificate, one that stands for nobody, and one that nobody we trust vouches for.
        for (crt, key) in [(&old_crt, &old_key), (&odd_crt, &odd_key), (&forged_crt, &forged_key)] {
            let failed = Client::connect(&over_tls(crt, key)).await.map(|_| ()).unwrap_err();
            assert!(failed.stage != Stage::Replied, "{failed}");
        }
        // An unknown key, a user that nobody named, a host that is not the one.
        let mallory = SshKeys::write(&ground.folder, "mallory", 66);
        for (user, key) in [("ann", &mallory.private), ("mallory", &mallory.private)] {
            let dial = Endpoint::ssh(manager.ssh.to_string(), user, key).with_host_key(&ground.host.public);
            let failed = Client::connect(&dial).await.map(|_| ()).unwrap_err();
            assert!(matches!(failed.kind, ErrorKind::Authentication(_)), "{failed}");
        }
        let other_host = ground.ssh(&manager, "ann").with_host_key(&mallory.public);
        let failed = Client::connect(&other_host).await.map(|_| ()).unwrap_err();
        assert!(matches!(failed.kind, ErrorKind::Authentication(_)), "{failed}");
        // A user without rights sees and does what the role allows.
        let mut eve = ground.dial(&manager, "eve").await;
        let got = eve.get_config(Datastore::Running, None).await.unwrap();
        assert!(got.find(&["workers"]).is_some() && got.find(&["northbound"]).is_none());
        let failed = eve.edit(&worker("s-1", "<weight>9</weight>")).await.unwrap_err();
        let refusal = &failed.rpc_errors()[0];
        assert_eq!(refusal.tag, "access-denied");
        assert_eq!(refusal.path.as_deref(), Some("/jrm:workers/worker[name='s-1']/weight"));
        for refused in
            [eve.lock(Datastore::Running).await, eve.discard().await, eve.commit(&Commit::default()).await]
        {
            assert_eq!(
                refused.unwrap_err().rpc_errors()[0].tag,
                "access-denied",
                "nor does a reader hold others up"
            );
        }
        let raise = format!(
            "<northbound xmlns=\"{MANAGER}\"><user><name>bob</name><role>admin</role></user></northbound>"
        );
        assert_eq!(bob.edit(&raise).await.unwrap_err().rpc_errors()[0].tag, "access-denied");
        // An admin's change of users holds at once, for those who come from then on.
        let gone = format!(
            "<northbound xmlns=\"{MANAGER}\" xmlns:n=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
             <user n:operation=\"delete\"><name>eve</name></user></northbound>"
        );
        changed(&mut ann, &gone).await.unwrap();
        assert!(Client::connect(&ground.ssh(&manager, "eve")).await.is_err());
        let kill =
            Element::new("urn:ietf:params:xml:ns:netconf:base:1.0", "kill-session").with(Element::with_text(
                "urn:ietf:params:xml:ns:netconf:base:1.0",
                "session-id",
                eve.session_id.to_string(),
            ));
        ann.rpc(kill).await.unwrap();
        assert!(eve.get_config(Datastore::Running, None).await.is_err(), "ended");
    });
}

#[test]
fn what_cannot_be_read_gets_an_error_or_an_end_and_changes_nothing() {
    run(async {
        let ground = Ground::new("spoilt");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let mut sound = ground.dial(&manager, "bob").await;
        let before = sound.get_config(Datastore::Running, None).await.unwrap();
        let rpc = |body: &str| {
            format!("<rpc message-id=\"7\" xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">{body}</rpc>")
        };
        let edit = |config: &str| {
            rpc(&format!("<edit-config><target><candidate/></target><config>{config}</config></edit-config>"))
        };
        let chunked = |text: &str| format!("\n#{}\n{text}\n##\n", text.len());
        // Each is answered and the session goes on.
        let mut client = ground.dial(&manager, "bob").await;
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
            (edit(&format!("<strollers xmlns='{MANAGER}'/>")), "unknown-element"),
            (edit(&worker("s-1", "<hue>red</hue>")), "unknown-element"),
            (edit(&worker("s-1", "<weight>NaN</weight>")), "invalid-value"),
            (edit(&worker("s-1", "<weight>-1</weight>")), "invalid-value"),
            (edit(&worker("s-1", "<weight>inf</weight>")), "invalid-value"),
            (edit(&worker("s 1", "")), "invalid-value"),
            (edit("<state xmlns='tag:juniperrail.example,2026:yang:state'/>"), "unknown-element"),
            (edit(&worker("s-1", "<wanted hue='red'>out</wanted>")), "unknown-attribute"),
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
            let failed = client.read_reply().await.unwrap_err();
            assert_eq!(
                failed.rpc_errors().first().map(|r| r.tag.as_str()),
                Some(tag),
                "{message:.200}: {failed}"
            );
        }
        client.send_raw(chunked("<a>\u{1}").as_bytes()).await.unwrap();
        assert_eq!(client.read_reply().await.unwrap_err().rpc_errors()[0].tag, "malformed-message");
        client.send_raw(b"\n#4\n<a>\xff\n##\n").await.unwrap();
        assert_eq!(client.read_reply().await.unwrap_err().rpc_errors()[0].tag, "malformed-message");
        // These end the one session.
        for bad in [&b"\n#0\n"[..], b"\n#4294967295\n", b"\n#99999999999\n", b"<rpc>]]>]]>", b"\n##\n"] {
            let mut client = ground.dial(&manager, "bob").await;
            client.send_raw(bad).await.unwrap();
            let end = timeout(WITHIN, client.read_reply()).await.expect("an end, not a silence");
            assert!(matches!(end.unwrap_err().kind, ErrorKind::ConnectionLost(_)));
        }
        assert_eq!(sound.get_config(Datastore::Running, None).await.unwrap(), before);
        assert_eq!(sound.get_config(Datastore::Candidate, None).await.unwrap(), before);
    });
}

/// As the common SSH client: one that exits with what the server says, and drops what it has not yet printed when
/// it is disconnected first.
#[test]
fn a_session_ends_with_a_status_and_is_not_disconnected_on_its_last_reply() {
    use russh::client::{connect, Config, Handler};
    use russh::keys::{load_secret_key, PrivateKeyWithHashAlg, PublicKeyOrCertificate};

    struct Anybody;
    impl Handler for Anybody {
        type Error = russh::Error;

        async fn check_server_key(&mut self, _: &PublicKeyOrCertificate) -> Result<bool, russh::Error> {
            Ok(true)
        }
    }
    run(async {
        let ground = Ground::new("status");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let mut ssh = connect(std::sync::Arc::new(Config::default()), manager.ssh, Anybody).await.unwrap();
        let key = load_secret_key(&ground.keys[1].2.private, None).unwrap();
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
        let (mut said, mut status) = (String::new(), None);
        while let Some(message) = channel.wait().await {
            match message {
                russh::ChannelMsg::Data { data } => said += std::str::from_utf8(&data).unwrap(),
                russh::ChannelMsg::ExitStatus { exit_status } => status = Some(exit_status),
                _ => {}
            }
        }
        assert!(said.ends_with("message-id=\"1\"><ok/></rpc-reply>]]>]]>"), "{said}");
        assert_eq!(status, Some(0));
    });
}

#[test]
fn who_stalls_in_a_message_or_never_says_hello_gives_the_place_back() {
    run(async {
        let ground = Ground::new("stalls");
        let file = ground.file("operator.xml", "", "");
        let limits =
            "<netconf><sessions>2</sessions><hello-within>1500</hello-within><idle-within>3000</idle-within>";
        fs::write(&file, fs::read_to_string(&file).unwrap().replace("<netconf>", limits)).unwrap();
        let manager = ground.manager(&file);
        let strangers: Vec<std::net::TcpStream> =
            (0..4).map(|_| std::net::TcpStream::connect(manager.ssh).unwrap()).collect();
        // One place is for strangers here: it comes free as the first says nothing.
        // On a busy machine a dial may take longer than a hello may, so both are dialled until both are there.
        let (mut first, mut second) = loop {
            let Ok(first) = Client::connect(&ground.ssh(&manager, "bob")).await else { continue };
            if let Ok(second) = Client::connect(&ground.ssh(&manager, "ann")).await {
                break (first, second);
            }
        };
        first.send_raw(b"\n#1000\n<rpc").await.unwrap();
        second.send_raw(b"\n#").await.unwrap();
        for client in [&mut first, &mut second] {
            let end = timeout(WITHIN, client.read_reply()).await.expect("an end");
            assert!(matches!(end.unwrap_err().kind, ErrorKind::ConnectionLost(_)));
        }
        loop {
            if let Ok(mut again) = Client::connect(&ground.ssh(&manager, "ann")).await {
                assert!(again.get_config(Datastore::Running, None).await.is_ok());
                break;
            }
        }
        drop(strangers);
    });
}

#[test]
fn a_client_may_be_dropped_outside_of_its_runtime() {
    let ground = Ground::new("dropped");
    let manager = ground.manager(&ground.file("operator.xml", "", ""));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = runtime.block_on(ground.dial(&manager, "bob"));
    drop(client);
    runtime.block_on(async { ground.dial(&manager, "bob").await.close().await.unwrap() });
    let late = runtime.block_on(ground.dial(&manager, "bob"));
    drop(runtime);
    drop(late);
}

#[test]
fn two_sessions_edit_at_once_and_locks_keep_them_apart() {
    run(async {
        let ground = Ground::new("two");
        let manager = ground.manager(&ground.file("operator.xml", "", ""));
        let (mut ann, mut bob) = (ground.dial(&manager, "ann").await, ground.dial(&manager, "bob").await);
        let (first, second) = (worker("s-1", "<weight>2</weight>"), worker("s-2", "<weight>3</weight>"));
        let (one, other) = tokio::join!(ann.edit(&first), bob.edit(&second));
        assert_eq!((one, other), (Ok(()), Ok(())));
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(weight(&mut ann, "s-1").await.as_deref(), Some("2.0"), "one candidate holds both");
        ann.lock(Datastore::Candidate).await.unwrap();
        let failed = bob.edit(&first).await.unwrap_err();
        assert_eq!(failed.rpc_errors()[0].tag, "in-use");
        assert_eq!(bob.commit(&Commit::default()).await.unwrap_err().rpc_errors()[0].tag, "in-use");
        let denied = bob.lock(Datastore::Candidate).await.unwrap_err();
        assert!(
            denied.to_string().contains(&format!("session {} holds the lock", ann.session_id)),
            "{denied}"
        );
        ann.edit(&worker("s-1", "<weight>9</weight>")).await.unwrap();
        drop(ann);
        // Its lock goes with its session, and so do its changes.
        while bob.lock(Datastore::Candidate).await.is_err() {}
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(weight(&mut bob, "s-1").await.as_deref(), Some("2.0"));
        bob.rollback(1).await.unwrap();
        bob.commit(&Commit::default()).await.unwrap();
        assert_eq!(weight(&mut bob, "s-1").await, None);
        assert_eq!(bob.rollback(77).await.unwrap_err().rpc_errors()[0].tag, "invalid-value");
        let yang = bob.schema("juniperrail-manager").await.unwrap();
        assert_eq!(yang, include_str!("../../../yang/juniperrail-manager.yang"));
    });
}
