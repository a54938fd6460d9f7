//! The state that can be read: typed as the task that owns the decisions knows it, and as data of the model.

use juniperrail_intent::{ComposedWorker, Origin, Stage};
use juniperrail_interface::{Ms, Phase, Retry};
use juniperrail_model::{Content, Data, NodeId, Schema, Value};

#[derive(Clone, Debug)]
pub struct WorkerState {
    pub name: String,
    pub composed: ComposedWorker,
    pub zone: String,
    pub machine: String,
    pub warm: bool,
}

/// A table as last written to the proxies bound to it.
#[derive(Clone, Debug)]
pub struct TableState {
    pub number: u16,
    pub lines: Vec<(String, f64)>,
}

#[derive(Clone, Debug)]
pub struct OperationState {
    pub name: String,
    pub table: Option<u16>,
    pub level: Option<(f64, Retry)>,
}

#[derive(Clone, Debug)]
pub struct ProxyState {
    pub number: u16,
    pub zone: String,
    pub mark_sent: Option<u16>,
    pub mark_acknowledged: Option<u16>,
    pub unacknowledged: usize,
    pub unacknowledged_for: Option<Ms>,
    pub recent_messages: usize,
    pub excluded_workers: Vec<String>,
    pub operations: Vec<OperationState>,
}

#[derive(Clone, Debug)]
pub struct ChangeState {
    pub number: u64,
    pub by: String,
    pub age: Ms,
    pub stage: Stage,
    pub applied_by: usize,
    pub joined: usize,
}

#[derive(Clone, Debug, Default)]
pub struct State {
    pub manager: String,
    pub list_version: u64,
    pub workers: Vec<WorkerState>,
    pub tables: Vec<TableState>,
    pub proxies: Vec<ProxyState>,
    pub pending_lines: f64,
    pub max_pending_lines: f64,
    pub changes: Vec<ChangeState>,
    /// What is decided in common, where that is on.
    pub fleet: Option<FleetState>,
}

/// What this manager decides in common with others, as words of the module `juniperrail-state`.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    pub member: u16,
    pub role: &'static str,
    pub leader: Option<u16>,
    pub term: u64,
    pub standing: &'static str,
    pub committed: u64,
    pub store_failing: bool,
    pub store_size: u64,
    pub messages_lost: u64,
    pub own_health: u32,
    /// Each other manager's number, health and reach.
    pub members: Vec<(u16, &'static str, &'static str)>,
    pub schedules: Vec<ScheduleState>,
    /// The plan in common, whether its lease is over, and each zone's part with the reason.
    pub plan: u64,
    pub plan_lapsed: bool,
    pub zones: Vec<(String, f64, &'static str)>,
}

#[derive(Clone, Debug, Default)]
pub struct ScheduleState {
    pub name: String,
    pub through: i64,
    pub open: usize,
    pub ended: u64,
    pub passed: u64,
    /// When the last that ended was due, how it ended and whose it was.
    pub last: Option<(i64, &'static str, u16)>,
}

/// A version of running that can be gone back to.
#[derive(Clone, Debug)]
pub struct VersionState {
    pub number: u64,
    pub by: String,
    pub age: Ms,
}

#[derive(Clone, Debug, Default)]
pub struct VersionsState {
    pub unconfirmed_for: Option<Ms>,
    pub overdue: Option<String>,
    pub versions: Vec<VersionState>,
}

/// Sets leaves by name at one place of the tree.
struct Writer<'a> {
    schema: &'a Schema,
    at: NodeId,
    data: &'a mut Data,
}

