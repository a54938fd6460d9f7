//! The admission checks of a commit. A change is checked against the state of the manager at the time of the commit
//! and refused if it could not be fulfilled in that state. Later events are left to the planner.

use std::collections::BTreeMap;
use std::fmt;

use juniperrail_interface::{Ms, Operation, Phase, Settings, WorkerId, ZoneId};

use crate::compose::ComposedWorker;
use crate::intent::Intent;

/// The share of the drain grace that may be spent on notifying the proxies. The planner may use the rest to wait for
/// acknowledgements of the replacement workers.
const NOTIFY_SHARE: f64 = 0.5;
/// The number of times that the channel must be able to carry a change in time, as a change is sent again if an
/// acknowledgement is lost or a stream breaks.
const SENDS_PER_CHANGE: f64 = 2.0;
/// A configuration with more workers is taken for a mistake, as each worker adds a line to every table.
const MAX_WORKERS: usize = 4096;

/// The state of the manager that a change is checked against.
pub struct AdmissionContext<'a> {
    pub now: Ms,
    /// The settings, whose figures bound what an operator may configure.
    pub settings: &'a Settings,
    /// The names of the operations, in the order of the settings.
    pub operation_names: &'a [String],
    pub zone_name: &'a dyn Fn(ZoneId) -> String,
    pub is_known_zone: &'a dyn Fn(&str) -> bool,
    pub joined_proxies: usize,
    /// The number of joined proxies whose tables have a line of the worker.
    pub proxies_with_line: &'a dyn Fn(WorkerId) -> usize,
}

/// A reason to refuse a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// No ready, warm worker would be left that serves the operation (for the proxies of `zone`, if given).
    NoReadyWorker {
        operation: String,
        zone: Option<String>,
        /// The ready workers that the operation would lose by the change.
        departing: Vec<String>,
    },
    /// A figure is looser than the same figure of the settings.
    LooserThanSettings {
        figure: String,
        requested: f64,
        bound: f64,
    },
    /// The drain grace is too short to notify all proxies of a departure at the channel's rate.
    GraceTooShort {
        requested: Ms,
        min: Ms,
    },
    /// Sending the change twice takes more lines than the channel can carry in the available time.
    TooManyLines {
        /// The lines of sending it twice, with the overhead of the messages.
        lines: f64,
        max_lines: f64,
    },
    /// The limit on messages per proxy leaves no room to send a change a second time.
    NoSecondMessage {
        max_messages: f64,
    },
    UnknownZone {
        worker: String,
        zone: String,
    },
    /// The change places a worker that discovery does not list: a proxy resets a stream that names it.
    UnlistedWorker {
        worker: String,
    },
    UnknownOperation {
        operation: String,
    },
    TooManyWorkers {
        requested: usize,
    },
    BadWeight {
        worker: String,
        weight: f64,
    },
}

impl Refusal {
    /// The path of the data node concerned, for RFC 6241's `error-path`.
    pub fn path(&self) -> String {
        let worker = |name: &str| format!("/jrm:workers/worker[name='{name}']");
        match self {
            Refusal::NoReadyWorker { departing, .. } if departing.len() == 1 => worker(&departing[0]),
            Refusal::NoReadyWorker { .. } | Refusal::TooManyLines { .. } => "/jrm:workers".into(),
            Refusal::NoSecondMessage { .. } | Refusal::TooManyWorkers { .. } => "/jrm:workers".into(),
            Refusal::LooserThanSettings { figure, .. } => format!("/jrm:figures/{figure}"),
            Refusal::GraceTooShort { .. } => "/jrm:figures/drain-grace".into(),
            Refusal::UnknownZone { worker: name, .. } => format!("{}/place/zone", worker(name)),
            Refusal::UnlistedWorker { worker: name } => format!("{}/place", worker(name)),
            Refusal::UnknownOperation { operation } => format!("/jrm:figures/operation[name='{operation}']"),
            Refusal::BadWeight { worker: name, .. } => format!("{}/weight", worker(name)),
        }
    }

