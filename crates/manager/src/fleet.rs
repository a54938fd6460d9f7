//! What the operator's file says of deciding in common, as the runtime in `crates/fleet` takes it, and what people read of
//! it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperrail_consensus::{Health, MemberId, RaftConfig, Reach, RecoveryState, SwimConfig};
use juniperrail_failover::{Evidence, EvidenceAccumulator, Zone};
use juniperrail_fleet::{FleetConfig, FleetHandle};
use juniperrail_interface::{Ms, Phase, Settings, WorkerEntry};
use juniperrail_model::{Data, Schema, View};
use juniperrail_northbound::{FleetState, OperatorFile, ScheduleState};
use juniperrail_schedule::{
    Action, CatchUp, FoldPolicy, GapPolicy, OccurrenceOutcome, OverlapPolicy, QuietPolicy, Schedule, Timing,
};
use juniperrail_store::Limits;

/// Entries in one message, and those that may wait to be agreed.
const BATCH: usize = 64;
const WAITING: usize = 4096;
/// Words of a sight in one message.
const WORDS: usize = 16;
/// Managers asked to probe in another's place, as in SWIM's evaluation.
const BY_OTHERS: usize = 3;

/// What the file says; `None` where it says nothing of it. The error names the path and the rule.
pub fn setting(
    file: &OperatorFile,
    schema: &Schema,
    data: &Data,
    seed: u64,
    start: &Settings,
) -> Result<Option<FleetConfig>, String> {
    let data = data.with_defaults(schema);
    let fleet = View::new(schema, &data).inner("fleet");
    if !fleet.is_there() {
        return Ok(None);
    }
    let at = |path: &str, why: &str| format!("/jrm:fleet{path}: {why}");
    let figure = |name: &str| fleet.figure(name).unwrap_or_default();
    let number =
        |view: &View<'_>, name: &str| view.leaf(name).and_then(|leaf| leaf.as_u64()).unwrap_or_default();
    let member = |view: &View<'_>| {
        (MemberId(number(view, "number") as u16), view.text("address").unwrap_or_default().to_string())
    };
    let members: BTreeMap<MemberId, String> = fleet.entries("member-of").iter().map(member).collect();
    let me = MemberId(number(&fleet, "member") as u16);
    if !members.contains_key(&me) {
        return Err(at("/member", &format!("{} is not among the managers listed as member-of", me.0)));
    }
    for (id, address) in &members {
        if address.parse::<SocketAddr>().is_err() {
            return Err(at(
                &format!("/member-of[number='{}']/address", id.0),
                &format!("{address:?} is no address"),
            ));
        }
    }
    let (heartbeat, election) = (figure("heartbeat"), figure("election"));
    if election < 4.0 * heartbeat {
        return Err(at(
            "/election",
            &format!("{election} ms are fewer than four heartbeats of {heartbeat} ms"),
        ));
    }
    let (period, answer) = (figure("probe-period"), figure("probe-answer"));
    if answer > period / 2.0 {
        return Err(at(
            "/probe-answer",
            &format!("{answer} ms are over half of the probe-period of {period} ms"),
        ));
    }
    let listen = fleet.text("listen").unwrap_or_default();
    let listen = listen.parse().map_err(|_| at("/listen", &format!("{listen:?} is no address")))?;
    let mut schedules = BTreeMap::new();
    for view in fleet.entries("schedule") {
        let name = view.text("name").unwrap_or_default().to_string();
        let read = schedule(&name, &view, election);
        let read = read.map_err(|why| at(&format!("/schedule[name='{name}']"), &why))?;
        schedules.insert(name, read);
    }
    let failover = fleet.inner("failover");
    let lease = failover.figure("plan-lease").unwrap_or_default();
    let (period, transit) = (start.report_period, start.max_transit);
    // A plan whose lease is shorter than what it goes by is old would come and go.
    if failover.is_there() && lease < 3.0 * (period + transit) {
        let why = format!("{lease} ms are shorter than thrice what sums are late, {} ms", period + transit);
        return Err(at("/failover/plan-lease", &why));
    }
    Ok(Some(FleetConfig {
        failover: failover.is_there().then_some(juniperrail_failover::FailoverConfig {
            report_period: period,
            max_transit: transit,
            plan_lease: lease,
        }),
        member_id: me,
        fleet_name: fleet.text("name").unwrap_or_default().to_string(),
        listen,
        store_path: file.resolve(fleet.text("store").unwrap_or_default()),
        store_limits: Limits::default(),
        members,
        generation: number(&fleet, "generation"),
        raft: RaftConfig {
            heartbeat_interval_ms: heartbeat,
            election_timeout_ms: election,
            max_clock_drift_ratio: figure("drift"),
            max_entries_per_message: BATCH,
            max_uncommitted_entries: WAITING,
        },
        swim: SwimConfig {
            probe_period_ms: period,
            probe_timeout_ms: answer,
            indirect_probe_count: BY_OTHERS,
            max_updates_per_message: WORDS,
        },
        schedules,
        seed,
        max_log_entries: number(&fleet, "entries") as usize,
    }))
}

