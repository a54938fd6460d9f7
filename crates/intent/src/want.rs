//! The operators' configuration as typed wishes, read from the data tree.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperrail_interface::{Ms, RuntimeSettings, Settings};
use juniperrail_model::{Data, Schema, View};

/// The state that the operator wants of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DesiredState {
    #[default]
    Follow,
    Ready,
    Draining,
    Out,
}

/// Where a worker is that no discovery names.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub zone: String,
    pub machine: String,
    pub cell: Option<u32>,
    pub address: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerIntent {
    pub desired_state: DesiredState,
    pub weight: Option<f64>,
    pub placement: Option<Placement>,
}

/// All that the running configuration wants of the decisions. What is `None` stays as the settings say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    pub workers: BTreeMap<String, WorkerIntent>,
    pub drain_grace: Option<Ms>,
    pub warm_up: Option<Ms>,
    pub cold_share: Option<f64>,
    pub overload_factor: Option<f64>,
    /// By operation: the latency objective and the billed value.
    pub operations: BTreeMap<String, (Option<Ms>, Option<f64>)>,
}

impl Intent {
    /// From data of the schema, which has checked each value by itself.
    pub fn from_data(schema: &Schema, data: &Data) -> Intent {
        let top = View::new(schema, data);
        let figures = top.inner("figures");
        let text = |view: &View<'_>, name: &str| view.text(name).unwrap_or_default().to_string();
        let place = |view: View<'_>| Placement {
            zone: text(&view, "zone"),
            machine: text(&view, "machine"),
            cell: view.leaf("cell").and_then(|cell| cell.as_u64()).and_then(|cell| u32::try_from(cell).ok()),
            // The pattern lets figures through that are no address, as 300.1.1.1; those are never probed.
            address: view.text("address").and_then(|address| address.parse().ok()),
        };
        let wish = |view: &View<'_>| WorkerIntent {
            desired_state: match view.text("wanted") {
                Some("ready") => DesiredState::Ready,
                Some("draining") => DesiredState::Draining,
                Some("out") => DesiredState::Out,
                _ => DesiredState::Follow,
            },
            weight: view.figure("weight"),
            placement: Some(view.inner("place")).filter(View::is_there).map(place),
        };
        let workers = top.inner("workers").entries("worker");
        let operations = figures.entries("operation");
        let figured = |view: &View<'_>| (view.figure("latency-objective"), view.figure("billed-value"));
        Intent {
            workers: workers.iter().map(|view| (text(view, "name"), wish(view))).collect(),
            drain_grace: figures.figure("drain-grace"),
            warm_up: figures.figure("warm-up"),
            cold_share: figures.figure("cold-share"),
            overload_factor: figures.figure("overload-factor"),
            operations: operations.iter().map(|view| (text(view, "name"), figured(view))).collect(),
        }
    }

    /// The figures that hold with this intent, over the settings' own. `operations`: their names, in order.
    pub fn figures(&self, settings: &Settings, operations: &[String]) -> RuntimeSettings {
        let told = |name: &String| self.operations.get(name).copied().unwrap_or_default();
        let all = settings.operations.iter().zip(operations);
        RuntimeSettings {
            drain_grace: self.drain_grace.unwrap_or(settings.drain_grace),
            warm_up: self.warm_up.unwrap_or(settings.warm_up),
            cold_share: self.cold_share.unwrap_or(settings.cold_share),
            overload_factor: self.overload_factor.unwrap_or(settings.overload_factor),
            operations: all
                .map(|(op, name)| {
                    let (objective, value) = told(name);
                    (objective.unwrap_or(op.latency_objective), value.unwrap_or(op.billed_value))
                })
                .collect(),
        }
    }

    /// The workers of which two intents want something else.
    pub fn changed_workers<'a>(&'a self, other: &'a Intent) -> impl Iterator<Item = &'a str> {
        let gone = self.workers.keys().filter(|name| !other.workers.contains_key(*name));
        let new = other.workers.iter().filter(|(name, wish)| self.workers.get(*name) != Some(wish));
        gone.chain(new.map(|(name, _)| name)).map(String::as_str)
    }
}
