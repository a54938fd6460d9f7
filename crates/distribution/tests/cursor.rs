//! Random histories of a list, its log and its cursors: whatever happens in between, each subscriber ends with exactly
//! the part of the list that is in its scope.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_distribution::{
    ApplyError, Cursor, CursorLimits, ListEnd, ListEvent, ListLimits, ListReader, Location, Scope, Step,
    WorkerList, WorkerListLimits,
};
use proptest::prelude::*;
use serde::Deserialize;

const LIMITS: CursorLimits = CursorLimits { chunk_bytes: 300, scanned_records: 3 };
const LIST_LIMITS: WorkerListLimits = WorkerListLimits { tombstones: 2 };

/// The version with which the source starts.
const FIRST_VERSION: u64 = 1_000_000;
/// Each restart of the versions begins this far below the previous one, so that no version from before a restart is
/// reached again.
const RESTART_DISTANCE: u64 = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Worker {
    instance_id: String,
    zone: String,
    service: Option<String>,
    lifecycle: String,
}

impl Worker {
    fn entry(&self) -> String {
        let service =
            self.service.as_ref().map(|name| format!(",\"service\":\"{name}\"")).unwrap_or_default();
        let Worker { instance_id, zone, lifecycle, .. } = self;
        format!(
            r#"{{"instanceId":"{instance_id}","hostPort":"127.0.0.1:9","zone":"{zone}"{service},"lifecycle":"{lifecycle}"}}"#
        )
    }

    fn is_in(&self, scope: &Scope) -> bool {
        scope.contains(Location { zone: &self.zone, service: self.service.as_deref() })
    }

    fn is_gone(&self) -> bool {
        self.lifecycle == "gone"
    }
}

/// Workers by their id.
type View = BTreeMap<String, Worker>;

fn in_scope(view: &View, scope: &Scope) -> View {
    let is_included = |worker: &Worker| !worker.is_gone() && worker.is_in(scope);
    view.iter()
        .filter(|(_, worker)| is_included(worker))
        .map(|(id, worker)| (id.clone(), worker.clone()))
        .collect()
}

/// The source of the list.
struct Source {
    version: u64,
    restarts: u64,
    /// The latest entry of every worker, and the version at which it changed.
    workers: BTreeMap<String, (u64, Worker)>,
}

impl Source {
    fn new() -> Source {
        Source { version: FIRST_VERSION, restarts: 0, workers: BTreeMap::new() }
    }

    fn change(&mut self, version_step: u64, workers: &[Worker]) {
        self.version += version_step;
        for worker in workers {
            self.workers.insert(worker.instance_id.clone(), (self.version, worker.clone()));
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.version = FIRST_VERSION - RESTART_DISTANCE * self.restarts;
        self.workers.retain(|_, (_, worker)| !worker.is_gone());
        self.workers.values_mut().for_each(|(changed, _)| *changed = self.version);
    }

    fn since(&self, version: u64) -> Vec<Worker> {
        let changed = self.workers.values().filter(|(changed, _)| *changed > version);
        changed.map(|(_, worker)| worker.clone()).collect()
    }

    fn view(&self) -> View {
        self.workers.iter().map(|(id, (_, worker))| (id.clone(), worker.clone())).collect()
    }
}

/// A relay's list, and a model of what it received.
struct Relay {
    list: WorkerList,
    /// The latest entry received of every worker.
    received: View,
    /// Workers that have ever moved. All their changes may be sent with the departures, because each may be a departure
    /// from some scope.
    moved: BTreeSet<String>,
}

impl Relay {
    fn new(source: &Source) -> Relay {
        let mut relay =
            Relay { list: WorkerList::new(LIST_LIMITS), received: View::new(), moved: BTreeSet::new() };
        relay.receive_full_list(source);
        relay
    }

    fn stage(&mut self, workers: &[Worker]) {
        for worker in workers {
            self.list.stage(worker.entry().as_bytes()).unwrap();
        }
    }