fn schedule(name: &str, view: &View<'_>, election: f64) -> Result<Schedule, String> {
    let text = |name: &str| view.text(name).unwrap_or_default();
    let figure = |name: &str| view.figure(name).unwrap_or_default();
    let count = |name: &str| view.leaf(name).and_then(|leaf| leaf.as_u64()).unwrap_or_default() as u32;
    let gap = if text("left-out") == "skip" { GapPolicy::Skip } else { GapPolicy::AtGapEnd };
    let fold = match text("repeated") {
        "second" => FoldPolicy::Second,
        "both" => FoldPolicy::Both,
        _ => FoldPolicy::First,
    };
    let in_quiet = if text("in-quiet") == "defer" { QuietPolicy::Defer } else { QuietPolicy::Skip };
    let quiets = view.entries("quiet");
    let quiets = quiets
        .iter()
        .map(|quiet| (quiet.text("from").unwrap_or_default(), quiet.text("until").unwrap_or_default()));
    let timing = Timing::parse(name, text("cron"), text("time-zone"))
        .and_then(|timing| timing.with_window(view.text("from"), view.text("until")))
        .and_then(|timing| timing.with_quiet_times(quiets, in_quiet))
        .map_err(|fault| fault.to_string())?;
    if text("worker").parse::<SocketAddr>().is_err() {
        return Err(format!("worker: {:?} is no address", text("worker")));
    }
    let lease = figure("lease");
    if lease < 2.0 * election {
        return Err(format!("lease: {lease} ms are shorter than two elections of {election} ms"));
    }
    Ok(Schedule {
        timing: timing.with_clock_changes(gap, fold).with_jitter(figure("jitter")),
        action: Action {
            address: text("worker").into(),
            path: text("path").into(),
            idempotent: text("effect") == "idempotent",
            max_tries: count("tries"),
            backoff: figure("backoff"),
            claim_lease: lease,
        },
        deadline: figure("deadline"),
        catch_up: match count("catch-up") {
            0 => CatchUp::None,
            1 => CatchUp::Last,
            most => CatchUp::LastCount(most),
        },
        overlap: match text("overlap") {
            "queue" => OverlapPolicy::Queue,
            "replace" => OverlapPolicy::Replace,
            _ => OverlapPolicy::Skip,
        },
    })
}