    /// A machine-readable identifier of the reason, for RFC 6241's `error-app-tag`.
    pub fn error_app_tag(&self) -> &'static str {
        match self {
            Refusal::NoReadyWorker { .. } => "no-ready-worker",
            Refusal::LooserThanSettings { .. } => "looser-than-settings",
            Refusal::GraceTooShort { .. } => "grace-too-short",
            Refusal::TooManyLines { .. } => "too-many-lines",
            Refusal::NoSecondMessage { .. } => "no-second-message",
            Refusal::UnknownZone { .. } => "unknown-zone",
            Refusal::UnlistedWorker { .. } => "unlisted-worker",
            Refusal::UnknownOperation { .. } => "unknown-operation",
            Refusal::TooManyWorkers { .. } => "too-many-workers",
            Refusal::BadWeight { .. } => "bad-weight",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoReadyWorker { operation, zone, departing } => {
                write!(f, "{operation} would have no ready, warm worker")?;
                zone.iter().try_for_each(|zone| write!(f, " for its proxies in zone {zone}"))?;
                write!(f, " without {}; make another worker ready first", abbreviated(departing))
            }
            Refusal::LooserThanSettings { figure, requested, bound } => {
                write!(f, "{figure} {requested} is looser than the settings' {bound} and may only be tightened")
            }
            Refusal::GraceTooShort { requested, min } => write!(
                f,
                "a drain grace of {requested} ms is too short: to notify all proxies at the channel's rate it must be at least {min:.0} ms"
            ),
            Refusal::TooManyLines { lines, max_lines } => write!(
                f,
                "sending the change twice takes {lines:.0} lines and the channel carries {max_lines:.0} in time; split the change"
            ),
            Refusal::NoSecondMessage { max_messages } => {
                write!(f, "a proxy may be sent {max_messages} messages in the counted period, too few to send it twice")
            }
            Refusal::UnknownZone { worker, zone } => {
                write!(f, "{worker} cannot be placed in zone {zone}, which the settings don't name")
            }
            Refusal::UnlistedWorker { worker } => write!(
                f,
                "{worker} cannot be placed, as discovery does not list it and a proxy would reset each stream that names it; \
                 register it with discovery first"
            ),
            Refusal::UnknownOperation { operation } => {
                write!(f, "there is no operation {operation} in the settings")
            }
            Refusal::TooManyWorkers { requested } => {
                write!(f, "{requested} workers are configured and at most {MAX_WORKERS} are allowed")
            }
            Refusal::BadWeight { worker, weight } => write!(f, "{worker} cannot have the weight {weight}, which must be finite and not negative"),
        }
    }
}

/// Names the first two workers and the number of the others.
fn abbreviated(names: &[String]) -> String {
    match names {
        [] => "no worker".into(),
        [first] => first.clone(),
        [first, second] => format!("{first} and {second}"),
        [first, second, others @ ..] => format!("{first}, {second} and {} more", others.len()),
    }
}

/// Checks a change; returns the reasons to refuse it, none if it is admitted. `before` and `after` are the workers as
/// composed without and with the change.
pub fn check_change(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = check_against_settings(context, intent);
    refusals.extend(check_ready_workers(context, before, after, intent));
    refusals.extend(check_channel_load(context, before, after, intent));
    refusals
}

/// Refuses to place workers that discovery does not list. Those that are placed already, as by the operator's file, are
/// kept back and do not prevent other changes.
pub fn check_placements(
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
) -> Vec<Refusal> {
    let is_placed_before = |name: &String| before.get(name).is_some_and(ComposedWorker::is_unlisted);
    let unlisted = after.iter().filter(|(name, worker)| worker.is_unlisted() && !is_placed_before(name));
    unlisted.map(|(worker, _)| Refusal::UnlistedWorker { worker: worker.clone() }).collect()
}

/// Performs the checks that depend only on the intent and the settings, not on the state of the workers.
pub fn check_against_settings(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = check_values(context, intent);
    refusals.extend(check_figures(context, intent));
    refusals
}

