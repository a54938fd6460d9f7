//! The operators' intent as typed values, read from the data tree of a configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperrail_interface::{Ms, RuntimeSettings, Settings};
use juniperrail_model::{Data, Schema, View};

/// The state that the operator wants a worker to be in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DesiredState {
    /// The phase that discovery reports.
    #[default]
    Follow,
    Ready,
    Draining,
    /// Taken out: the worker counts as gone.
    Out,
}

/// The place that the operator gives for a worker, used if discovery does not list the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub zone: String,
    pub machine: String,
    pub cell: Option<u32>,
    pub address: Option<SocketAddr>,
}

/// What the operator configures for one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerIntent {
    pub desired_state: DesiredState,
    pub weight: Option<f64>,
    pub placement: Option<Placement>,
}

/// What the operator configures for one operation. A field that is `None` leaves the value of the settings in effect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OperationIntent {
    pub latency_objective: Option<Ms>,
    pub billed_value: Option<f64>,
}

/// The part of the running configuration that the planner acts on. A field that is `None` leaves the value of the
/// settings in effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    pub workers: BTreeMap<String, WorkerIntent>,
    pub drain_grace: Option<Ms>,
    pub warm_up: Option<Ms>,
    pub cold_share: Option<f64>,
    pub overload_factor: Option<f64>,
    /// By the operation's name.
    pub operations: BTreeMap<String, OperationIntent>,
}

impl Intent {
    /// Reads an intent from data that conforms to the schema, so that each value has the type of its node.
    pub fn from_data(schema: &Schema, data: &Data) -> Intent {
        let top = View::new(schema, data);
        let figures = top.container("figures");
        let text = |view: &View<'_>, name: &str| view.text(name).unwrap_or_default().to_string();
        let placement = |view: View<'_>| Placement {
            zone: text(&view, "zone"),
            machine: text(&view, "machine"),
            cell: view.leaf("cell").and_then(|cell| cell.as_u64()).and_then(|cell| u32::try_from(cell).ok()),
            // The YANG pattern also admits values that are not addresses, such as 300.1.1.1. A worker with such a value
            // is never probed.
            address: view.text("address").and_then(|address| address.parse().ok()),
        };
        let worker_intent = |view: &View<'_>| WorkerIntent {
            desired_state: match view.text("wanted") {
                Some("ready") => DesiredState::Ready,
                Some("draining") => DesiredState::Draining,
                Some("out") => DesiredState::Out,
                _ => DesiredState::Follow,
            },
            weight: view.number("weight"),
            placement: Some(view.container("place")).filter(View::exists).map(placement),
        };
        let workers = top.container("workers").entries("worker");
        let operations = figures.entries("operation");
        let operation_intent = |view: &View<'_>| OperationIntent {
            latency_objective: view.number("latency-objective"),
            billed_value: view.number("billed-value"),
        };
        Intent {
            workers: workers.iter().map(|view| (text(view, "name"), worker_intent(view))).collect(),
            drain_grace: figures.number("drain-grace"),
            warm_up: figures.number("warm-up"),
            cold_share: figures.number("cold-share"),
            overload_factor: figures.number("overload-factor"),
            operations: operations.iter().map(|view| (text(view, "name"), operation_intent(view))).collect(),
        }
    }

    /// The runtime settings in effect: the figures of this intent where given, else those of the settings.
    /// `operation_names` are in the order of the settings.
    pub fn runtime_settings(&self, settings: &Settings, operation_names: &[String]) -> RuntimeSettings {
        let operation_intent = |name: &String| self.operations.get(name).copied().unwrap_or_default();
        let named_operations = settings.operations.iter().zip(operation_names);
        RuntimeSettings {
            drain_grace: self.drain_grace.unwrap_or(settings.drain_grace),
            warm_up: self.warm_up.unwrap_or(settings.warm_up),
            cold_share: self.cold_share.unwrap_or(settings.cold_share),
            overload_factor: self.overload_factor.unwrap_or(settings.overload_factor),
            operations: named_operations
                .map(|(operation, name)| {
                    let OperationIntent { latency_objective, billed_value } = operation_intent(name);
                    (
                        latency_objective.unwrap_or(operation.latency_objective),
                        billed_value.unwrap_or(operation.billed_value),
                    )
                })
                .collect(),
        }
    }

    /// The names of the workers whose intent differs between `self` and `other`.
    pub fn changed_workers<'a>(&'a self, other: &'a Intent) -> impl Iterator<Item = &'a str> {
        let removed = self.workers.keys().filter(|name| !other.workers.contains_key(*name));
        let changed = other.workers.iter().filter(|(name, worker)| self.workers.get(*name) != Some(worker));
        removed.chain(changed.map(|(name, _)| name)).map(String::as_str)
    }
}
