use super::*;
use crate::inbound::{Hello, Outbox, StreamId};
use crate::text::Report;
use bytes::Bytes;
use juniperrail_intent::{DesiredState, WorkerIntent};
use juniperrail_interface::{MarkId, Order, ProxyId};
use juniperrail_northbound::{Verdict, WorkerState};
use tokio::sync::oneshot;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
    "known":{"generation":4,"reset":true,"instances":[
    {"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"ready","weight":1}]},
    "settings":{"tick-ms":2,"zones":["a"],"lanes":[{"name":"lookup","on-time-ms":500,"worth":1}],
    "domain":{"channel-rate":5000,"pending-max":5000,"overhead":4,"worst-transit-ms":1000,"period-ms":2000,
    "proxy-count":4},"rules":{"drain-grace-ms":3000},"n-instances":1}}"#;

struct TestCluster(Decider, Vec<mpsc::Receiver<Bytes>>);

impl TestCluster {
    fn new() -> TestCluster {
        let launch = Launch::new(CONFIG, |_| None).unwrap();
        let (inbound, _) = mpsc::channel(1);
        let probes = crate::probes::probe_service(Duration::ZERO, Duration::ZERO, 1);
        TestCluster(Decider::new(launch, probes, &inbound, Rc::default(), None, Rc::default()), Vec::new())
    }

    /// Another stream of the one proxy; its number is its place.
    fn join(&mut self, fresh: bool) -> StreamId {
        let (orders, told, _) = Outbox::new(64);
        let stream = StreamId(self.1.len() as u64);
        self.1.push(told);
        let hello = Hello { proxy: 2, zone: "a".into(), inv_per_second: 5.0, fresh };
        self.0.receive(Inbound::Joined { stream, hello, outbox: orders });
        stream
    }

    fn turn(&mut self) -> Vec<Event> {
        let mut heard = Vec::new();
        self.0.turn_by(|planner, now, events| {
            heard = events.to_vec();
            planner.process_events(now, events)
        });
        heard
    }

    /// When the one proxy that is here falls silent, or is given up.
    fn silent_at(&self) -> Ms {
        self.0.presence.next().expect("it owes an answer")
    }

    fn told(&mut self, stream: StreamId) -> String {
        let told = std::iter::from_fn(|| self.1[stream.0 as usize].try_recv().ok());
        told.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap()).collect()
    }

    fn ack(&mut self, from: StreamId, mark: u16) {
        let report = Report::Ack { proxy: 2, mark, latency: 1.0 };
        self.0.receive(Inbound::Reported(Some((from, ProxyId(2))), Ok(report)));
    }
}

const LEFT: Event = Event::Left { proxy: ProxyId(2) };

#[test]
fn the_decisions_start_anew_after_a_panic_and_no_stream_is_dropped() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    assert!(cluster.told(stream).contains("whole=1 lines=s-1:1"));
    cluster.0.turn_by(|_, _, _| panic!("out of range"));
    let heard = cluster.turn();
    assert!(matches!(&heard[0], Event::List { kind: ListKind::Cached, workers, .. } if workers.len() == 1));
    assert!(matches!(heard[1], Event::Joined { proxy: ProxyId(2), fresh: false, .. }));
    cluster.turn();
    assert!(cluster.told(stream).contains("whole=1 lines=s-1:1"), "it is bound again over the same stream");
}

#[test]
fn decisions_that_fail_again_and_again_rest_ever_longer() {
    let mut cluster = TestCluster::new();
    cluster.join(true);
    let mut rests = Vec::new();
    for _ in 0..14 {
        let before = cluster.0.clock.now();
        cluster.0.turn_by(|_, _, _| panic!("out of range"));
        // By how much later than the failure, of which this is a little before.
        rests.push(cluster.0.failed.1 - before);
    }
    // Ticks of 2 ms: none, one, three, ..., and a report period at the most.
    for (failed, rest) in rests.iter().enumerate() {
        let least = (2.0 * (2f64.powi(failed as i32) - 1.0)).min(2000.0);
        assert!(*rest >= least, "{failed}: {rests:?}");
    }
    let late = cluster.0.clock.now();
    assert!(cluster.0.failed.1 <= late + 2000.0, "{rests:?}");
    cluster.turn();
    assert_eq!(cluster.0.failed, (0, 0.0), "all is well again");
    let before = cluster.0.clock.now();
    cluster.0.turn_by(|_, _, _| panic!("out of range"));
    assert!(
        cluster.0.failed.1 <= cluster.0.clock.now() && cluster.0.failed.1 >= before,
        "at once the first time"
    );
}

