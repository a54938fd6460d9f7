//! A row of a role's table: a figure, the limit that it is compared with, and the code that supports it.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{Quantity, Unit};

/// The operating system's default limit on the file descriptors of a process.
const DEFAULT_DESCRIPTORS: f64 = 1_024.0;

/// A part of the fleet that has a section of its own on the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Manager,
    ControlMachine,
    ConsensusMember,
    Discovery,
    ProxyStream,
    Collector,
    Worker,
    Configuration,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 8] = [
        Role::Manager,
        Role::ControlMachine,
        Role::ConsensusMember,
        Role::Discovery,
        Role::ProxyStream,
        Role::Collector,
        Role::Worker,
        Role::Configuration,
    ];

    /// The heading of the role's section, and its name in other tables.
    pub fn title(self) -> &'static str {
        match self {
            Role::Manager => "Manager",
            Role::ControlMachine => "Control machine",
            Role::ConsensusMember => "Member of the consensus group",
            Role::Discovery => "Discovery",
            Role::ProxyStream => "Proxy stream",
            Role::Collector => "Collector",
            Role::Worker => "Worker",
            Role::Configuration => "Configuration",
        }
    }

    /// The name of the role's block on the page.
    pub fn block(self) -> &'static str {
        match self {
            Role::Manager => "manager",
            Role::ControlMachine => "control-machine",
            Role::ConsensusMember => "consensus-member",
            Role::Discovery => "discovery",
            Role::ProxyStream => "proxy-stream",
            Role::Collector => "collector",
            Role::Worker => "worker",
            Role::Configuration => "configuration",
        }
    }
}

/// A failure that a role has to withstand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    RackFailed,
    ZoneFailed,
    ZoneRecovered,
    RegionPartitioned,
    ControlMachineFailed,
    AllControlMachinesRestarted,
}

impl Failure {
    /// All failures, in the order of the page.
    pub const ALL: [Failure; 6] = [
        Failure::RackFailed,
        Failure::ZoneFailed,
        Failure::ZoneRecovered,
        Failure::RegionPartitioned,
        Failure::ControlMachineFailed,
        Failure::AllControlMachinesRestarted,
    ];

    /// A short description for the page.
    pub fn title(self) -> &'static str {
        match self {
            Failure::RackFailed => "a rack or switch fails",
            Failure::ZoneFailed => "a zone fails",
            Failure::ZoneRecovered => "a zone recovers",
            Failure::RegionPartitioned => "a region reconnects after a partition of one hour",
            Failure::ControlMachineFailed => "a control machine fails",
            Failure::AllControlMachinesRestarted => "all control machines restart at once",
        }
    }
}

/// The situation in which a figure occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// State that is kept permanently, whatever the load.
    SteadyState,
    OrdinaryDay,
    WorstCase(Failure),
}

impl Scenario {
    fn cell(self) -> &'static str {
        match self {
            Scenario::SteadyState => "steady state",
            Scenario::OrdinaryDay => "ordinary day",
            Scenario::WorstCase(failure) => failure.title(),
        }
    }
}

/// The origin of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    Requirement,
    /// The width of a type or a constant in the code.
    Program,
    /// A default of the operating system.
    System,
}

/// The limit that a figure is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub quantity: Quantity,
    pub source: LimitSource,
    /// Whether the limit is a minimum; otherwise it is a maximum.
    pub at_least: bool,
}

impl Limit {
    /// A maximum that the requirements set.
    pub fn required(value: f64, unit: Unit) -> Limit {
        Limit { quantity: Quantity::new(value, unit), source: LimitSource::Requirement, at_least: false }
    }

    /// A required size, as a minimum.
    pub fn required_at_least(value: f64) -> Limit {
        Limit {
            quantity: Quantity::new(value, Unit::Count),
            source: LimitSource::Requirement,
            at_least: true,
        }
    }