    fn record_received(&mut self, workers: &[Worker]) {
        for worker in workers {
            let previous = self.received.insert(worker.instance_id.clone(), worker.clone());
            let location = |worker: &Worker| (worker.zone.clone(), worker.service.clone());
            if previous.is_some_and(|previous| location(&previous) != location(worker)) {
                self.moved.insert(worker.instance_id.clone());
            }
        }
    }

    fn receive_full_list(&mut self, source: &Source) {
        let all: Vec<Worker> = source.view().into_values().filter(|worker| !worker.is_gone()).collect();
        self.stage(&all);
        let applied = self.list.apply(source.version, true);
        if let Err(ApplyError::Behind { .. }) = applied {
            self.stage(&all);
            self.list.restart(source.version);
        }
        let listed: BTreeSet<&String> = all.iter().map(|worker| &worker.instance_id).collect();
        for (_, missing) in self.received.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            missing.lifecycle = "gone".into();
        }
        self.record_received(&all);
    }

    fn receive_changes(&mut self, source: &Source) {
        let current = self.list.version().unwrap();
        if source.version < current {
            return self.receive_full_list(source);
        }
        let changes = source.since(current);
        self.stage(&changes);
        self.list.apply(source.version, false).unwrap();
        self.record_received(&changes);
    }

    /// Receives a first part of the changes, under the current version as from a relay that has more to send.
    fn receive_part(&mut self, source: &Source) {
        let current = self.list.version().unwrap();
        if source.version <= current {
            return;
        }
        let mut changes = source.since(current);
        changes.truncate(changes.len() / 2);
        self.stage(&changes);
        self.list.apply(current, false).unwrap();
        self.record_received(&changes);
    }

    /// Receives a line that is truncated before its end.
    fn receive_truncated(&mut self, source: &Source) {
        self.stage(&source.since(0));
        self.list.discard_staged();
    }
}

/// A model of a manager's watch of the list.
struct Subscriber {
    scope: Scope,
    relay: usize,
    cursor: Cursor,
    reader: ListReader,
    unsent: Vec<u8>,
    staged: Vec<Worker>,
    current_version: Option<u64>,
    view: View,
    /// The version received last on this watch was older than the subscriber's current one.
    is_behind: bool,
    /// Some version received on this watch was older than the subscriber's current one.
    was_behind: bool,
    /// The view has every change up to the current version and none after it.
    is_complete: bool,
}

impl Subscriber {
    fn new(scope: Scope, relays: &[Relay]) -> Subscriber {
        Subscriber {
            cursor: Cursor::new(scope.clone(), None, &relays[0].list, LIMITS),
            scope,
            relay: 0,
            reader: ListReader::new(ListLimits::default()),
            unsent: Vec::new(),
            staged: Vec::new(),
            current_version: None,
            view: View::new(),
            is_behind: false,
            was_behind: false,
            is_complete: true,
        }
    }

    fn watch(&mut self, relay: usize, relays: &[Relay]) {
        self.relay = relay;
        self.cursor = Cursor::new(self.scope.clone(), self.current_version, &relays[relay].list, LIMITS);
        self.reader = ListReader::new(ListLimits::default());
        self.unsent.clear();
        self.staged.clear();
        (self.is_behind, self.was_behind) = (false, false);
    }

    /// Resumes from the current version, except in the one case that the cursor does not cover, in which the full list
    /// is requested.
    fn change_relay(&mut self, relay: usize, relays: &[Relay]) {
        if relay != self.relay && !self.is_complete {
            self.current_version = None;
        }
        self.watch(relay, relays);
    }

    fn step(&mut self, relays: &[Relay]) -> Step {
        let bytes_before = self.unsent.len();
        let step = self.cursor.next(&relays[self.relay].list, &mut self.unsent);
        assert!(
            self.unsent.len() - bytes_before <= LIMITS.chunk_bytes + 64,
            "a call exceeded the maximum size of a chunk"
        );
        if step == Step::Send {
            let bytes = std::mem::take(&mut self.unsent);
            self.receive(&bytes, &relays[self.relay]);
        }
        step
    }

