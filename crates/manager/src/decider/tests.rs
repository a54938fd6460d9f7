mod crossing;

use super::*;
use crate::inbound::{Hello, Outbox, StreamId};
use crate::protocol::Report;
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

/// Messages that a proxy's queue can hold.
const OUTBOX_CAPACITY: usize = 64;

/// A time at which a check of the progress of changes is due.
const LATER: Ms = 1e18;

/// The decider of a manager with one worker, driven without sockets.
struct TestManager {
    decider: Decider,
    /// The message queues of the streams that proxy 2 opened, by stream number.
    queues: Vec<mpsc::Receiver<Bytes>>,
}

impl TestManager {
    fn new() -> TestManager {
        let launch = Launch::new(CONFIG, |_| None).unwrap();
        let (inbound, _) = mpsc::channel(1);
        let probes = crate::probes::probe_service(Duration::ZERO, Duration::ZERO, 1);
        let decider = Decider::new(launch, probes, &inbound, Rc::default(), None, Rc::default());
        TestManager { decider, queues: Vec::new() }
    }

    /// Lets proxy 2 join over a new stream. `fresh`: it has just started and has no tables.
    fn join(&mut self, fresh: bool) -> StreamId {
        let (outbox, messages, _) = Outbox::new(OUTBOX_CAPACITY);
        let stream = StreamId(self.queues.len() as u64);
        self.queues.push(messages);
        let hello = Hello { proxy: 2, zone: "a".into(), inv_per_second: 5.0, fresh };
        self.decider.receive(Inbound::Joined { stream, hello, outbox });
        stream
    }

    /// Runs a turn. Returns the events that the planner received.
    fn run_turn(&mut self) -> Vec<Event> {
        let mut planner_events = Vec::new();
        self.decider.run_turn_with(|planner, now, events| {
            planner_events = events.to_vec();
            planner.process_events(now, events)
        });
        planner_events
    }

    /// When the stream of proxy 2 times out next.
    fn next_timeout(&self) -> Ms {
        self.decider.connections.next_timeout().expect("an acknowledgement is pending")
    }

    /// Removes the messages queued for a stream since the last call, and returns their text.
    fn take_sent(&mut self, stream: StreamId) -> String {
        let messages = std::iter::from_fn(|| self.queues[stream.0 as usize].try_recv().ok());
        messages.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap()).collect()
    }

    /// Receives an acknowledgement of proxy 2 over a stream.
    fn ack(&mut self, stream: StreamId, mark: u16) {
        let report = Report::Ack { proxy: 2, mark, latency: 1.0 };
        self.decider.receive(Inbound::Reported(Some((stream, ProxyId(2))), Ok(report)));
    }
}

const LEFT: Event = Event::Left { proxy: ProxyId(2) };

#[test]
fn after_a_panic_the_planner_restarts_and_all_streams_stay_open() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    assert!(manager.take_sent(stream).contains("whole=1 lines=s-1:1"));
    manager.decider.run_turn_with(|_, _, _| panic!("out of range"));
    let events = manager.run_turn();
    assert!(
        matches!(&events[0], Event::List { kind: ListKind::Remembered, workers, .. } if workers.len() == 1)
    );
    assert!(matches!(events[1], Event::Joined { proxy: ProxyId(2), fresh: false, .. }));
    manager.run_turn();
    assert!(
        manager.take_sent(stream).contains("whole=1 lines=s-1:1"),
        "the full table is sent again over the same stream"
    );
}

#[test]
fn a_planner_that_keeps_failing_is_restarted_after_growing_delays() {
    let mut manager = TestManager::new();
    manager.join(true);
    let mut delays = Vec::new();
    for _ in 0..14 {
        let before = manager.decider.clock.now();
        manager.decider.run_turn_with(|_, _, _| panic!("out of range"));
        // `before` is read shortly before the failure, so each delay is measured slightly too long.
        delays.push(manager.decider.retry_at - before);
    }
    // The delays are 0, 1, 3, 7, ... ticks of 2 ms, up to a report period of 2 s.
    for (failures, delay) in delays.iter().enumerate() {
        let min_delay = (2.0 * (2f64.powi(failures as i32) - 1.0)).min(2000.0);
        assert!(*delay >= min_delay, "after {failures} earlier failures the delay is too short: {delays:?}");
    }
    let now = manager.decider.clock.now();
    assert!(manager.decider.retry_at <= now + 2000.0, "the last delay exceeds a report period: {delays:?}");
    manager.run_turn();
    assert_eq!(
        (manager.decider.failure_count, manager.decider.retry_at),
        (0, 0.0),
        "a successful turn resets the delay"
    );
    let before = manager.decider.clock.now();
    manager.decider.run_turn_with(|_, _, _| panic!("out of range"));
    assert!(
        manager.decider.retry_at <= manager.decider.clock.now() && manager.decider.retry_at >= before,
        "the first retry is not immediate"
    );
}

