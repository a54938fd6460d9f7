//! The fleet, the managers that decide together by consensus: reads its configuration from the operator's file for the
//! runtime in `crates/fleet`, reports its state, and collects evidence on the health of zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperrail_consensus::{Health, MemberId, RaftConfig, Reach, RecoveryState, SwimConfig};
use juniperrail_failover::{Evidence, EvidenceAccumulator, Zone};
use juniperrail_fleet::{FleetConfig, FleetHandle};
use juniperrail_interface::{Ms, Phase, Settings, WorkerEntry};
use juniperrail_model::{Data, Schema, View};
use juniperrail_northbound::{
    FinishedOccurrence, FleetState, MemberState, OperatorFile, ScheduleState, ZonePlanState,
};
use juniperrail_schedule::{
    Action, CatchUp, FoldPolicy, GapPolicy, OccurrenceOutcome, OverlapPolicy, QuietPolicy, Schedule, Timing,
};
use juniperrail_store::Limits;

/// Limit on the log entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;

/// Limit on the log entries that are proposed and not yet committed.
const MAX_UNCOMMITTED_ENTRIES: usize = 4096;

/// Limit on the gossip updates (SWIM) in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// Number of managers that are asked for an indirect probe, as in the evaluation of the SWIM paper.
const INDIRECT_PROBE_COUNT: usize = 3;

/// Lower limit on the weight with which a worker counts in a report.
const MIN_WORKER_WEIGHT: f64 = 1e-3;

/// Reads the fleet's configuration; `None` where the file has none. An error names the path and the violated rule.
pub fn read_config(
    file: &OperatorFile,
    schema: &Schema,
    data: &Data,
    seed: u64,
    settings: &Settings,
) -> Result<Option<FleetConfig>, String> {
    let data = data.with_defaults(schema);
    let fleet = View::new(schema, &data).container("fleet");
    if !fleet.exists() {
        return Ok(None);
    }
    let error_at = |path: &str, reason: &str| format!("/jrm:fleet{path}: {reason}");
    let decimal = |name: &str| fleet.number(name).unwrap_or_default();
    let integer =
        |view: &View<'_>, name: &str| view.leaf(name).and_then(|leaf| leaf.as_u64()).unwrap_or_default();
    let member = |view: &View<'_>| {
        (MemberId(integer(view, "number") as u16), view.text("address").unwrap_or_default().to_string())
    };
    let members: BTreeMap<MemberId, String> = fleet.entries("member-of").iter().map(member).collect();
    let member_id = MemberId(integer(&fleet, "member") as u16);
    if !members.contains_key(&member_id) {
        return Err(error_at(
            "/member",
            &format!("{} is not among the managers listed as member-of", member_id.0),
        ));
    }
    for (id, address) in &members {
        if address.parse::<SocketAddr>().is_err() {
            return Err(error_at(
                &format!("/member-of[number='{}']/address", id.0),
                &format!("{address:?} is not an address with a port"),
            ));
        }
    }
    let heartbeat_ms = decimal("heartbeat");
    let election_ms = decimal("election");
    if election_ms < 4.0 * heartbeat_ms {
        return Err(error_at(
            "/election",
            &format!("{election_ms} ms is less than four heartbeats of {heartbeat_ms} ms"),
        ));
    }
    let probe_period_ms = decimal("probe-period");
    let probe_timeout_ms = decimal("probe-answer");
    if probe_timeout_ms > probe_period_ms / 2.0 {
        return Err(error_at(
            "/probe-answer",
            &format!("{probe_timeout_ms} ms is more than half of the probe-period of {probe_period_ms} ms"),
        ));
    }
    let listen = fleet.text("listen").unwrap_or_default();
    let listen = listen
        .parse()
        .map_err(|_| error_at("/listen", &format!("{listen:?} is not an address with a port")))?;
    let mut schedules = BTreeMap::new();
    for view in fleet.entries("schedule") {
        let name = view.text("name").unwrap_or_default().to_string();
        let schedule = read_schedule(&name, &view, election_ms);
        let schedule = schedule.map_err(|reason| error_at(&format!("/schedule[name='{name}']"), &reason))?;
        schedules.insert(name, schedule);
    }
    let failover = fleet.container("failover");
    let plan_lease_ms = failover.number("plan-lease").unwrap_or_default();
    let report_period_ms = settings.report_period;
    let max_transit_ms = settings.max_transit;
    // The lease must outlast the age of the sums that a plan is based on; otherwise a plan would repeatedly expire and
    // come back.
    if failover.exists() && plan_lease_ms < 3.0 * (report_period_ms + max_transit_ms) {
        let reason = format!(
            "{plan_lease_ms} ms is less than three times the maximum age of sums, {} ms",
            report_period_ms + max_transit_ms
        );
        return Err(error_at("/failover/plan-lease", &reason));
    }
    Ok(Some(FleetConfig {
        failover: failover.exists().then_some(juniperrail_failover::FailoverConfig {
            report_period: report_period_ms,
            max_transit: max_transit_ms,
            plan_lease: plan_lease_ms,
        }),
        member_id,
        fleet_name: fleet.text("name").unwrap_or_default().to_string(),
        listen,
        store_path: file.resolve(fleet.text("store").unwrap_or_default()),
        store_limits: Limits::default(),
        members,
        generation: integer(&fleet, "generation"),
        raft: RaftConfig {
            heartbeat_interval_ms: heartbeat_ms,
            election_timeout_ms: election_ms,
            max_clock_drift_ratio: decimal("drift"),
            max_entries_per_message: MAX_ENTRIES_PER_MESSAGE,
            max_uncommitted_entries: MAX_UNCOMMITTED_ENTRIES,
        },
        swim: SwimConfig {
            // This is the report period: the file's probe-period is only checked against the probe timeout above.
            probe_period_ms: report_period_ms,
            probe_timeout_ms,
            indirect_probe_count: INDIRECT_PROBE_COUNT,
            max_updates_per_message: MAX_UPDATES_PER_MESSAGE,
        },
        schedules,
        seed,
        max_log_entries: integer(&fleet, "entries") as usize,
    }))
}