    /// Receives a heartbeat. Only valid once the cursor is up to date.
    fn heartbeat(&mut self, relays: &[Relay]) {
        let relay = &relays[self.relay];
        let mut bytes = Vec::new();
        self.cursor.heartbeat(&relay.list, &mut bytes);
        assert!(bytes.ends_with(b"\n"));
        self.receive(&bytes, relay);
    }

    fn receive(&mut self, mut bytes: &[u8], relay: &Relay) {
        loop {
            let end = match self.reader.next(&mut bytes).expect("valid lines") {
                None => return,
                Some(ListEvent::Heartbeat) => continue,
                Some(ListEvent::Entry(entry)) => {
                    self.staged.push(serde_json::from_slice(entry).unwrap());
                    continue;
                }
                Some(ListEvent::End(end)) => end,
            };
            self.apply(end, relay);
        }
    }

    fn apply(&mut self, end: ListEnd, relay: &Relay) {
        let entries = std::mem::take(&mut self.staged);
        self.is_behind = self.current_version.is_some_and(|current| end.version < current);
        self.was_behind |= self.is_behind;
        if self.is_behind {
            assert!(entries.is_empty() && !end.reset, "a relay that is behind sent entries");
            return;
        }
        self.current_version = Some(end.version);
        self.is_complete = self.cursor.is_complete(&relay.list);
        if end.reset {
            self.view.clear();
        }
        let is_other =
            |worker: &Worker| worker.lifecycle == "ready" && !relay.moved.contains(&worker.instance_id);
        let has_others = entries.iter().any(is_other);
        for worker in entries {
            // An entry out of scope means that the worker has left the scope.
            match worker.is_gone() || !worker.is_in(&self.scope) {
                true => _ = self.view.remove(&worker.instance_id),
                false => _ = self.view.insert(worker.instance_id.clone(), worker),
            }
        }
        if has_others && !end.reset && !self.was_behind {
            self.check_departures(&relay.received);
        }
    }

    /// Checks that no departure is pending, which holds once a line with another change was received.
    fn check_departures(&self, received: &View) {
        for id in received.keys().chain(self.view.keys()).collect::<BTreeSet<_>>() {
            let worker = received.get(id).filter(|worker| !worker.is_gone() && worker.is_in(&self.scope));
            let Some(seen) = self.view.get(id) else { continue };
            match worker {
                None => panic!("{id} left the scope and is still in the view"),
                Some(worker) if worker.lifecycle == "draining" => assert_eq!(seen.lifecycle, "draining"),
                Some(_) => {}
            }
        }
    }

    /// Receives everything that is pending. Like a manager, it watches again if the watch ends or the relay is behind.
    fn settle(&mut self, relays: &[Relay]) {
        for _ in 0..1_000 {
            match self.step(relays) {
                Step::UpToDate if self.is_behind => {
                    self.current_version = None;
                    self.watch(self.relay, relays);
                }
                Step::UpToDate => return self.heartbeat(relays),
                Step::Invalidated => self.watch(self.relay, relays),
                Step::Send | Step::Scanning => {}
            }
        }
        panic!("the watch never became up to date");
    }
}

/// One step of a history. Relays and subscribers are given by their index.
#[derive(Clone, Debug)]
enum Op {
    /// Workers change at the source.
    Change { version_step: u64, workers: Vec<Worker> },
    /// A relay receives the changes.
    ReceiveChanges(usize),
    /// A relay receives a first part of the changes.
    ReceivePart(usize),
    /// A relay receives the full list.
    ReceiveFullList(usize),
    /// A relay receives a line that is truncated.
    ReceiveTruncated(usize),
    /// The source restarts its versions.
    Restart,
    /// A subscriber receives the next chunk.
    Step(usize),
    /// A subscriber moves to a relay.
    Move { subscriber: usize, relay: usize },
}

