//! A list, its log and its cursors under drawn histories: whatever comes between, each subscriber ends with exactly the
//! part of the list that lies within its scope.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_distribution::{
    ApplyError, Cursor, CursorLimits, ListEnd, ListEvent, ListLimits, ListReader, Location, Scope, Step,
    WorkerList, WorkerListLimits,
};
use proptest::prelude::*;
use serde::Deserialize;

const LIMITS: CursorLimits = CursorLimits { chunk_bytes: 300, scanned_records: 3 };
const LIST_LIMITS: WorkerListLimits = WorkerListLimits { tombstones: 2 };

/// Versions start anew far below the old ones, so that a number of the old ones is never reached again.
const FIRST_VERSION: u64 = 1_000_000;
const ANEW_BELOW: u64 = 10_000;

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

type View = BTreeMap<String, Worker>;

fn within(view: &View, scope: &Scope) -> View {
    let wanted = |worker: &Worker| !worker.is_gone() && worker.is_in(scope);
    view.iter()
        .filter(|(_, worker)| wanted(worker))
        .map(|(id, worker)| (id.clone(), worker.clone()))
        .collect()
}

/// The source of the list: the latest of every worker, and when it changed.
struct Source {
    version: u64,
    restarts: u64,
    workers: BTreeMap<String, (u64, Worker)>,
}

impl Source {
    fn new() -> Source {
        Source { version: FIRST_VERSION, restarts: 0, workers: BTreeMap::new() }
    }