fn read_schedule(name: &str, view: &View<'_>, election_ms: f64) -> Result<Schedule, String> {
    let text = |name: &str| view.text(name).unwrap_or_default();
    let decimal = |name: &str| view.number(name).unwrap_or_default();
    let integer = |name: &str| view.leaf(name).and_then(|leaf| leaf.as_u64()).unwrap_or_default() as u32;
    let gap_policy = if text("left-out") == "skip" { GapPolicy::Skip } else { GapPolicy::AtGapEnd };
    let fold_policy = match text("repeated") {
        "second" => FoldPolicy::Second,
        "both" => FoldPolicy::Both,
        _ => FoldPolicy::First,
    };
    let quiet_policy = if text("in-quiet") == "defer" { QuietPolicy::Defer } else { QuietPolicy::Skip };
    let quiet_entries = view.entries("quiet");
    let quiet_times = quiet_entries
        .iter()
        .map(|quiet| (quiet.text("from").unwrap_or_default(), quiet.text("until").unwrap_or_default()));
    let timing = Timing::parse(name, text("cron"), text("time-zone"))
        .and_then(|timing| timing.with_window(view.text("from"), view.text("until")))
        .and_then(|timing| timing.with_quiet_times(quiet_times, quiet_policy))
        .map_err(|error| error.to_string())?;
    if text("worker").parse::<SocketAddr>().is_err() {
        return Err(format!("worker: {:?} is not an address with a port", text("worker")));
    }
    let claim_lease_ms = decimal("lease");
    if claim_lease_ms < 2.0 * election_ms {
        return Err(format!("lease: {claim_lease_ms} ms is less than two elections of {election_ms} ms"));
    }
    Ok(Schedule {
        timing: timing.with_clock_changes(gap_policy, fold_policy).with_jitter(decimal("jitter")),
        action: Action {
            address: text("worker").into(),
            path: text("path").into(),
            idempotent: text("effect") == "idempotent",
            max_tries: integer("tries"),
            backoff: decimal("backoff"),
            claim_lease: claim_lease_ms,
        },
        deadline: decimal("deadline"),
        catch_up: match integer("catch-up") {
            0 => CatchUp::None,
            1 => CatchUp::Last,
            count => CatchUp::LastCount(count),
        },
        overlap: match text("overlap") {
            "queue" => OverlapPolicy::Queue,
            "replace" => OverlapPolicy::Replace,
            _ => OverlapPolicy::Skip,
        },
    })
}

