//! The operational state as typed values, which the planner task provides, and its conversion to data of the YANG
//! module `juniperrail-state`.

use juniperrail_intent::{ComposedWorker, Origin, Stage};
use juniperrail_interface::{Ms, Phase, Retry};
use juniperrail_model::{Content, Data, NodeId, Schema, Value};

/// A worker as composed from its sources, with the names of its zone and machine.
#[derive(Clone, Debug)]
pub struct WorkerState {
    pub name: String,
    pub composed: ComposedWorker,
    pub zone: String,
    pub machine: String,
    /// Whether the warm-up of the worker has passed.
    pub warm: bool,
}

/// A table as last sent to the proxies that are bound to it.
#[derive(Clone, Debug)]
pub struct TableState {
    pub number: u16,
    /// The names of the workers, each with its weight.
    pub lines: Vec<(String, f64)>,
}

/// What a proxy was sent about one operation.
#[derive(Clone, Debug)]
pub struct OperationState {
    pub name: String,
    /// The number of the table that the operation is bound to.
    pub table: Option<u16>,
    /// The admission level and the retry policy.
    pub level: Option<(f64, Retry)>,
}

/// A joined proxy and what it was sent.
#[derive(Clone, Debug)]
pub struct ProxyState {
    pub number: u16,
    pub zone: String,
    pub mark_sent: Option<u16>,
    pub mark_acknowledged: Option<u16>,
    /// The number of marks that the proxy has not acknowledged.
    pub unacknowledged_marks: usize,
    /// The age of the oldest mark that the proxy has not acknowledged.
    pub oldest_unacknowledged_age: Option<Ms>,
    /// Messages sent within `Settings::message_window`, in which their number is limited.
    pub recent_messages: usize,
    pub excluded_workers: Vec<String>,
    pub operations: Vec<OperationState>,
}

/// An accepted change and how far it has been distributed.
#[derive(Clone, Debug)]
pub struct ChangeState {
    pub number: u64,
    pub author: String,
    pub age: Ms,
    pub stage: Stage,
    /// The number of proxies that have applied the change.
    pub applied_proxies: usize,
    /// The number of joined proxies.
    pub joined_proxies: usize,
}

/// The operational state of a manager.
#[derive(Clone, Debug, Default)]
pub struct OperationalState {
    pub manager: String,
    pub list_version: u64,
    pub workers: Vec<WorkerState>,
    pub tables: Vec<TableState>,
    pub proxies: Vec<ProxyState>,
    /// The lines sent to the proxies that have not been acknowledged.
    pub pending_lines: f64,
    /// The limit on `pending_lines`.
    pub max_pending_lines: f64,
    pub changes: Vec<ChangeState>,
    /// The state of the consensus with other managers, if it is configured.
    pub fleet: Option<FleetState>,
}

/// The state of the consensus between managers. The `&'static str` values are enumeration values of the module
/// `juniperrail-state`.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// The member number of this manager.
    pub member: u16,
    pub role: &'static str,
    pub leader: Option<u16>,
    pub term: u64,
    pub recovery_state: &'static str,
    /// The commit index of the consensus log.
    pub commit_index: u64,
    pub store_failing: bool,
    /// The size of the store.
    pub store_bytes: u64,
    /// Messages to other managers that were dropped because a queue was full.
    pub messages_lost: u64,
    /// How slow this manager itself is, from 0 (healthy) to 8.
    pub local_health: u32,
    /// The other managers.
    pub members: Vec<MemberState>,
    pub schedules: Vec<ScheduleState>,
    /// The version of the committed failover plan.
    pub plan_version: u64,
    /// Whether the lease of the plan has expired, so that every zone has its full weight.
    pub plan_lease_expired: bool,
    /// The zones of the plan.
    pub zones: Vec<ZonePlanState>,
}

/// Another manager as this one sees it.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The member number.
    pub number: u16,
    /// The `health` value of the YANG module.
    pub health: &'static str,
    /// The `reach` value of the YANG module.
    pub reachability: &'static str,
}

/// What the failover plan sets for one zone.
#[derive(Clone, Debug)]
pub struct ZonePlanState {
    pub name: String,
    /// The ratio of their weight that the workers of the zone keep.
    pub weight_ratio: f64,
    /// The `why` value of the YANG module.
    pub reason: &'static str,
}