fn worker() -> impl Strategy<Value = Worker> {
    let id = (0..8_u8).prop_map(|id| format!("s-{id}"));
    let zone = prop::sample::select(vec!["a", "b", "c"]).prop_map(String::from);
    let service = prop::sample::select(vec![None, Some("x"), Some("y")]);
    let lifecycle = prop::sample::select(vec!["ready", "ready", "draining", "gone"]).prop_map(String::from);
    (id, zone, service, lifecycle).prop_map(|(instance_id, zone, service, lifecycle)| Worker {
        instance_id,
        zone,
        service: service.map(String::from),
        lifecycle,
    })
}

fn op(with_restarts: bool) -> impl Strategy<Value = Op> {
    let change = (1..4_u64, prop::collection::vec(worker(), 0..4));
    let restart_weight = u32::from(with_restarts);
    prop_oneof![
        6 => change.prop_map(|(version_step, workers)| Op::Change { version_step, workers }),
        5 => (0..2_usize).prop_map(Op::ReceiveChanges),
        2 => (0..2_usize).prop_map(Op::ReceivePart),
        1 => (0..2_usize).prop_map(Op::ReceiveFullList),
        1 => (0..2_usize).prop_map(Op::ReceiveTruncated),
        restart_weight => Just(Op::Restart),
        20 => (0..4_usize).prop_map(Op::Step),
        3 => (0..4_usize, 0..2_usize).prop_map(|(subscriber, relay)| Op::Move { subscriber, relay }),
    ]
}

fn scopes() -> [Scope; 4] {
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    [
        Scope::default(),
        Scope::new(names(&["a"]), names(&[])),
        Scope::new(names(&["b", "c"]), names(&["x"])),
        Scope::new(names(&[]), names(&["y"])),
    ]
}

fn run(ops: Vec<Op>) {
    let mut source = Source::new();
    let mut relays = [Relay::new(&source), Relay::new(&source)];
    let mut subscribers = scopes().map(|scope| Subscriber::new(scope, &relays));
    for op in ops {
        match op {
            Op::Change { version_step, workers } => source.change(version_step, &workers),
            Op::ReceiveChanges(relay) => relays[relay].receive_changes(&source),
            Op::ReceivePart(relay) => relays[relay].receive_part(&source),
            Op::ReceiveFullList(relay) => relays[relay].receive_full_list(&source),
            Op::ReceiveTruncated(relay) => relays[relay].receive_truncated(&source),
            Op::Restart => source.restart(),
            Op::Step(subscriber) => {
                let subscriber = &mut subscribers[subscriber];
                match subscriber.step(&relays) {
                    Step::Invalidated => subscriber.watch(subscriber.relay, &relays),
                    Step::UpToDate => subscriber.heartbeat(&relays),
                    Step::Send | Step::Scanning => {}
                }
            }
            Op::Move { subscriber, relay } => subscribers[subscriber].change_relay(relay, &relays),
        }
    }
    for relay in &mut relays {
        relay.receive_changes(&source);
        assert_eq!(relay.list.worker_count(), in_scope(&source.view(), &Scope::default()).len());
        assert!(relay.list.tombstone_count() <= LIST_LIMITS.tombstones);
    }
    for subscriber in &mut subscribers {
        subscriber.settle(&relays);
        assert_eq!(subscriber.view, in_scope(&source.view(), &subscriber.scope));
        assert_eq!(subscriber.current_version, relays[subscriber.relay].list.version());
    }
}

/// At least 600 histories; the environment variable PROPTEST_CASES sets a higher number.
fn histories() -> ProptestConfig {
    let default = ProptestConfig::default();
    ProptestConfig { cases: default.cases.max(600), failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(histories())]

    #[test]
    fn each_subscriber_ends_with_its_part_of_the_list(ops in prop::collection::vec(op(false), 0..120)) {
        run(ops);
    }

    #[test]
    fn each_subscriber_ends_with_its_part_of_the_list_after_restarts_of_the_versions(
        ops in prop::collection::vec(op(true), 0..120),
    ) {
        run(ops);
    }
}