/// A restarted planner numbers its marks from 1 again. An acknowledgement of a mark of the failed planner must not
/// count for the mark of the new planner that has the same number.
#[test]
fn acknowledgements_of_marks_of_a_failed_planner_are_ignored() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    assert!(manager.take_sent(stream).contains("ticket=1\r\n"));
    manager.decider.run_turn_with(|_, _, _| panic!("out of range"));
    manager.run_turn();
    manager.run_turn();
    let sent = manager.take_sent(stream);
    assert!(sent.contains("whole=1"), "the table is not sent again: {sent}");
    assert!(
        sent.contains("ticket=2\r\n") && sent.contains("ticket=3\r\n"),
        "marks 2 and 3 are not both sent: {sent}"
    );
    // A late acknowledgement of mark 1 does not cover the table that was sent again since.
    manager.ack(stream, 1);
    assert!(
        manager.decider.events.is_empty()
            && manager.decider.connections.streams[&ProxyId(2)].pending_marks.len() == 2
    );
    manager.ack(stream, 3);
    assert!(
        matches!(manager.decider.events[..], [Event::MarkAcknowledged { mark: MarkId(2), .. }]),
        "the new planner numbers its marks from 1: {:?}",
        manager.decider.events
    );
}

#[test]
fn a_silent_proxy_with_pending_marks_counts_as_left_until_it_sends_a_message() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    let timeout = manager.next_timeout();
    manager.decider.handle_timeouts(timeout - 1.0);
    assert!(manager.decider.events.is_empty(), "the stream has not timed out yet");
    manager.decider.handle_timeouts(timeout);
    assert_eq!(manager.run_turn(), [LEFT]);
    manager.decider.handle_timeouts(timeout + 1.0);
    assert!(manager.decider.events.is_empty(), "the timeout of a stream is reported once");
    let sent = manager.take_sent(stream);
    manager.ack(stream, 1);
    assert!(
        matches!(manager.run_turn()[..], [Event::Joined { fresh: false, .. }]),
        "the proxy joins again, but its acknowledgement of an earlier mark does not count"
    );
    assert!(sent.contains("whole=1") && manager.take_sent(stream).contains("whole=1"));
    manager.ack(stream, 2);
    manager.run_turn();
    manager.decider.handle_timeouts(timeout * 3.0);
    assert!(manager.decider.events.is_empty(), "a proxy without pending marks may be silent");
}

#[test]
fn the_connection_of_a_stream_that_stays_silent_is_closed() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    let timeout = manager.next_timeout();
    manager.decider.handle_timeouts(timeout);
    assert_eq!(manager.run_turn(), [LEFT]);
    manager.take_sent(stream);
    manager.decider.handle_timeouts(manager.next_timeout());
    let end = manager.queues[0].try_recv();
    assert_eq!((end, manager.run_turn()), (Err(mpsc::error::TryRecvError::Disconnected), vec![]));
}

#[test]
fn an_invalid_message_counts_as_activity_and_has_no_other_effect() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    let timeout = manager.next_timeout();
    manager.decider.handle_timeouts(timeout);
    manager.run_turn();
    manager.decider.receive(Inbound::Reported(Some((stream, ProxyId(2))), Err("latency is missing".into())));
    let events = manager.run_turn();
    assert!(matches!(events[..], [Event::Joined { fresh: false, .. }]), "{events:?}");
    // Reports with a zone or an operation that is not known.
    let (zone, worker) = ("b".into(), "s-1".into());
    let invalid_outcomes = Report::Outcomes {
        zone,
        worker,
        tries: 1.0,
        failed: 1.0,
        mean_latency: 0.0,
        interval: 1.0,
        load: <_>::default(),
    };
    manager.decider.receive(Inbound::Reported(None, Ok(invalid_outcomes)));
    let invalid_demand =
        Report::Demand { proxy: 2, op: "s-zz".into(), invocations: 4.0, unanswered: 0.0, interval: 2.0 };
    manager.decider.receive(Inbound::Reported(None, Ok(invalid_demand)));
    assert!(manager.decider.events.is_empty());
    let names = &manager.decider.names;
    assert_eq!([&names.zones, &names.workers, &names.ops].map(|ids| ids.count()), [1, 1, 1]);
}