impl Writer<'_> {
    fn id(&self, name: &str) -> NodeId {
        let id = self.schema.child(Some(self.at), name, None);
        // A test writes every name that the program writes.
        id.unwrap_or_else(|| panic!("the modules have no {name} here"))
    }

    fn set(&mut self, name: &str, value: Value) -> &mut Self {
        let id = self.id(name);
        self.data.set(id, Content::Leaf(value));
        self
    }

    fn text(&mut self, name: &str, text: &str) -> &mut Self {
        self.set(name, Value::text(text))
    }

    fn whole(&mut self, name: &str, number: impl TryInto<i128>) -> &mut Self {
        let number = number.try_into().unwrap_or(0);
        self.set(name, Value::Integer(number))
    }

    fn figure(&mut self, name: &str, figure: f64, digits: u8) -> &mut Self {
        match Value::decimal(figure, digits) {
            Some(value) => self.set(name, value),
            None => self,
        }
    }

    fn inner<R>(&mut self, name: &str, write: impl FnOnce(&mut Writer<'_>) -> R) -> R {
        let at = self.id(name);
        write(&mut Writer { schema: self.schema, at, data: self.data.inner(at) })
    }

    fn entry<R>(&mut self, name: &str, keys: &[Value], write: impl FnOnce(&mut Writer<'_>) -> R) -> R {
        let at = self.id(name);
        write(&mut Writer { schema: self.schema, at, data: self.data.entry(self.schema, at, keys) })
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}

fn retry(retry: Retry) -> &'static str {
    match retry {
        Retry::Never => "never",
        Retry::IfNotExecuted => "if-unrun",
        Retry::OnceOnFailure => "once-on-failure",
        Retry::TwiceOnFailure => "twice-on-failure",
    }
}

/// A span as the model bounds it: an hour at most.
const LONGEST: Ms = 3_600_000.0;

impl State {
    /// As data of the module `juniperrail-state`.
    pub fn data(&self, schema: &Schema, versions: &VersionsState) -> Data {
        let mut data = Data::default();
        let at = schema.find(&["state"]).expect("the modules have a state");
        let mut top = Writer { schema, at, data: data.inner(at) };
        top.text("manager", &self.manager).whole("list-version", self.list_version);
        top.inner("workers", |all| self.workers.iter().for_each(|worker| worker.write(all)));
        top.inner("tables", |all| self.tables.iter().for_each(|table| table.write(all)));
        top.inner("proxies", |all| self.proxies.iter().for_each(|proxy| proxy.write(all)));
        top.inner("channel", |channel| {
            channel.figure("lines-waiting", self.pending_lines, 3);
            channel.figure("lines-waiting-most", self.max_pending_lines, 3);
        });
        top.inner("versions", |all| versions.write(all));
        top.inner("changes", |all| self.changes.iter().for_each(|change| change.write(all)));
        if let Some(fleet) = &self.fleet {
            top.inner("fleet", |all| fleet.write(all));
        }
        data.tidy(schema);
        data
    }
}

impl WorkerState {
    fn write(&self, all: &mut Writer<'_>) {
        let ComposedWorker { listed, phase_origin, weight_origin, placement_origin, discovery_phase, .. } =
            &self.composed;
        all.entry("worker", &[Value::text(&*self.name)], |worker| {
            worker.text("phase", phase(listed.phase)).text("phase-from", phase_origin.name());
            if let Some(from) = weight_origin {
                worker.figure("weight", listed.weight, 4).text("weight-from", from.name());
            }
            worker.text("zone", &self.zone).text("machine", &self.machine);
            worker.text("place-from", Origin::name(*placement_origin)).set("warm", Value::Boolean(self.warm));
            if let Some(word) = discovery_phase {
                worker.text("discovery-phase", phase(*word));
            }
        });
    }
}

impl TableState {
    fn write(&self, all: &mut Writer<'_>) {
        all.entry("table", &[Value::Integer(self.number.into())], |table| {
            for (worker, weight) in &self.lines {
                table.entry("line", &[Value::text(&**worker)], |line| _ = line.figure("weight", *weight, 6));
            }
        });
    }
}

impl ProxyState {
    fn write(&self, all: &mut Writer<'_>) {
        all.entry("proxy", &[Value::Integer(self.number.into())], |proxy| {
            proxy.text("zone", &self.zone).whole("answers-owed", self.unacknowledged as u64);
            proxy.whole("messages-lately", self.recent_messages as u64);
            if let Some(mark) = self.mark_sent {
                proxy.whole("mark-sent", mark);
            }
            if let Some(mark) = self.mark_acknowledged {
                proxy.whole("mark-answered", mark);
            }
            if let Some(owed_for) = self.unacknowledged_for {
                proxy.figure("owed-since", owed_for.clamp(0.0, LONGEST), 3);
            }
            let shut_out = proxy.id("shut-out");
            for worker in &self.excluded_workers {
                proxy.data.leaves(shut_out).insert(Value::text(&**worker));
            }
            for told in &self.operations {
                proxy.entry("operation", &[Value::text(&*told.name)], |operation| {
                    if let Some(table) = told.table {
                        operation.whole("table", table);
                    }
                    if let Some((level, again)) = told.level {
                        operation.figure("level", level, 6).text("retry", retry(again));
                    }
                });
            }
        });
    }
}

impl FleetState {
    fn write(&self, all: &mut Writer<'_>) {
        all.whole("member", self.member).text("role", self.role).whole("term", self.term);
        self.leader.iter().for_each(|leader| _ = all.whole("leader", *leader));
        all.text("standing", self.standing).whole("committed", self.committed);
        all.set("store-failing", Value::Boolean(self.store_failing)).whole("store-size", self.store_size);
        all.whole("messages-lost", self.messages_lost).whole("own-health", self.own_health);
        for (number, health, reach) in &self.members {
            all.entry("member-of", &[Value::Integer((*number).into())], |member| {
                member.text("health", health).text("reach", reach);
            });
        }
        all.whole("plan", self.plan).set("plan-lapsed", Value::Boolean(self.plan_lapsed));
        for (name, part, why) in &self.zones {
            all.entry("zone", &[Value::text(&**name)], |zone| {
                zone.figure("part", *part, 4).text("why", why);
            });
        }
        for told in &self.schedules {
            all.entry("schedule", &[Value::text(&*told.name)], |schedule| {
                schedule.whole("through", told.through).whole("open", told.open as u64);
                schedule.whole("ended", told.ended).whole("passed", told.passed);
                if let Some((due, end, owner)) = told.last {
                    schedule.whole("last-due", due).text("last-end", end).whole("last-owner", owner);
                }
            });
        }
    }
}

impl VersionsState {
    fn write(&self, all: &mut Writer<'_>) {
        self.unconfirmed_for.iter().for_each(|left| _ = all.figure("unconfirmed-for", *left, 3));
        self.overdue.iter().for_each(|why| _ = all.text("overdue", why));
        for version in &self.versions {
            all.entry("version", &[Value::Integer(version.number.into())], |entry| {
                entry.text("by", &version.by).figure("age", version.age, 3);
            });
        }
    }
}

impl ChangeState {
    fn write(&self, all: &mut Writer<'_>) {
        all.entry("change", &[Value::Integer(self.number.into())], |change| {
            change.text("by", &self.by).figure("age", self.age, 3);
            change.whole("held-by", self.applied_by as u64).whole("joined", self.joined as u64);
            match self.stage {
                Stage::Distributing => change.text("progress", "going-out"),
                Stage::Superseded => change.text("progress", "superseded"),
                Stage::Applied { after } => change.text("progress", "held").figure("held-after", after, 3),
            };
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_interface::{CellId, MachineId, WorkerEntry, WorkerId, ZoneId};
    use juniperrail_model::{json, Kind};

    /// Each leaf fits the type that the module gives it.
    fn check(schema: &Schema, data: &Data) {
        for (id, content) in data.iter() {
            let fits = |value: &Value| match &schema.node(id).kind {
                Kind::Leaf { ty, .. } | Kind::LeafList { ty } => {
                    let read = ty.read(&value.to_string());
                    assert_eq!(read.as_ref(), Ok(value), "{}", schema.node(id).name);
                }
                _ => panic!("{} is no leaf", schema.node(id).name),
            };
            match content {
                Content::Leaf(value) => fits(value),
                Content::Leaves(values) => values.iter().for_each(fits),
                Content::Inner(data) => check(schema, data),
                Content::List(entries) => entries.values().for_each(|entry| check(schema, entry)),
            }
        }
    }

    #[test]
    fn the_state_fits_the_module_leaf_by_leaf() {
        let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
        let listed = WorkerEntry {
            worker: WorkerId(0),
            phase: Phase::Draining,
            booted: None,
            zone,
            machine,
            cell,
            weight: 0.123456,
        };
        let composed = ComposedWorker {
            listed,
            address: None,
            phase_origin: Origin::Operator,
            weight_origin: Some(Origin::Discovery),
            placement_origin: Origin::Discovery,
            discovery_phase: Some(Phase::Gone),
        };
        let (zone, machine) = ("a".to_string(), String::new());
        let operations = [None, Some((1e6, Retry::IfNotExecuted)), Some((0.1, Retry::TwiceOnFailure))];
        let operations = operations.into_iter().zip(["x", "y", "z"]);
        let change = |number, stage| ChangeState {
            number,
            by: "ann".into(),
            age: 1e9,
            stage,
            applied_by: 1,
            joined: 2,
        };
        let state = State {
            manager: "n0".into(),
            list_version: u64::MAX,
            workers: vec![WorkerState {
                name: "s-1".into(),
                composed,
                zone: zone.clone(),
                machine,
                warm: true,
            }],
            tables: vec![TableState {
                number: 3,
                lines: vec![("s-1".into(), 0.3333333), ("s-2".into(), 1.0)],
            }],
            proxies: vec![ProxyState {
                number: 7,
                zone,
                mark_sent: Some(65_535),
                mark_acknowledged: Some(1),
                unacknowledged: 2,
                unacknowledged_for: Some(1e12),
                recent_messages: 4,
                excluded_workers: vec!["s-1".into()],
                operations: operations
                    .map(|(level, name)| OperationState { name: name.into(), table: level.map(|_| 3), level })
                    .collect(),
            }],
            pending_lines: f64::NAN,
            max_pending_lines: 5000.0,
            changes: vec![
                change(1, Stage::Distributing),
                change(2, Stage::Superseded),
                change(3, Stage::Applied { after: 12.5 }),
            ],
            fleet: Some(FleetState {
                member: 2,
                role: "candidate",
                leader: Some(1),
                term: u64::MAX,
                standing: "doubtful",
                members: vec![(1, "suspect", "by-others")],
                zones: vec![("b".into(), 0.3, "cut-off")],
                schedules: vec![ScheduleState {
                    name: "warm".into(),
                    through: -1,
                    last: Some((i64::MAX, "given-up", 3)),
                    ..ScheduleState::default()
                }],
                ..FleetState::default()
            }),
        };
        let schema = juniperrail_model::schema();
        let versions = VersionsState {
            unconfirmed_for: Some(-1.5),
            overdue: Some("why".into()),
            versions: vec![VersionState { number: 2, by: "ann".into(), age: 3.0 }],
        };
        let data = state.data(&schema, &versions);
        check(&schema, &data);
        let json = json::write(&schema, &data);
        let state = &json["juniperrail-state:state"];
        assert_eq!(state["list-version"], u64::MAX.to_string());
        assert_eq!(state["tables"]["table"][0]["line"][0]["weight"], "0.333333");
        assert_eq!(state["workers"]["worker"][0]["phase-from"], "operator");
        assert_eq!(state["changes"]["change"][2]["held-after"], "12.5");
        assert_eq!(state["fleet"]["schedule"][0]["last-end"], "given-up");
        assert!(state["channel"].get("lines-waiting").is_none(), "what is no figure is not told");
    }
}