#[test]
fn an_answer_to_decisions_that_failed_is_none_to_those_that_start_anew() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    assert!(cluster.told(stream).contains("ticket=1\r\n"));
    cluster.0.turn_by(|_, _, _| panic!("out of range"));
    cluster.turn();
    cluster.turn();
    let again = cluster.told(stream);
    assert!(again.contains("whole=1"), "{again}");
    assert!(again.contains("ticket=2\r\n") && again.contains("ticket=3\r\n"), "{again}");
    // Held back by the proxy till now: it says nothing of the table sent since.
    cluster.ack(stream, 1);
    assert!(cluster.0.events.is_empty() && cluster.0.presence.streams[&ProxyId(2)].owed.len() == 2);
    cluster.ack(stream, 3);
    assert!(
        matches!(cluster.0.events[..], [Event::MarkAcknowledged { mark: MarkId(2), .. }]),
        "the module counts from the start: {:?}",
        cluster.0.events
    );
}

#[test]
fn who_owes_an_answer_and_is_silent_has_left_until_it_speaks_again() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    let silent_at = cluster.silent_at();
    cluster.0.check_silences(silent_at - 1.0);
    assert!(cluster.0.events.is_empty(), "not yet");
    cluster.0.check_silences(silent_at);
    assert_eq!(cluster.turn(), [LEFT]);
    cluster.0.check_silences(silent_at + 1.0);
    assert!(cluster.0.events.is_empty(), "told once");
    let orders = cluster.told(stream);
    cluster.ack(stream, 1);
    assert!(matches!(cluster.turn()[..], [Event::Joined { fresh: false, .. }]), "answers of before are void");
    assert!(orders.contains("whole=1") && cluster.told(stream).contains("whole=1"));
    cluster.ack(stream, 2);
    cluster.turn();
    cluster.0.check_silences(silent_at * 3.0);
    assert!(cluster.0.events.is_empty(), "who owes nothing may be silent");
}

#[test]
fn a_stream_that_stays_silent_gives_its_connection_back() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    let silent_at = cluster.silent_at();
    cluster.0.check_silences(silent_at);
    assert_eq!(cluster.turn(), [LEFT]);
    cluster.told(stream);
    cluster.0.check_silences(cluster.silent_at());
    let end = cluster.1[0].try_recv();
    assert_eq!((end, cluster.turn()), (Err(mpsc::error::TryRecvError::Disconnected), vec![]));
}

#[test]
fn a_spoilt_message_shows_life_and_leaves_nothing_behind() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    let silent_at = cluster.silent_at();
    cluster.0.check_silences(silent_at);
    cluster.turn();
    cluster.0.receive(Inbound::Reported(Some((stream, ProxyId(2))), Err("latency is missing".into())));
    let heard = cluster.turn();
    assert!(matches!(heard[..], [Event::Joined { fresh: false, .. }]), "{heard:?}");
    let (zone, worker) = ("b".into(), "s-1".into());
    let spoilt = Report::Outcomes {
        zone,
        worker,
        tries: 1.0,
        failed: 1.0,
        mean_latency: 0.0,
        interval: 1.0,
        load: <_>::default(),
    };
    cluster.0.receive(Inbound::Reported(None, Ok(spoilt)));
    let demand =
        Report::Demand { proxy: 2, op: "s-zz".into(), invocations: 4.0, unanswered: 0.0, interval: 2.0 };
    cluster.0.receive(Inbound::Reported(None, Ok(demand)));
    assert!(cluster.0.events.is_empty());
    let names = &cluster.0.names;
    assert_eq!([&names.zones, &names.workers, &names.ops].map(|named| named.count()), [1, 1, 1]);
}

#[test]
fn what_an_old_stream_still_brings_changes_nothing() {
    let mut cluster = TestCluster::new();
    let old = cluster.join(true);
    cluster.turn();
    let new = cluster.join(false);
    let heard = cluster.turn();
    assert!(matches!(heard[..], [LEFT, Event::Joined { .. }]), "{heard:?}");
    cluster.ack(old, 1);
    let (op, over) = ("lookup".into(), 2000.0);
    let demand = Report::Demand { proxy: 2, op, invocations: 4.0, unanswered: 0.0, interval: over };
    cluster.0.receive(Inbound::Reported(Some((old, ProxyId(2))), Ok(demand)));
    cluster.0.receive(Inbound::Ended(old, None));
    assert!(cluster.0.events.is_empty());
    cluster.ack(new, 1);
    assert!(cluster.0.events.is_empty(), "mark 1 went over the old stream");
    cluster.ack(new, 2);
    cluster.ack(new, 2);
    assert_eq!(cluster.0.events.len(), 1, "an answer counts once");
}