#[test]
fn messages_over_a_replaced_stream_are_ignored() {
    let mut manager = TestManager::new();
    let old_stream = manager.join(true);
    manager.run_turn();
    let new_stream = manager.join(false);
    let events = manager.run_turn();
    assert!(matches!(events[..], [LEFT, Event::Joined { .. }]), "{events:?}");
    manager.ack(old_stream, 1);
    let (op, interval) = ("lookup".into(), 2000.0);
    let demand = Report::Demand { proxy: 2, op, invocations: 4.0, unanswered: 0.0, interval };
    manager.decider.receive(Inbound::Reported(Some((old_stream, ProxyId(2))), Ok(demand)));
    manager.decider.receive(Inbound::Ended(old_stream, None));
    assert!(manager.decider.events.is_empty());
    manager.ack(new_stream, 1);
    assert!(
        manager.decider.events.is_empty(),
        "mark 1 was sent over the old stream, so its acknowledgement over the new one does not count"
    );
    manager.ack(new_stream, 2);
    manager.ack(new_stream, 2);
    assert_eq!(manager.decider.events.len(), 1, "an acknowledgement counts once");
}

#[test]
fn a_proxy_that_does_not_read_is_disconnected() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.run_turn();
    let mut mark_count = 0;
    while manager.decider.connections.streams.contains_key(&ProxyId(2)) {
        let mark = Order::Mark { number: MarkId(mark_count), all_proxies: true };
        manager.decider.run_turn_with(|_, _, _| vec![mark]);
        mark_count += 1;
    }
    // The message of the first turn and all marks but the last one fill the queue; the last one does not fit.
    assert_eq!(usize::from(mark_count), OUTBOX_CAPACITY);
    assert_eq!(manager.decider.events, [LEFT]);
    assert!(manager.take_sent(stream).contains("ticket=62"));
}