/// The fleet's state, with the enum names of the YANG model.
pub fn state(handle: &FleetHandle) -> FleetState {
    let status = handle.status();
    let outcome_name = |outcome: OccurrenceOutcome| match outcome {
        OccurrenceOutcome::Succeeded => "succeeded",
        OccurrenceOutcome::Failed => "failed",
        OccurrenceOutcome::GivenUp => "given-up",
        OccurrenceOutcome::Unknown => "unknown",
        OccurrenceOutcome::Replaced => "replaced",
    };
    let health_name = |health: Health| match health {
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
        Health::Left => "left",
    };
    let reach_name = |reach: Reach| match reach {
        Reach::Unknown => "unknown",
        Reach::Direct => "direct",
        Reach::Indirect => "by-others",
        Reach::Unreachable => "nobody",
    };
    let reason_name = |reason: juniperrail_failover::ZoneHealth| match reason {
        juniperrail_failover::ZoneHealth::Unknown => "unknown",
        juniperrail_failover::ZoneHealth::Well => "well",
        juniperrail_failover::ZoneHealth::Silent => "silent",
        juniperrail_failover::ZoneHealth::Slow => "slow",
        juniperrail_failover::ZoneHealth::Overloaded => "overloaded",
        juniperrail_failover::ZoneHealth::CutOff => "cut-off",
        juniperrail_failover::ZoneHealth::Lost => "lost",
    };
    FleetState {
        member: status.member_id.0,
        role: if status.role.is_empty() { "follower" } else { status.role },
        leader: status.leader.map(|leader| leader.0),
        term: status.term.0,
        recovery_state: match status.recovery_state {
            None | Some(RecoveryState::Empty) => "fresh",
            Some(RecoveryState::Verifying { .. }) => "settling",
            Some(RecoveryState::Recovering { .. }) => "doubtful",
            Some(RecoveryState::Ready) => "whole",
        },
        commit_index: status.commit_index.0,
        store_failing: status.store_failing,
        store_bytes: status.store_bytes,
        plan_version: status.plan.version,
        plan_lease_expired: status.plan_lease_expired,
        zones: status
            .plan
            .shares
            .iter()
            .map(|(zone, share)| ZonePlanState {
                name: zone.0.clone(),
                weight_ratio: share.weight_ratio,
                reason: reason_name(share.reason),
            })
            .collect(),
        messages_lost: status.messages_lost,
        local_health: status.local_health,
        members: status
            .members
            .iter()
            .map(|(id, health, reach)| MemberState {
                number: id.0,
                health: health_name(*health),
                reachability: reach_name(*reach),
            })
            .collect(),
        schedules: status
            .schedules
            .iter()
            .map(|schedule| ScheduleState {
                name: schedule.name.clone(),
                decided_through_ms: schedule.decided_through,
                open_count: schedule.open_count,
                finished_count: schedule.ended_count,
                skipped_count: schedule.skipped_count,
                last_finished: schedule.last_ended.as_ref().map(|ended| FinishedOccurrence {
                    due_ms: ended.due_ms,
                    outcome: outcome_name(ended.outcome),
                    owner: ended.owner.0,
                }),
            })
            .collect(),
    }
}

/// Collects what the proxies of this manager observed at workers, for periodic reports to the fleet.
#[derive(Default)]
pub struct EvidenceCollector {
    accumulator: EvidenceAccumulator,
    last_report_at: Ms,
}

impl EvidenceCollector {
    /// Records the tries of proxies in `proxy_zone` at a worker in `worker_zone`.
    pub fn record(
        &mut self,
        proxy_zone: &str,
        worker_zone: &str,
        tries: f64,
        failed_tries: f64,
        mean_latency: Ms,
        utilization: Option<f64>,
    ) {
        self.accumulator.record(
            &Zone(proxy_zone.into()),
            &Zone(worker_zone.into()),
            tries,
            failed_tries,
            mean_latency,
            utilization,
        );
    }

    /// Returns a report once per period, else `None`. `workers` has each worker's entry, its zone, and the share of its
    /// weight that counts, which is lower while it warms up; `proxies` has the zone of each connected proxy and whether
    /// the proxy is silent.
    pub fn report<'a>(
        &mut self,
        now: Ms,
        period: Ms,
        workers: impl Iterator<Item = (&'a WorkerEntry, &'a str, f64)>,
        proxies: impl Iterator<Item = (&'a str, bool)>,
    ) -> Option<Evidence> {
        if now < self.last_report_at + period {
            return None;
        }
        self.last_report_at = now;
        let mut weight_by_zone: BTreeMap<Zone, f64> = BTreeMap::new();
        for (entry, zone, warm_ratio) in workers {
            let counted_ratio = if entry.phase == Phase::Gone { 0.0 } else { warm_ratio };
            *weight_by_zone.entry(Zone(zone.into())).or_default() +=
                counted_ratio * entry.weight.max(MIN_WORKER_WEIGHT);
        }
        // By zone: all connected proxies, and the silent ones among them.
        let mut proxy_counts: BTreeMap<Zone, (u32, u32)> = BTreeMap::new();
        for (zone, silent) in proxies {
            let (connected_count, silent_count) = proxy_counts.entry(Zone(zone.into())).or_default();
            (*connected_count, *silent_count) = (*connected_count + 1, *silent_count + u32::from(silent));
        }
        Some(self.accumulator.take_evidence(now, weight_by_zone, proxy_counts))
    }
}