/// The state of one schedule.
#[derive(Clone, Debug, Default)]
pub struct ScheduleState {
    pub name: String,
    /// The Unix time in milliseconds up to which every due occurrence has been decided.
    pub decided_through_ms: i64,
    /// The number of occurrences that have not finished.
    pub open_count: usize,
    /// The number of occurrences that finished.
    pub finished_count: u64,
    /// The number of occurrences that were skipped.
    pub skipped_count: u64,
    pub last_finished: Option<FinishedOccurrence>,
}

/// A finished occurrence of a schedule.
#[derive(Clone, Debug)]
pub struct FinishedOccurrence {
    /// The due time in Unix milliseconds.
    pub due_ms: i64,
    /// The `last-end` value of the YANG module.
    pub outcome: &'static str,
    /// The member number of the manager that owned it.
    pub owner: u16,
}

/// A retained version of running, which can be restored.
#[derive(Clone, Debug)]
pub struct VersionState {
    pub number: u64,
    pub author: String,
    pub age: Ms,
}

/// The versions of running, and the pending confirmed commit.
#[derive(Clone, Debug, Default)]
pub struct VersionsState {
    /// The time left to confirm the pending commit; `None` if none is pending.
    pub unconfirmed_for: Option<Ms>,
    /// Why the last attempt to roll back the pending commit was refused.
    pub rollback_failure: Option<String>,
    pub versions: Vec<VersionState>,
}

/// Writes the child nodes of one node of the data tree, by name.
struct Writer<'a> {
    schema: &'a Schema,
    node: NodeId,
    data: &'a mut Data,
}