#[test]
fn no_state_is_kept_of_forgotten_workers() {
    let mut manager = TestManager::new();
    let entry = |id: u64, lifecycle: &str| {
        let other_fields = r#""hostPort":"127.0.0.1:1","zone":"a","weight":1"#;
        format!(r#"{{"instanceId":"s-{id}","lifecycle":"{lifecycle}",{other_fields}}}"#)
    };
    let stream = manager.join(true);
    manager.run_turn();
    for id in 2..40 {
        let entries = [entry(id, "ready"), entry(id - 1, "gone")].join(",");
        let listing = format!(r#"{{"generation":{id},"instances":[{entries}]}}"#);
        manager.decider.receive(Inbound::Listing(serde_json::from_str(&listing).unwrap()));
        manager.run_turn();
        for mark in manager.take_sent(stream).split("ticket=").skip(1) {
            manager.ack(stream, mark.split_whitespace().next().unwrap().parse().unwrap());
        }
        // Ids are assigned from 0, and s-1 has the id 0: this is the worker s-(id - 1), which is gone.
        manager.decider.dispatch_orders(
            0.0,
            Vec::new(),
            vec![Order::Forget { worker: WorkerId(id as u32 - 2) }],
        );
    }
    assert_eq!((manager.decider.names.workers.count(), manager.decider.registry.counts()), (1, (1, 1)));
    assert_eq!(manager.decider.names.workers.find_id("s-39"), Some(38), "ids are not reused");
}

impl TestManager {
    /// Receives changes of the worker list. `entries`: the name and the lifecycle of each changed worker.
    fn receive_changes(&mut self, version: u64, entries: &[(&str, &str)]) {
        let entry = |(id, lifecycle): &(&str, &str)| {
            let other_fields = r#""hostPort":"127.0.0.1:1","zone":"a","weight":1"#;
            format!(r#"{{"instanceId":"{id}","lifecycle":"{lifecycle}",{other_fields}}}"#)
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let listing = format!(r#"{{"generation":{version},"instances":[{}]}}"#, entries.join(","));
        self.decider.receive(Inbound::Listing(serde_json::from_str(&listing).unwrap()));
    }

    /// Requests a change of the operator's intent. `desired_states`: workers and the states in which the operator wants
    /// them.
    fn request_change(&mut self, number: u64, desired_states: &[(&str, DesiredState)]) -> Verdict {
        let worker_intent = |(name, desired_state): &(&str, DesiredState)| {
            (name.to_string(), WorkerIntent { desired_state: *desired_state, ..WorkerIntent::default() })
        };
        let workers = desired_states.iter().map(worker_intent).collect();
        let intent = Box::new(Intent { workers, drain_grace: Some(2500.0), ..Intent::default() });
        let (reply, mut verdict) = oneshot::channel();
        let (author, change) = ("ann".into(), IntentChange::Commit);
        self.decider.answer_request(PlannerRequest::Apply { number, author, intent, change, reply });
        verdict.try_recv().expect("the request is answered within the call")
    }

    /// Runs five turns. After each of the first four, acknowledges all marks received. Returns the messages received.
    fn settle(&mut self, stream: StreamId) -> String {
        let mut all_messages = String::new();
        for _ in 0..4 {
            self.run_turn();
            let messages = self.take_sent(stream);
            for mark in messages.split("ticket=").skip(1) {
                self.ack(stream, mark.split_whitespace().next().unwrap().parse().unwrap());
            }
            all_messages += &messages;
        }
        self.run_turn();
        all_messages
    }

    /// Each worker's name, its phase and the name of the phase's origin.
    fn phases_and_origins(&self) -> Vec<(String, Phase, &'static str)> {
        let state = self.decider.operational_state();
        let phase_and_origin = |worker: &WorkerState| {
            (worker.name.clone(), worker.composed.entry.phase, worker.composed.phase_origin.name())
        };
        state.workers.iter().map(phase_and_origin).collect()
    }
}

#[test]
fn a_change_is_applied_completely_in_the_turn_of_its_request_or_refused_without_effect() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.receive_changes(5, &[("s-2", "ready")]);
    manager.settle(stream);
    let refused = manager
        .request_change(2, &[("s-1", DesiredState::Out), ("s-2", DesiredState::Draining)])
        .unwrap_err();
    assert_eq!(refused[0].error_app_tag(), "no-ready-worker");
    assert!(manager.decider.events.is_empty() && manager.decider.progress.all().next().is_none());
    assert_eq!(manager.request_change(2, &[("s-1", DesiredState::Draining)]), Ok(()));
    let events = manager.run_turn();
    assert!(
        matches!(&events[..], [Event::SettingsChanged(changed), Event::List { kind: ListKind::Changes, workers, .. }]
        if changed.drain_grace == 2500.0 && workers.len() == 1 && workers[0].phase == Phase::Draining),
        "{events:?}"
    );
    let sent = manager.take_sent(stream);
    assert!(sent.contains("out=s-1"), "the exclusion of s-1 is not sent: {sent}");
    manager.decider.check_progress(LATER);
    assert_eq!(
        manager.decider.operational_state().changes[0].applied_proxies,
        0,
        "a change that was sent and not acknowledged is not applied"
    );
    let mark = sent.split("ticket=").nth(1).unwrap().trim().parse().unwrap();
    manager.ack(stream, mark);
    manager.settle(stream);
    manager.decider.check_progress(2.0 * LATER);
    let change = &manager.decider.operational_state().changes[0];
    assert!(matches!(change.stage, juniperrail_intent::Stage::Applied { .. }), "{change:?}");
    assert_eq!((change.number, change.applied_proxies, change.joined_proxies), (2, 1, 1));
    let proxy = &manager.decider.operational_state().proxies[0];
    assert_eq!(
        (proxy.excluded_workers.as_slice(), proxy.unacknowledged_marks, proxy.mark_sent),
        (&["s-1".to_string()][..], 0, proxy.mark_acknowledged)
    );
    let lines = manager.decider.operational_state().tables.into_iter().flat_map(|table| table.lines);
    assert_eq!(
        lines.map(|(worker, _)| worker).collect::<Vec<_>>(),
        ["s-1", "s-2"],
        "the line of s-1 is removed only with later updates"
    );
}

#[test]
fn a_workers_phase_is_composed_of_its_list_entry_and_the_operators_intent() {
    let mut manager = TestManager::new();
    manager.run_turn();
    manager.receive_changes(5, &[("s-2", "ready"), ("s-3", "draining")]);
    manager.run_turn();
    assert_eq!(
        manager.request_change(2, &[("s-3", DesiredState::Ready), ("s-9", DesiredState::Ready)]),
        Ok(())
    );
    let phase_and_origin = |manager: &TestManager, name: &str| {
        manager
            .phases_and_origins()
            .into_iter()
            .find(|(worker, ..)| worker == name)
            .map(|(_, phase, origin)| (phase, origin))
    };
    assert_eq!(phase_and_origin(&manager, "s-3"), Some((Phase::Ready, "operator")));
    assert_eq!(
        phase_and_origin(&manager, "s-9"),
        None,
        "a worker whose zone no source names is not reported"
    );
    manager.receive_changes(6, &[("s-3", "gone")]);
    manager.run_turn();
    assert_eq!(phase_and_origin(&manager, "s-3"), Some((Phase::Gone, "discovery")));
    assert_eq!(manager.request_change(3, &[("s-3", DesiredState::Follow)]), Ok(()));
    assert_eq!(manager.request_change(4, &[("s-3", DesiredState::Ready)]), Ok(()));
    assert_eq!(
        phase_and_origin(&manager, "s-3"),
        Some((Phase::Gone, "discovery")),
        "an operator cannot bring back a worker that discovery lists as gone"
    );
    manager.receive_changes(7, &[("s-3", "ready"), ("s-9", "draining")]);
    assert_eq!(phase_and_origin(&manager, "s-3"), Some((Phase::Ready, "discovery")));
    assert_eq!(phase_and_origin(&manager, "s-9"), Some((Phase::Draining, "discovery")));
}

#[test]
fn a_worker_that_the_operator_took_out_is_forgotten_and_returns_with_a_new_id() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.receive_changes(5, &[("s-2", "ready")]);
    manager.settle(stream);
    assert_eq!(manager.request_change(2, &[("s-2", DesiredState::Out)]), Ok(()));
    assert!(manager.settle(stream).contains("out=s-2"));
    let id = manager.decider.names.workers.find_id("s-2").unwrap();
    manager.decider.dispatch_orders(0.0, Vec::new(), vec![Order::Forget { worker: WorkerId(id) }]);
    let new_id = manager.decider.names.workers.find_id("s-2").unwrap();
    assert_ne!(new_id, id);
    // The operator's intent keeps the worker out although the list names it as ready.
    manager.receive_changes(6, &[("s-1", "ready"), ("s-2", "ready")]);
    manager.settle(stream);
    assert_eq!(manager.request_change(3, &[]), Ok(()));
    let events = manager.run_turn();
    assert!(
        matches!(&events[..], [Event::List { workers, .. }]
        if workers[0].worker == WorkerId(new_id) && workers[0].phase == Phase::Ready),
        "{events:?}"
    );
    assert!(
        manager.decider.order_writer.is_maybe_excluded(WorkerId(new_id)),
        "proxies still exclude the worker under its old id and have to include it again"
    );
}

#[test]
fn a_restarted_planner_keeps_the_operators_intent() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.receive_changes(5, &[("s-2", "ready")]);
    manager.settle(stream);
    assert_eq!(manager.request_change(2, &[("s-1", DesiredState::Draining)]), Ok(()));
    manager.settle(stream);
    manager.decider.run_turn_with(|_, _, _| panic!("out of range"));
    let events = manager.run_turn();
    let Event::List { workers, .. } = &events[0] else { panic!("{events:?}") };
    assert_eq!(
        workers.iter().map(|worker| worker.phase).collect::<Vec<_>>(),
        [Phase::Draining, Phase::Ready]
    );
    assert!(matches!(&events[1], Event::SettingsChanged(changed) if changed.drain_grace == 2500.0));
}

#[test]
fn operators_are_warned_of_a_nearly_full_channel_and_of_a_drain_close_to_its_grace() {
    let mut manager = TestManager::new();
    let stream = manager.join(true);
    manager.receive_changes(5, &[("s-2", "ready")]);
    manager.settle(stream);
    manager.receive_changes(6, &[("s-1", "draining")]);
    manager.run_turn();
    let now = manager.decider.clock.now();
    assert_eq!(manager.decider.limit_warnings(now), Vec::<String>::new(), "no warning below both limits");
    let max_pending_lines = std::mem::replace(&mut manager.decider.settings.max_pending_lines, 5.0);
    let channel_warnings = manager.decider.limit_warnings(now);
    assert!(
        matches!(&channel_warnings[..], [warning] if warning.ends_with("of 5 lines wait in the channel")),
        "{channel_warnings:?}"
    );
    manager.decider.settings.max_pending_lines = max_pending_lines;
    let drain_warnings = manager.decider.limit_warnings(now + 2000.0);
    assert!(
        matches!(&drain_warnings[..], [warning] if warning.starts_with("1 of 1 proxies have not acknowledged the removal of 1 workers")
            && warning.contains("s-1 for 20") && warning.ends_with("ms of 3000")),
        "{drain_warnings:?}"
    );
    manager.settle(stream);
    assert_eq!(
        manager.decider.limit_warnings(now + 2000.0),
        Vec::<String>::new(),
        "no warning once the removal is acknowledged"
    );
}

#[test]
fn a_worker_that_leaves_the_scope_drains_in_its_old_zone_until_it_is_gone_or_back() {
    use crate::scope_filter::ScopeFilter;
    use juniperrail_distribution::Scope;

    let mut manager = TestManager::new();
    manager.run_turn();
    let mut filter = ScopeFilter::new(Scope::new(["a".to_string()], []));
    let mut receive_list = |manager: &mut TestManager, full: bool, entries: &[(&str, &str, &str)]| {
        let entry = |(id, zone, lifecycle): &(&str, &str, &str)| {
            format!(r#"{{"instanceId":"{id}","zone":"{zone}","lifecycle":"{lifecycle}","weight":1}}"#)
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let listing = format!(r#"{{"generation":5,"reset":{full},"instances":[{}]}}"#, entries.join(","));
        let listing = filter.filter(serde_json::from_str(&listing).unwrap());
        manager.decider.receive(Inbound::Listing(listing));
        manager.run_turn();
    };
    let phase_and_zone = |manager: &TestManager, name: &str| {
        let state = manager.decider.operational_state();
        let worker = state.workers.into_iter().find(|worker| worker.name == name);
        worker.map(|worker| (worker.composed.entry.phase, worker.zone))
    };
    let in_zone_a = |phase: Phase| Some((phase, "a".to_string()));

    receive_list(&mut manager, true, &[("s-1", "a", "ready"), ("s-2", "a", "ready"), ("s-9", "b", "ready")]);
    assert_eq!(phase_and_zone(&manager, "s-1"), in_zone_a(Phase::Ready));
    assert_eq!(phase_and_zone(&manager, "s-9"), None);
    receive_list(&mut manager, false, &[("s-1", "b", "ready"), ("s-9", "b", "draining")]);
    assert_eq!(phase_and_zone(&manager, "s-1"), in_zone_a(Phase::Draining), "moved by a list of changes");
    receive_list(&mut manager, true, &[("s-1", "b", "ready"), ("s-2", "c", "draining")]);
    assert_eq!(
        phase_and_zone(&manager, "s-1"),
        in_zone_a(Phase::Draining),
        "named in another zone by a full list"
    );
    assert_eq!(phase_and_zone(&manager, "s-2"), in_zone_a(Phase::Draining), "moved by a full list");
    receive_list(&mut manager, false, &[("s-1", "a", "ready"), ("s-2", "c", "gone")]);
    assert_eq!(phase_and_zone(&manager, "s-1"), in_zone_a(Phase::Ready), "back in the scope");
    assert_eq!(phase_and_zone(&manager, "s-2"), in_zone_a(Phase::Gone), "gone in its new zone");
    receive_list(&mut manager, false, &[("s-2", "c", "ready"), ("s-1", "b", "ready")]);
    assert_eq!(phase_and_zone(&manager, "s-2"), in_zone_a(Phase::Gone), "not brought back by another zone");
    receive_list(&mut manager, true, &[]);
    assert_eq!(phase_and_zone(&manager, "s-1"), in_zone_a(Phase::Gone), "missing from a full list");
    let names = &manager.decider.names;
    assert_eq!(
        (names.workers.find_id("s-9"), names.zones.find_id("b"), names.zones.find_id("c")),
        (None, None, None)
    );
}