/// Checks the number of workers and their weights, and that every zone and operation exists in the settings.
fn check_values(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    if intent.workers.len() > MAX_WORKERS {
        refusals.push(Refusal::TooManyWorkers { requested: intent.workers.len() });
    }
    for (worker, worker_intent) in &intent.workers {
        let worker = worker.clone();
        if let Some(weight) = worker_intent.weight.filter(|weight| !weight.is_finite() || *weight < 0.0) {
            refusals.push(Refusal::BadWeight { worker, weight });
        } else if let Some(placement) =
            worker_intent.placement.as_ref().filter(|placement| !(context.is_known_zone)(&placement.zone))
        {
            refusals.push(Refusal::UnknownZone { worker, zone: placement.zone.clone() });
        }
    }
    let unknown = intent.operations.keys().filter(|name| !context.operation_names.contains(name));
    refusals.extend(unknown.map(|operation| Refusal::UnknownOperation { operation: operation.clone() }));
    refusals
}

/// Checks the figures against the settings, which are guarantees to proxies and clients: an operator may tighten them,
/// never loosen them.
fn check_figures(context: &AdmissionContext<'_>, intent: &Intent) -> Vec<Refusal> {
    let settings = context.settings;
    let mut refusals = Vec::new();
    let mut check_bound = |figure: &str, requested: Option<f64>, bound: f64, is_upper_bound: bool| {
        let is_looser =
            |requested: &f64| if is_upper_bound { *requested > bound } else { *requested < bound };
        if let Some(requested) = requested.filter(is_looser) {
            refusals.push(Refusal::LooserThanSettings { figure: figure.into(), requested, bound });
        }
    };
    check_bound("drain-grace", intent.drain_grace, settings.drain_grace, true);
    check_bound("warm-up", intent.warm_up, settings.warm_up, false);
    check_bound("cold-share", intent.cold_share, settings.cold_share, true);
    check_bound("overload-factor", intent.overload_factor, settings.overload_factor, true);
    let min = min_grace(context);
    if let Some(requested) = intent.drain_grace.filter(|requested| *requested < min) {
        refusals.push(Refusal::GraceTooShort { requested, min });
    }
    refusals
}

/// The shortest drain grace that is admitted: the time to notify all proxies of one departure at the channel's rate,
/// divided by the share of the grace that may be spent on it. The grace of the settings always passes, as an operator
/// cannot choose a longer one.
fn min_grace(context: &AdmissionContext<'_>) -> Ms {
    let settings = context.settings;
    if settings.channel_rate <= 0.0 {
        return 0.0;
    }
    // Each expected proxy is sent one message with two lines: the departure and its mark.
    let lines = expected_proxies(context) * (settings.message_overhead + 2.0);
    let notify_time = lines * 1000.0 / settings.channel_rate + settings.max_transit;
    (notify_time / NOTIFY_SHARE).min(settings.drain_grace)
}

/// The number of proxies to allow for: this manager's share of all proxies, or the joined proxies if they are more.
fn expected_proxies(context: &AdmissionContext<'_>) -> f64 {
    (context.settings.proxy_count / context.settings.manager_count.max(1.0))
        .max(context.joined_proxies as f64)
}

/// Whether the worker is ready and its warm-up, as the intent or else the settings give it, has passed.
fn is_ready_and_warm(context: &AdmissionContext<'_>, intent: &Intent, composed: &ComposedWorker) -> bool {
    let warm_up = intent.warm_up.unwrap_or(context.settings.warm_up);
    let warm = composed.entry.started_at.is_none_or(|started_at| context.now >= started_at + warm_up);
    composed.entry.phase == Phase::Ready && warm
}

/// Whether the worker serves the operation, for proxies of the zone if one is given.
fn serves(operation: &Operation, zone: Option<ZoneId>, composed: &ComposedWorker) -> bool {
    operation.zones.as_ref().is_none_or(|zones| zones.contains(&composed.entry.zone))
        && operation.machines.as_ref().is_none_or(|machines| machines.contains(&composed.entry.machine))
        && zone.is_none_or(|zone| zone == composed.entry.zone)
}