/// As the model words it.
pub fn state(common: &FleetHandle) -> FleetState {
    let seen = common.status();
    let end = |end: OccurrenceOutcome| match end {
        OccurrenceOutcome::Succeeded => "succeeded",
        OccurrenceOutcome::Failed => "failed",
        OccurrenceOutcome::GivenUp => "given-up",
        OccurrenceOutcome::Unknown => "unknown",
        OccurrenceOutcome::Replaced => "replaced",
    };
    let health = |health: Health| match health {
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
        Health::Left => "left",
    };
    let reach = |reach: Reach| match reach {
        Reach::Unknown => "unknown",
        Reach::Direct => "direct",
        Reach::Indirect => "by-others",
        Reach::Unreachable => "nobody",
    };
    let why = |health: juniperrail_failover::ZoneHealth| match health {
        juniperrail_failover::ZoneHealth::Unknown => "unknown",
        juniperrail_failover::ZoneHealth::Well => "well",
        juniperrail_failover::ZoneHealth::Silent => "silent",
        juniperrail_failover::ZoneHealth::Slow => "slow",
        juniperrail_failover::ZoneHealth::Overloaded => "overloaded",
        juniperrail_failover::ZoneHealth::CutOff => "cut-off",
        juniperrail_failover::ZoneHealth::Lost => "lost",
    };
    FleetState {
        member: seen.member_id.0,
        role: if seen.role.is_empty() { "follower" } else { seen.role },
        leader: seen.leader.map(|leader| leader.0),
        term: seen.term.0,
        recovery_state: match seen.recovery_state {
            None | Some(RecoveryState::Empty) => "fresh",
            Some(RecoveryState::Verifying { .. }) => "settling",
            Some(RecoveryState::Recovering { .. }) => "doubtful",
            Some(RecoveryState::Ready) => "whole",
        },
        committed: seen.commit_index.0,
        store_failing: seen.store_failing,
        store_size: seen.store_bytes,
        plan: seen.plan.version,
        plan_lease_expired: seen.plan_lease_expired,
        zones: seen
            .plan
            .shares
            .iter()
            .map(|(zone, share)| (zone.0.clone(), share.weight_ratio, why(share.reason)))
            .collect(),
        messages_lost: seen.messages_lost,
        own_health: seen.local_health,
        members: seen.members.iter().map(|(id, of, by)| (id.0, health(*of), reach(*by))).collect(),
        schedules: seen
            .schedules
            .iter()
            .map(|told| ScheduleState {
                name: told.name.clone(),
                through: told.decided_through,
                open: told.open_count,
                finished: told.ended_count,
                skipped: told.skipped_count,
                last: told.last_ended.as_ref().map(|ended| (ended.due_ms, end(ended.outcome), ended.owner.0)),
            })
            .collect(),
    }
}

/// What the proxies of this manager have met since it last reported, and when that was.
#[derive(Default)]
pub struct EvidenceCollector {
    gather: EvidenceAccumulator,
    told: Ms,
}

impl EvidenceCollector {
    /// What proxies of one zone met at a worker of another, or of their own.
    pub fn record(&mut self, from: &str, to: &str, tries: f64, bad: f64, mean: Ms, busy: Option<f64>) {
        self.gather.record(&Zone(from.into()), &Zone(to.into()), tries, bad, mean, busy);
    }

    /// One report a period: `warmth` tells what part of its weight a worker has by now, `proxies` the zone of each that is
    /// joined and whether it is silent.
    pub fn report<'a>(
        &mut self,
        now: Ms,
        period: Ms,
        listed: impl Iterator<Item = (&'a WorkerEntry, &'a str, f64)>,
        proxies: impl Iterator<Item = (&'a str, bool)>,
    ) -> Option<Evidence> {
        if now < self.told + period {
            return None;
        }
        self.told = now;
        let mut weight: BTreeMap<Zone, f64> = BTreeMap::new();
        for (listed, zone, warmth) in listed {
            let ready = if listed.phase == Phase::Gone { 0.0 } else { warmth };
            *weight.entry(Zone(zone.into())).or_default() += ready * listed.weight.max(1e-3);
        }
        let mut all: BTreeMap<Zone, (u32, u32)> = BTreeMap::new();
        for (zone, silent) in proxies {
            let count = all.entry(Zone(zone.into())).or_default();
            (count.0, count.1) = (count.0 + 1, count.1 + u32::from(silent));
        }
        Some(self.gather.take_evidence(now, weight, all))
    }
}