    /// A maximum that the code sets.
    pub fn program(value: f64, unit: Unit) -> Limit {
        Limit { quantity: Quantity::new(value, unit), source: LimitSource::Program, at_least: false }
    }

    /// The operating system's default limit on the file descriptors of a process, as a maximum.
    pub fn descriptors() -> Limit {
        let quantity = Quantity::new(DEFAULT_DESCRIPTORS, Unit::Count);
        Limit { quantity, source: LimitSource::System, at_least: false }
    }

    fn cell(&self) -> String {
        let prefix = if self.at_least { "at least " } else { "" };
        let source = match self.source {
            LimitSource::Requirement => "",
            LimitSource::Program => " (program)",
            LimitSource::System => " (system)",
        };
        format!("{prefix}{}{source}", self.quantity)
    }
}

/// Whether a figure meets its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    MeetsLimit,
    MissesLimit,
    /// The figure has no limit, was not measured, or is an upper bound that misses the limit.
    NotJudged,
}

impl Verdict {
    /// The verdict as a table cell.
    pub fn cell(self) -> &'static str {
        match self {
            Verdict::MeetsLimit => "yes",
            Verdict::MissesLimit => "**no**",
            Verdict::NotJudged => "-",
        }
    }
}

/// The mechanism that a figure depends on, and where it is implemented.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// A file, as a path from the root of the repository.
    File(&'static str),
    /// A mechanism that is not implemented yet; a short description of it.
    Missing(&'static str),
    /// No mechanism is needed.
    None,
}

impl Mechanism {
    /// The mechanism as a table cell.
    pub fn cell(self) -> String {
        match self {
            Mechanism::File(path) => format!("`{path}`"),
            Mechanism::Missing(what) => format!("*missing*: {what}"),
            Mechanism::None => "-".into(),
        }
    }
}

/// One row of a role's table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub role: Role,
    pub scenario: Scenario,
    pub name: &'static str,
    pub figure: Figure,
    pub limit: Option<Limit>,
    pub mechanism: Mechanism,
}

impl Row {
    /// Whether the figure meets its limit. An upper bound that misses the limit proves nothing and is not judged.
    pub fn verdict(&self) -> Verdict {
        let (Some(limit), Some(quantity)) = (self.limit, self.figure.quantity) else {
            return Verdict::NotJudged;
        };
        let meets_limit = match limit.at_least {
            true => quantity.value >= limit.quantity.value,
            false => quantity.value <= limit.quantity.value,
        };
        match (meets_limit, self.figure.bound) {
            (true, _) => Verdict::MeetsLimit,
            (false, Bound::AtMost) => Verdict::NotJudged,
            (false, Bound::Exact) => Verdict::MissesLimit,
        }
    }

    /// The factor by which the figure exceeds a maximum or falls short of a minimum. The figure misses the limit if the
    /// factor is above 1.
    pub fn limit_ratio(&self) -> Option<f64> {
        let (limit, quantity) = (self.limit?, self.figure.quantity?);
        let ratio = quantity.value / limit.quantity.value;
        Some(if limit.at_least { 1.0 / ratio } else { ratio })
    }

    /// The verdict as a table cell, with a note if it rests on an extrapolated figure.
    fn verdict_cell(&self) -> String {
        let verdict = self.verdict();
        let extrapolated = matches!(self.figure.basis, Basis::Extrapolated(_));
        match extrapolated && verdict != Verdict::NotJudged {
            true => format!("{}, extrapolated", verdict.cell()),
            false => verdict.cell().into(),
        }
    }

    /// The cells of the row: scenario, name, slope as measured, figure at the required size, limit, verdict, mechanism.
    pub fn cells(&self) -> Vec<String> {
        vec![
            self.scenario.cell().into(),
            self.name.into(),
            self.figure.source.clone().unwrap_or_else(|| "-".into()),
            self.figure.cell(),
            self.limit.map_or_else(|| "-".into(), |limit| limit.cell()),
            self.verdict_cell(),
            self.mechanism.cell(),
        ]
    }
}