/// Refuses a change that takes away ready workers of an operation and leaves it without a ready, warm one. An operation
/// that has none already must not lose a ready worker that is still warming up either.
fn check_ready_workers(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let mut refusals = Vec::new();
    for (operation, operation_name) in context.settings.operations.iter().zip(context.operation_names) {
        let zones: Vec<Option<ZoneId>> = match operation.own_zone_only {
            true => context.settings.zones.iter().copied().map(Some).collect(),
            false => vec![None],
        };
        for zone in zones {
            let is_ready_to_serve = |composed: &ComposedWorker| {
                composed.entry.phase == Phase::Ready && serves(operation, zone, composed)
            };
            let any_ready_and_warm = |workers: &BTreeMap<String, ComposedWorker>| {
                workers.values().any(|composed| {
                    is_ready_to_serve(composed) && is_ready_and_warm(context, intent, composed)
                })
            };
            let departs = |name: &String| !after.get(name).is_some_and(is_ready_to_serve);
            let departing: Vec<String> = before
                .iter()
                .filter(|(name, previous)| is_ready_to_serve(previous) && departs(name))
                .map(|(name, _)| name.clone())
                .collect();
            if !departing.is_empty() && !any_ready_and_warm(after) {
                let zone = zone.map(context.zone_name);
                refusals.push(Refusal::NoReadyWorker { operation: operation_name.clone(), zone, departing });
            }
        }
    }
    refusals
}

/// Refuses a change that would fill the channel so far that drains could not be sent in time.
fn check_channel_load(
    context: &AdmissionContext<'_>,
    before: &BTreeMap<String, ComposedWorker>,
    after: &BTreeMap<String, ComposedWorker>,
    intent: &Intent,
) -> Vec<Refusal> {
    let settings = context.settings;
    let (mut lines, mut max_receivers, mut any_departure) = (0.0, 0.0f64, false);
    for (name, current) in after {
        let previous = before.get(name);
        let phase_of =
            |composed: Option<&ComposedWorker>| composed.map_or(Phase::Gone, |composed| composed.entry.phase);
        let readiness_changed = (phase_of(previous) == Phase::Ready) != (current.entry.phase == Phase::Ready);
        let weight_changed = previous.is_some_and(|previous| previous.entry.weight != current.entry.weight);
        if !(readiness_changed || weight_changed && current.entry.phase == Phase::Ready) {
            continue;
        }
        let departs = readiness_changed && current.entry.phase != Phase::Ready;
        any_departure |= departs;
        // A worker that becomes ready is sent to all proxies, any other change only to those with a line of the worker.
        let receivers = if readiness_changed && !departs {
            expected_proxies(context)
        } else {
            (context.proxies_with_line)(current.entry.worker) as f64
        };
        max_receivers = max_receivers.max(receivers);
        lines += receivers * if readiness_changed { 2.0 } else { 1.0 };
    }
    if lines == 0.0 || settings.channel_rate <= 0.0 {
        return Vec::new();
    }
    let mut refusals = Vec::new();
    let lines = SENDS_PER_CHANGE * (lines + max_receivers * (settings.message_overhead + 1.0));
    let grace = intent.drain_grace.unwrap_or(settings.drain_grace);
    let available_time = if any_departure {
        (grace - settings.max_transit).max(0.0)
    } else {
        settings.message_window.max(grace)
    };
    let max_lines = settings.channel_rate * available_time / 1000.0;
    if lines > max_lines {
        refusals.push(Refusal::TooManyLines { lines, max_lines });
    }
    if settings.max_messages_per_window < SENDS_PER_CHANGE {
        refusals.push(Refusal::NoSecondMessage { max_messages: settings.max_messages_per_window });
    }
    refusals
}

#[cfg(test)]
mod tests;