#[test]
fn a_proxy_that_does_not_read_costs_its_own_stream_only() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.turn();
    let mut sent = 0;
    while cluster.0.presence.streams.contains_key(&ProxyId(2)) {
        let everyone = Order::Mark { number: MarkId(sent), all_proxies: true };
        cluster.0.turn_by(|_, _, _| vec![everyone]);
        sent += 1;
    }
    assert_eq!(sent, 64);
    assert_eq!(cluster.0.events, [LEFT]);
    assert!(cluster.told(stream).contains("ticket=62"));
}

#[test]
fn of_workers_long_gone_nothing_is_kept() {
    let mut cluster = TestCluster::new();
    let entry = |id: u64, lifecycle: &str| {
        let about = r#""hostPort":"127.0.0.1:1","zone":"a","weight":1"#;
        format!(r#"{{"instanceId":"s-{id}","lifecycle":"{lifecycle}",{about}}}"#)
    };
    let stream = cluster.join(true);
    cluster.turn();
    for id in 2..40 {
        let entries = [entry(id, "ready"), entry(id - 1, "gone")].join(",");
        let listing = format!(r#"{{"generation":{id},"instances":[{entries}]}}"#);
        cluster.0.receive(Inbound::Listing(serde_json::from_str(&listing).unwrap()));
        cluster.turn();
        for mark in cluster.told(stream).split("ticket=").skip(1) {
            cluster.ack(stream, mark.split_whitespace().next().unwrap().parse().unwrap());
        }
        cluster.0.dispatch_orders(0.0, Vec::new(), vec![Order::Forget { worker: WorkerId(id as u32 - 2) }]);
    }
    assert_eq!((cluster.0.names.workers.count(), cluster.0.roster.counts()), (1, (1, 1)));
    assert_eq!(cluster.0.names.workers.find_id("s-39"), Some(38), "ids are not given out again");
}

impl TestCluster {
    fn list(&mut self, version: u64, entries: &[(&str, &str)]) {
        let entry = |(id, lifecycle): &(&str, &str)| {
            let about = r#""hostPort":"127.0.0.1:1","zone":"a","weight":1"#;
            format!(r#"{{"instanceId":"{id}","lifecycle":"{lifecycle}",{about}}}"#)
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let listing = format!(r#"{{"generation":{version},"instances":[{}]}}"#, entries.join(","));
        self.0.receive(Inbound::Listing(serde_json::from_str(&listing).unwrap()));
    }

    fn ask(&mut self, number: u64, wishes: &[(&str, DesiredState)]) -> Verdict {
        let wish = |(name, wanted): &(&str, DesiredState)| {
            (name.to_string(), WorkerIntent { desired_state: *wanted, ..WorkerIntent::default() })
        };
        let workers = wishes.iter().map(wish).collect();
        let intent = Box::new(Intent { workers, drain_grace: Some(2500.0), ..Intent::default() });
        let (verdict, mut told) = oneshot::channel();
        self.0.answer_request(PlannerRequest::Apply { number, by: "ann".into(), intent, verdict });
        told.try_recv().expect("answered at once")
    }

    /// Turns until nothing is told any more, each message answered.
    fn settle(&mut self, stream: StreamId) -> String {
        let mut all = String::new();
        for _ in 0..4 {
            self.turn();
            let told = self.told(stream);
            for mark in told.split("ticket=").skip(1) {
                self.ack(stream, mark.split_whitespace().next().unwrap().parse().unwrap());
            }
            all += &told;
        }
        self.turn();
        all
    }

    fn phases(&self) -> Vec<(String, Phase, &'static str)> {
        let state = self.0.state();
        let phase =
            |w: &WorkerState| (w.name.clone(), w.composed.entry.phase, w.composed.phase_origin.name());
        state.workers.iter().map(phase).collect()
    }
}

#[test]
fn a_change_is_taken_over_whole_in_the_turn_it_is_asked_or_refused_and_nothing_changes() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.list(5, &[("s-2", "ready")]);
    cluster.settle(stream);
    let refused = cluster.ask(2, &[("s-1", DesiredState::Out), ("s-2", DesiredState::Draining)]).unwrap_err();
    assert_eq!(refused[0].error_app_tag(), "no-ready-worker");
    assert!(cluster.0.events.is_empty() && cluster.0.progress.all().next().is_none());
    assert_eq!(cluster.ask(2, &[("s-1", DesiredState::Draining)]), Ok(()));
    let heard = cluster.turn();
    assert!(
        matches!(&heard[..], [Event::SettingsChanged(of), Event::List { kind: ListKind::Changes, workers, .. }]
        if of.drain_grace == 2500.0 && workers.len() == 1 && workers[0].phase == Phase::Draining),
        "{heard:?}"
    );
    let told = cluster.told(stream);
    assert!(told.contains("out=s-1"), "{told}");
    cluster.0.check_progress(1e18);
    assert_eq!(cluster.0.state().changes[0].applied_by, 0, "told and not answered is not held");
    let mark = told.split("ticket=").nth(1).unwrap().trim().parse().unwrap();
    cluster.ack(stream, mark);
    cluster.settle(stream);
    cluster.0.check_progress(2e18);
    let change = &cluster.0.state().changes[0];
    assert!(matches!(change.stage, juniperrail_intent::Stage::Applied { .. }), "{change:?}");
    assert_eq!((change.number, change.applied_by, change.joined), (2, 1, 1));
    let told = &cluster.0.state().proxies[0];
    assert_eq!(
        (told.excluded_workers.as_slice(), told.unacknowledged, told.mark_sent),
        (&["s-1".to_string()][..], 0, told.mark_acknowledged)
    );
    let lines = cluster.0.state().tables.into_iter().flat_map(|table| table.lines);
    assert_eq!(
        lines.map(|(worker, _)| worker).collect::<Vec<_>>(),
        ["s-1", "s-2"],
        "its line goes with the next batch"
    );
}

#[test]
fn discovery_and_the_operator_compose_in_what_the_module_is_told() {
    let mut cluster = TestCluster::new();
    cluster.turn();
    cluster.list(5, &[("s-2", "ready"), ("s-3", "draining")]);
    cluster.turn();
    assert_eq!(cluster.ask(2, &[("s-3", DesiredState::Ready), ("s-9", DesiredState::Ready)]), Ok(()));
    let phase = |cluster: &TestCluster, name: &str| {
        cluster.phases().into_iter().find(|w| w.0 == name).map(|w| (w.1, w.2))
    };
    assert_eq!(phase(&cluster, "s-3"), Some((Phase::Ready, "operator")));
    assert_eq!(phase(&cluster, "s-9"), None, "who is named and placed nowhere waits");
    cluster.list(6, &[("s-3", "gone")]);
    cluster.turn();
    assert_eq!(phase(&cluster, "s-3"), Some((Phase::Gone, "discovery")));
    assert_eq!(cluster.ask(3, &[("s-3", DesiredState::Follow)]), Ok(()));
    assert_eq!(cluster.ask(4, &[("s-3", DesiredState::Ready)]), Ok(()));
    assert_eq!(phase(&cluster, "s-3"), Some((Phase::Gone, "discovery")), "gone stays gone");
    cluster.list(7, &[("s-3", "ready"), ("s-9", "draining")]);
    assert_eq!(phase(&cluster, "s-3"), Some((Phase::Ready, "discovery")));
    assert_eq!(phase(&cluster, "s-9"), Some((Phase::Draining, "discovery")));
}

#[test]
fn whom_the_operator_took_out_is_forgotten_and_comes_back_by_another_id() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.list(5, &[("s-2", "ready")]);
    cluster.settle(stream);
    assert_eq!(cluster.ask(2, &[("s-2", DesiredState::Out)]), Ok(()));
    assert!(cluster.settle(stream).contains("out=s-2"));
    let id = cluster.0.names.workers.find_id("s-2").unwrap();
    cluster.0.dispatch_orders(0.0, Vec::new(), vec![Order::Forget { worker: WorkerId(id) }]);
    let again = cluster.0.names.workers.find_id("s-2").unwrap();
    assert_ne!(again, id);
    // A whole list names it still; it stays out.
    cluster.list(6, &[("s-1", "ready"), ("s-2", "ready")]);
    cluster.settle(stream);
    assert_eq!(cluster.ask(3, &[]), Ok(()));
    let heard = cluster.turn();
    assert!(
        matches!(&heard[..], [Event::List { workers, .. }]
        if workers[0].worker == WorkerId(again) && workers[0].phase == Phase::Ready),
        "{heard:?}"
    );
    assert!(
        cluster.0.plane.doubts(WorkerId(again)),
        "it is shut out under the old id, and has to be let back"
    );
}

#[test]
fn decisions_that_start_anew_keep_what_the_operator_wants() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.list(5, &[("s-2", "ready")]);
    cluster.settle(stream);
    assert_eq!(cluster.ask(2, &[("s-1", DesiredState::Draining)]), Ok(()));
    cluster.settle(stream);
    cluster.0.turn_by(|_, _, _| panic!("out of range"));
    let heard = cluster.turn();
    let Event::List { workers, .. } = &heard[0] else { panic!("{heard:?}") };
    assert_eq!(workers.iter().map(|w| w.phase).collect::<Vec<_>>(), [Phase::Draining, Phase::Ready]);
    assert!(matches!(&heard[1], Event::SettingsChanged(of) if of.drain_grace == 2500.0));
}

#[test]
fn a_full_channel_and_a_drain_near_its_grace_are_told() {
    let mut cluster = TestCluster::new();
    let stream = cluster.join(true);
    cluster.list(5, &[("s-2", "ready")]);
    cluster.settle(stream);
    cluster.list(6, &[("s-1", "draining")]);
    cluster.turn();
    let now = cluster.0.clock.now();
    assert_eq!(cluster.0.limit_warnings(now), Vec::<String>::new(), "not yet");
    let most = std::mem::replace(&mut cluster.0.start.max_pending_lines, 5.0);
    let full = cluster.0.limit_warnings(now);
    assert!(matches!(&full[..], [full] if full.ends_with("of 5 lines wait in the channel")), "{full:?}");
    cluster.0.start.max_pending_lines = most;
    let late = cluster.0.limit_warnings(now + 2000.0);
    assert!(
        matches!(&late[..], [late] if late.starts_with("1 of 1 proxies have not answered for 1 workers")
            && late.contains("s-1 for 20") && late.ends_with("ms of 3000")),
        "{late:?}"
    );
    cluster.settle(stream);
    assert_eq!(cluster.0.limit_warnings(now + 2000.0), Vec::<String>::new(), "answered");
}

#[test]
fn whoever_leaves_the_scope_drains_where_it_was_until_it_is_gone_or_back() {
    use crate::scope_filter::ScopeFilter;
    use juniperrail_distribution::Scope;

    let mut cluster = TestCluster::new();
    cluster.turn();
    let mut filter = ScopeFilter::new(Scope::new(["a".to_string()], []));
    let mut list = |cluster: &mut TestCluster, full: bool, entries: &[(&str, &str, &str)]| {
        let entry = |(id, zone, lifecycle): &(&str, &str, &str)| {
            format!(r#"{{"instanceId":"{id}","zone":"{zone}","lifecycle":"{lifecycle}","weight":1}}"#)
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let listing = format!(r#"{{"generation":5,"reset":{full},"instances":[{}]}}"#, entries.join(","));
        let listing = filter.filter(serde_json::from_str(&listing).unwrap());
        cluster.0.receive(Inbound::Listing(listing));
        cluster.turn();
    };
    let place = |cluster: &TestCluster, name: &str| {
        let state = cluster.0.state();
        let worker = state.workers.into_iter().find(|worker| worker.name == name);
        worker.map(|worker| (worker.composed.entry.phase, worker.zone))
    };
    let in_zone_a = |phase: Phase| Some((phase, "a".to_string()));

    list(&mut cluster, true, &[("s-1", "a", "ready"), ("s-2", "a", "ready"), ("s-9", "b", "ready")]);
    assert_eq!(place(&cluster, "s-1"), in_zone_a(Phase::Ready));
    assert_eq!(place(&cluster, "s-9"), None);
    list(&mut cluster, false, &[("s-1", "b", "ready"), ("s-9", "b", "draining")]);
    assert_eq!(place(&cluster, "s-1"), in_zone_a(Phase::Draining), "by changes");
    list(&mut cluster, true, &[("s-1", "b", "ready"), ("s-2", "c", "draining")]);
    assert_eq!(place(&cluster, "s-1"), in_zone_a(Phase::Draining), "a whole list that names it elsewhere");
    assert_eq!(place(&cluster, "s-2"), in_zone_a(Phase::Draining), "by a whole list");
    list(&mut cluster, false, &[("s-1", "a", "ready"), ("s-2", "c", "gone")]);
    assert_eq!(place(&cluster, "s-1"), in_zone_a(Phase::Ready), "it is back");
    assert_eq!(place(&cluster, "s-2"), in_zone_a(Phase::Gone), "told as gone where it is");
    list(&mut cluster, false, &[("s-2", "c", "ready"), ("s-1", "b", "ready")]);
    assert_eq!(place(&cluster, "s-2"), in_zone_a(Phase::Gone), "nobody comes back elsewhere");
    list(&mut cluster, true, &[]);
    assert_eq!(place(&cluster, "s-1"), in_zone_a(Phase::Gone), "a whole list lacks it");
    let names = &cluster.0.names;
    assert_eq!(
        (names.workers.find_id("s-9"), names.zones.find_id("b"), names.zones.find_id("c")),
        (None, None, None)
    );
}