    fn change(&mut self, by: u64, workers: &[Worker]) {
        self.version += by;
        for worker in workers {
            self.workers.insert(worker.instance_id.clone(), (self.version, worker.clone()));
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.version = FIRST_VERSION - ANEW_BELOW * self.restarts;
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

/// A relay's list, beside what it was told.
struct Relay {
    list: WorkerList,
    mirror: View,
    /// Workers that ever moved; their changes are told with the departures, as they are one to somebody.
    moved: BTreeSet<String>,
}

impl Relay {
    fn new(source: &Source) -> Relay {
        let mut relay =
            Relay { list: WorkerList::new(LIST_LIMITS), mirror: View::new(), moved: BTreeSet::new() };
        relay.take_whole(source);
        relay
    }

    fn stage(&mut self, workers: &[Worker]) {
        for worker in workers {
            self.list.stage(worker.entry().as_bytes()).unwrap();
        }
    }

    fn mirror(&mut self, workers: &[Worker]) {
        for worker in workers {
            let before = self.mirror.insert(worker.instance_id.clone(), worker.clone());
            let place = |worker: &Worker| (worker.zone.clone(), worker.service.clone());
            if before.is_some_and(|before| place(&before) != place(worker)) {
                self.moved.insert(worker.instance_id.clone());
            }
        }
    }

    fn take_whole(&mut self, source: &Source) {
        let all: Vec<Worker> = source.view().into_values().filter(|worker| !worker.is_gone()).collect();
        self.stage(&all);
        let applied = self.list.apply(source.version, true);
        if let Err(ApplyError::Behind { .. }) = applied {
            self.stage(&all);
            self.list.restart(source.version);
        }
        let named: BTreeSet<&String> = all.iter().map(|worker| &worker.instance_id).collect();
        for (_, absent) in self.mirror.iter_mut().filter(|(id, _)| !named.contains(id)) {
            absent.lifecycle = "gone".into();
        }
        self.mirror(&all);
    }

    fn take_changes(&mut self, source: &Source) {
        let held = self.list.version().unwrap();
        if source.version < held {
            return self.take_whole(source);
        }
        let changes = source.since(held);
        self.stage(&changes);
        self.list.apply(source.version, false).unwrap();
        self.mirror(&changes);
    }

    /// A first part of the changes, as a relay sends it that has more.
    fn take_part(&mut self, source: &Source) {
        let held = self.list.version().unwrap();
        if source.version <= held {
            return;
        }
        let mut changes = source.since(held);
        changes.truncate(changes.len() / 2);
        self.stage(&changes);
        self.list.apply(held, false).unwrap();
        self.mirror(&changes);
    }

    fn take_broken(&mut self, source: &Source) {
        self.stage(&source.since(0));
        self.list.discard_staged();
    }
}

/// A manager, as far as the list goes.
struct Subscriber {
    scope: Scope,
    relay: usize,
    cursor: Cursor,
    reader: ListReader,
    unsent: Vec<u8>,
    staged: Vec<Worker>,
    held: Option<u64>,
    view: View,
    /// The version last told on this watch was older than the one held.
    is_behind: bool,
    was_behind: bool,
    /// What is held goes with the version that is held.
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
            held: None,
            view: View::new(),
            is_behind: false,
            was_behind: false,
            is_complete: true,
        }
    }

    fn watch(&mut self, relay: usize, relays: &[Relay]) {
        self.relay = relay;
        self.cursor = Cursor::new(self.scope.clone(), self.held, &relays[relay].list, LIMITS);
        self.reader = ListReader::new(ListLimits::default());
        self.unsent.clear();
        self.staged.clear();
        (self.is_behind, self.was_behind) = (false, false);
    }

    /// With what is held, but for the one case that the cursor leaves open: then the whole is asked for.
    fn change_relay(&mut self, relay: usize, relays: &[Relay]) {
        if relay != self.relay && !self.is_complete {
            self.held = None;
        }
        self.watch(relay, relays);
    }

    fn step(&mut self, relays: &[Relay]) -> Step {
        let before = self.unsent.len();
        let step = self.cursor.next(&relays[self.relay].list, &mut self.unsent);
        assert!(self.unsent.len() - before <= LIMITS.chunk_bytes + 64, "a bounded piece at a time");
        if step == Step::Send {
            let bytes = std::mem::take(&mut self.unsent);
            self.receive(&bytes, &relays[self.relay]);
        }
        step
    }

    /// Once it is up to date.
    fn heartbeat(&mut self, relays: &[Relay]) {
        let relay = &relays[self.relay];
        let mut bytes = Vec::new();
        self.cursor.heartbeat(&relay.list, &mut bytes);
        assert!(bytes.ends_with(b"\n"));
        self.receive(&bytes, relay);
    }

    fn receive(&mut self, mut bytes: &[u8], relay: &Relay) {
        loop {
            let end = match self.reader.next(&mut bytes).expect("sound lines") {
                None => return,
                Some(ListEvent::Heartbeat) => continue,
                Some(ListEvent::Entry(entry)) => {
                    self.staged.push(serde_json::from_slice(entry).unwrap());
                    continue;
                }
                Some(ListEvent::End(end)) => end,
            };
            self.take(end, relay);
        }
    }

    fn take(&mut self, end: ListEnd, relay: &Relay) {
        let entries = std::mem::take(&mut self.staged);
        self.is_behind = self.held.is_some_and(|held| end.version < held);
        self.was_behind |= self.is_behind;
        if self.is_behind {
            assert!(entries.is_empty() && !end.reset, "nothing old");
            return;
        }
        self.held = Some(end.version);
        self.is_complete = self.cursor.is_complete(&relay.list);
        if end.reset {
            self.view.clear();
        }
        let is_other =
            |worker: &Worker| worker.lifecycle == "ready" && !relay.moved.contains(&worker.instance_id);
        let has_others = entries.iter().any(is_other);
        for worker in entries {
            // An entry out of scope tells that the worker has left the scope.
            match worker.is_gone() || !worker.is_in(&self.scope) {
                true => _ = self.view.remove(&worker.instance_id),
                false => _ = self.view.insert(worker.instance_id.clone(), worker),
            }
        }
        if has_others && !end.reset && !self.was_behind {
            self.check_departures(&relay.mirror);
        }
    }

    /// Once another change was told in a line of its own, no departure is pending.
    fn check_departures(&self, mirror: &View) {
        for id in mirror.keys().chain(self.view.keys()).collect::<BTreeSet<_>>() {
            let worker = mirror.get(id).filter(|worker| !worker.is_gone() && worker.is_in(&self.scope));
            let Some(seen) = self.view.get(id) else { continue };
            match worker {
                None => panic!("{id} left and is still held"),
                Some(worker) if worker.lifecycle == "draining" => assert_eq!(seen.lifecycle, "draining"),
                Some(_) => {}
            }
        }
    }

    /// Goes on until nothing is left to be told, as a manager does.
    fn settle(&mut self, relays: &[Relay]) {
        for _ in 0..1_000 {
            match self.step(relays) {
                Step::UpToDate if self.is_behind => {
                    self.held = None;
                    self.watch(self.relay, relays);
                }
                Step::UpToDate => return self.heartbeat(relays),
                Step::Void => self.watch(self.relay, relays),
                Step::Send | Step::Scanning => {}
            }
        }
        panic!("it never came to an end");
    }
}

#[derive(Clone, Debug)]
enum Op {
    Change { by: u64, workers: Vec<Worker> },
    Changes(usize),
    Part(usize),
    Whole(usize),
    Broken(usize),
    Restart,
    Step(usize),
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
    let restarts = u32::from(with_restarts);
    prop_oneof![
        6 => change.prop_map(|(by, workers)| Op::Change { by, workers }),
        5 => (0..2_usize).prop_map(Op::Changes),
        2 => (0..2_usize).prop_map(Op::Part),
        1 => (0..2_usize).prop_map(Op::Whole),
        1 => (0..2_usize).prop_map(Op::Broken),
        restarts => Just(Op::Restart),
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
            Op::Change { by, workers } => source.change(by, &workers),
            Op::Changes(relay) => relays[relay].take_changes(&source),
            Op::Part(relay) => relays[relay].take_part(&source),
            Op::Whole(relay) => relays[relay].take_whole(&source),
            Op::Broken(relay) => relays[relay].take_broken(&source),
            Op::Restart => source.restart(),
            Op::Step(subscriber) => {
                let subscriber = &mut subscribers[subscriber];
                match subscriber.step(&relays) {
                    Step::Void => subscriber.watch(subscriber.relay, &relays),
                    Step::UpToDate => subscriber.heartbeat(&relays),
                    Step::Send | Step::Scanning => {}
                }
            }
            Op::Move { subscriber, relay } => subscribers[subscriber].change_relay(relay, &relays),
        }
    }
    for relay in &mut relays {
        relay.take_changes(&source);
        assert_eq!(relay.list.workers(), within(&source.view(), &Scope::default()).len());
        assert!(relay.list.tombstones() <= LIST_LIMITS.tombstones);
    }
    for subscriber in &mut subscribers {
        subscriber.settle(&relays);
        assert_eq!(subscriber.view, within(&source.view(), &subscriber.scope));
        assert_eq!(subscriber.held, relays[subscriber.relay].list.version());
    }
}

/// At least 600 of them; more by PROPTEST_CASES.
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
    fn so_it_does_where_versions_start_anew(ops in prop::collection::vec(op(true), 0..120)) {
        run(ops);
    }
}