impl Writer<'_> {
    fn id(&self, name: &str) -> NodeId {
        let id = self.schema.child(Some(self.node), name, None);
        // Panics only if a name is not in the YANG module, which a test that writes every name would detect.
        id.unwrap_or_else(|| panic!("no node {name} in the module"))
    }

    fn set(&mut self, name: &str, value: Value) -> &mut Self {
        let id = self.id(name);
        self.data.set(id, Content::Leaf(value));
        self
    }

    fn text(&mut self, name: &str, text: &str) -> &mut Self {
        self.set(name, Value::text(text))
    }

    fn integer(&mut self, name: &str, number: impl TryInto<i128>) -> &mut Self {
        let number = number.try_into().unwrap_or(0);
        self.set(name, Value::Integer(number))
    }

    /// Writes a decimal; omits the leaf if the number has no decimal form.
    fn decimal(&mut self, name: &str, number: f64, digits: u8) -> &mut Self {
        match Value::decimal(number, digits) {
            Some(value) => self.set(name, value),
            None => self,
        }
    }

    /// Writes the container with the name.
    fn container<R>(&mut self, name: &str, write: impl FnOnce(&mut Writer<'_>) -> R) -> R {
        let node = self.id(name);
        write(&mut Writer { schema: self.schema, node, data: self.data.container(node) })
    }

    /// Writes the entry with the keys in the list with the name.
    fn entry<R>(&mut self, name: &str, keys: &[Value], write: impl FnOnce(&mut Writer<'_>) -> R) -> R {
        let node = self.id(name);
        write(&mut Writer { schema: self.schema, node, data: self.data.list_entry(self.schema, node, keys) })
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}

fn retry_name(retry: Retry) -> &'static str {
    match retry {
        Retry::Never => "never",
        Retry::IfNotExecuted => "if-unrun",
        Retry::OnceOnFailure => "once-on-failure",
        Retry::TwiceOnFailure => "twice-on-failure",
    }
}

/// The longest duration that is written: one hour, the limit of the YANG type.
const MAX_DURATION: Ms = 3_600_000.0;

impl OperationalState {
    /// The state as data of the module `juniperrail-state`.
    pub fn data(&self, schema: &Schema, versions: &VersionsState) -> Data {
        let mut data = Data::default();
        let node = schema.find(&["state"]).expect("the module has a state container");
        let mut top = Writer { schema, node, data: data.container(node) };
        top.text("manager", &self.manager).integer("list-version", self.list_version);
        top.container("workers", |workers| self.workers.iter().for_each(|worker| worker.write(workers)));
        top.container("tables", |tables| self.tables.iter().for_each(|table| table.write(tables)));
        top.container("proxies", |proxies| self.proxies.iter().for_each(|proxy| proxy.write(proxies)));
        top.container("channel", |channel| {
            channel.decimal("lines-waiting", self.pending_lines, 3);
            channel.decimal("lines-waiting-most", self.max_pending_lines, 3);
        });
        top.container("versions", |parent| versions.write(parent));
        top.container("changes", |changes| self.changes.iter().for_each(|change| change.write(changes)));
        if let Some(fleet) = &self.fleet {
            top.container("fleet", |parent| fleet.write(parent));
        }
        data.prune_empty(schema);
        data
    }
}

impl WorkerState {
    fn write(&self, parent: &mut Writer<'_>) {
        let ComposedWorker { entry, phase_origin, weight_origin, placement_origin, discovery_phase, .. } =
            &self.composed;
        parent.entry("worker", &[Value::text(&*self.name)], |worker| {
            worker.text("phase", phase_name(entry.phase)).text("phase-from", phase_origin.name());
            if let Some(origin) = weight_origin {
                worker.decimal("weight", entry.weight, 4).text("weight-from", origin.name());
            }
            worker.text("zone", &self.zone).text("machine", &self.machine);
            worker.text("place-from", Origin::name(*placement_origin)).set("warm", Value::Boolean(self.warm));
            if let Some(reported) = discovery_phase {
                worker.text("discovery-phase", phase_name(*reported));
            }
            if self.composed.is_unlisted() {
                worker.text("kept-back", "unlisted");
            }
        });
    }
}

impl TableState {
    fn write(&self, parent: &mut Writer<'_>) {
        parent.entry("table", &[Value::Integer(self.number.into())], |table| {
            for (worker, weight) in &self.lines {
                table.entry("line", &[Value::text(&**worker)], |line| _ = line.decimal("weight", *weight, 6));
            }
        });
    }
}

impl ProxyState {
    fn write(&self, parent: &mut Writer<'_>) {
        parent.entry("proxy", &[Value::Integer(self.number.into())], |proxy| {
            proxy.text("zone", &self.zone).integer("answers-owed", self.unacknowledged_marks as u64);
            proxy.integer("messages-lately", self.recent_messages as u64);
            if let Some(mark) = self.mark_sent {
                proxy.integer("mark-sent", mark);
            }
            if let Some(mark) = self.mark_acknowledged {
                proxy.integer("mark-answered", mark);
            }
            if let Some(age) = self.oldest_unacknowledged_age {
                proxy.decimal("owed-since", age.clamp(0.0, MAX_DURATION), 3);
            }
            let shut_out = proxy.id("shut-out");
            for worker in &self.excluded_workers {
                proxy.data.leaf_list(shut_out).insert(Value::text(&**worker));
            }
            for state in &self.operations {
                proxy.entry("operation", &[Value::text(&*state.name)], |operation| {
                    if let Some(table) = state.table {
                        operation.integer("table", table);
                    }
                    if let Some((level, retry)) = state.level {
                        operation.decimal("level", level, 6).text("retry", retry_name(retry));
                    }
                });
            }
        });
    }
}

impl FleetState {
    fn write(&self, parent: &mut Writer<'_>) {
        parent.integer("member", self.member).text("role", self.role).integer("term", self.term);
        self.leader.iter().for_each(|leader| _ = parent.integer("leader", *leader));
        parent.text("standing", self.recovery_state).integer("committed", self.commit_index);
        parent
            .set("store-failing", Value::Boolean(self.store_failing))
            .integer("store-size", self.store_bytes);
        parent.integer("messages-lost", self.messages_lost).integer("own-health", self.local_health);
        for state in &self.members {
            parent.entry("member-of", &[Value::Integer(state.number.into())], |member| {
                member.text("health", state.health).text("reach", state.reachability);
            });
        }
        parent.integer("plan", self.plan_version).set("plan-lapsed", Value::Boolean(self.plan_lease_expired));
        for state in &self.zones {
            parent.entry("zone", &[Value::text(&*state.name)], |zone| {
                zone.decimal("part", state.weight_ratio, 4).text("why", state.reason);
            });
        }
        for state in &self.schedules {
            parent.entry("schedule", &[Value::text(&*state.name)], |schedule| {
                schedule
                    .integer("through", state.decided_through_ms)
                    .integer("open", state.open_count as u64);
                schedule.integer("ended", state.finished_count).integer("passed", state.skipped_count);
                if let Some(finished) = &state.last_finished {
                    schedule
                        .integer("last-due", finished.due_ms)
                        .text("last-end", finished.outcome)
                        .integer("last-owner", finished.owner);
                }
            });
        }
    }
}

impl VersionsState {
    fn write(&self, parent: &mut Writer<'_>) {
        self.unconfirmed_for
            .iter()
            .for_each(|time_left| _ = parent.decimal("unconfirmed-for", *time_left, 3));
        self.rollback_failure.iter().for_each(|reason| _ = parent.text("overdue", reason));
        for version in &self.versions {
            parent.entry("version", &[Value::Integer(version.number.into())], |entry| {
                entry.text("by", &version.author).decimal("age", version.age, 3);
            });
        }
    }
}

impl ChangeState {
    fn write(&self, parent: &mut Writer<'_>) {
        parent.entry("change", &[Value::Integer(self.number.into())], |change| {
            change.text("by", &self.author).decimal("age", self.age, 3);
            change
                .integer("held-by", self.applied_proxies as u64)
                .integer("joined", self.joined_proxies as u64);
            match self.stage {
                Stage::Distributing => change.text("progress", "going-out"),
                Stage::Superseded => change.text("progress", "superseded"),
                Stage::Applied { after } => change.text("progress", "held").decimal("held-after", after, 3),
            };
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_interface::{CellId, MachineId, WorkerEntry, WorkerId, ZoneId};
    use juniperrail_model::{json, NodeKind};

    /// Asserts that each leaf has a valid value of its type in the YANG module.
    fn check_types(schema: &Schema, data: &Data) {
        for (id, content) in data.iter() {
            let check_value = |value: &Value| match &schema.node(id).kind {
                NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => {
                    let parsed = ty.parse(&value.to_string());
                    assert_eq!(parsed.as_ref(), Ok(value), "{}", schema.node(id).name);
                }
                _ => panic!("{} is not a leaf", schema.node(id).name),
            };
            match content {
                Content::Leaf(value) => check_value(value),
                Content::LeafList(values) => values.iter().for_each(check_value),
                Content::Container(data) => check_types(schema, data),
                Content::List(entries) => entries.values().for_each(|entry| check_types(schema, entry)),
            }
        }
    }

    #[test]
    fn every_leaf_of_the_state_has_a_valid_value() {
        let (zone, machine, cell) = (ZoneId(0), MachineId(0), CellId(0));
        let entry = WorkerEntry {
            worker: WorkerId(0),
            phase: Phase::Draining,
            started_at: None,
            zone,
            machine,
            cell,
            weight: 0.123456,
        };
        let composed = ComposedWorker {
            entry,
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
            author: "ann".into(),
            age: 1e9,
            stage,
            applied_proxies: 1,
            joined_proxies: 2,
        };
        let state = OperationalState {
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
                unacknowledged_marks: 2,
                oldest_unacknowledged_age: Some(1e12),
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
                recovery_state: "doubtful",
                members: vec![MemberState { number: 1, health: "suspect", reachability: "by-others" }],
                zones: vec![ZonePlanState { name: "b".into(), weight_ratio: 0.3, reason: "cut-off" }],
                schedules: vec![ScheduleState {
                    name: "warm".into(),
                    decided_through_ms: -1,
                    last_finished: Some(FinishedOccurrence {
                        due_ms: i64::MAX,
                        outcome: "given-up",
                        owner: 3,
                    }),
                    ..ScheduleState::default()
                }],
                ..FleetState::default()
            }),
        };
        let schema = juniperrail_model::schema();
        let versions = VersionsState {
            unconfirmed_for: Some(-1.5),
            rollback_failure: Some("why".into()),
            versions: vec![VersionState { number: 2, author: "ann".into(), age: 3.0 }],
        };
        let data = state.data(&schema, &versions);
        check_types(&schema, &data);
        let json = json::write(&schema, &data);
        let state = &json["juniperrail-state:state"];
        assert_eq!(state["list-version"], u64::MAX.to_string());
        assert_eq!(state["tables"]["table"][0]["line"][0]["weight"], "0.333333");
        assert_eq!(state["workers"]["worker"][0]["phase-from"], "operator");
        assert_eq!(state["changes"]["change"][2]["held-after"], "12.5");
        assert_eq!(state["fleet"]["schedule"][0]["last-end"], "given-up");
        assert!(
            state["channel"].get("lines-waiting").is_none(),
            "a number without a decimal form is omitted"
        );
    }
}
