//! A row of a role's table: a figure, the limit that it is held against, and what it rests on in the code.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{Quantity, Unit};

/// Descriptors that a process has unless the system is told otherwise.
const DESCRIPTORS: f64 = 1_024.0;

/// One of the processes that the page has a section for.
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
    /// All of them, in the order of the page.
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

    /// The heading of its section, and its name in other tables.
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

    /// The name of its block on the page.
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

/// A failure that a role has to bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    Rack,
    ZoneLost,
    ZoneBack,
    RegionCut,
    ControlMachineDead,
    AllRestarted,
}

impl Failure {
    /// All of them, in the order of the page.
    pub const ALL: [Failure; 6] = [
        Failure::Rack,
        Failure::ZoneLost,
        Failure::ZoneBack,
        Failure::RegionCut,
        Failure::ControlMachineDead,
        Failure::AllRestarted,
    ];

    /// What happened, in a few words.
    pub fn title(self) -> &'static str {
        match self {
            Failure::Rack => "a rack or switch fails",
            Failure::ZoneLost => "a zone is lost",
            Failure::ZoneBack => "a zone comes back",
            Failure::RegionCut => "a region was cut off for an hour and is back",
            Failure::ControlMachineDead => "a control machine is dead",
            Failure::AllRestarted => "all control machines start anew at once",
        }
    }
}

/// When a figure is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// State that is there all day.
    Kept,
    OrdinaryDay,
    Worst(Failure),
}

impl When {
    fn cell(self) -> &'static str {
        match self {
            When::Kept => "kept",
            When::OrdinaryDay => "ordinary day",
            When::Worst(failure) => failure.title(),
        }
    }
}

/// Who set a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    Letter,
    /// A type's width or a constant.
    Program,
    /// What the operating system gives unless it is told otherwise.
    System,
}

/// What a figure may come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    pub quantity: Quantity,
    pub source: LimitSource,
    /// Whether the figure has to reach it, and not to stay below.
    pub at_least: bool,
}

impl Limit {
    /// A limit of the letter's.
    pub fn letter(value: f64, unit: Unit) -> Limit {
        Limit { quantity: Quantity::new(value, unit), source: LimitSource::Letter, at_least: false }
    }

    /// A size of the letter's that has to be reached.
    pub fn reached(value: f64) -> Limit {
        Limit { quantity: Quantity::new(value, Unit::Count), source: LimitSource::Letter, at_least: true }
    }

    /// A limit in the program.
    pub fn program(value: f64, unit: Unit) -> Limit {
        Limit { quantity: Quantity::new(value, unit), source: LimitSource::Program, at_least: false }
    }

    /// The descriptors that a process has unless the system is told otherwise.
    pub fn descriptors() -> Limit {
        let quantity = Quantity::new(DESCRIPTORS, Unit::Count);
        Limit { quantity, source: LimitSource::System, at_least: false }
    }

    fn cell(&self) -> String {
        let least = if self.at_least { "at least " } else { "" };
        let source = match self.source {
            LimitSource::Letter => "",
            LimitSource::Program => " (program)",
            LimitSource::System => " (system)",
        };
        format!("{least}{}{source}", self.quantity)
    }
}

/// Whether a figure keeps its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Carries,
    DoesNotCarry,
    /// It has no limit, or was not measured.
    NotJudged,
}

impl Verdict {
    /// The cell of a table.
    pub fn cell(self) -> &'static str {
        match self {
            Verdict::Carries => "yes",
            Verdict::DoesNotCarry => "**no**",
            Verdict::NotJudged => "-",
        }
    }
}

/// What in the repository bears a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// This file, from the root of the repository.
    File(&'static str),
    /// Nothing yet; what it would be.
    Missing(&'static str),
    /// Nothing is needed.
    None,
}

impl Mechanism {
    /// The cell of a table.
    pub fn cell(self) -> String {
        match self {
            Mechanism::File(path) => format!("`{path}`"),
            Mechanism::Missing(what) => format!("*missing*: {what}"),
            Mechanism::None => "-".into(),
        }
    }
}

/// One row.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub role: Role,
    pub when: When,
    pub name: &'static str,
    pub figure: Figure,
    pub limit: Option<Limit>,
    pub mechanism: Mechanism,
}

impl Row {
    /// Whether the figure keeps its limit; an upper bound above the limit tells nothing.
    pub fn verdict(&self) -> Verdict {
        let (Some(limit), Some(quantity)) = (self.limit, self.figure.quantity) else {
            return Verdict::NotJudged;
        };
        let keeps = match limit.at_least {
            true => quantity.value >= limit.quantity.value,
            false => quantity.value <= limit.quantity.value,
        };
        match (keeps, self.figure.bound) {
            (true, _) => Verdict::Carries,
            (false, Bound::AtMost) => Verdict::NotJudged,
            (false, Bound::Exact) => Verdict::DoesNotCarry,
        }
    }

    /// How many times over its limit the figure is, or how many times short of it.
    pub fn times_over(&self) -> Option<f64> {
        let (limit, quantity) = (self.limit?, self.figure.quantity?);
        let ratio = quantity.value / limit.quantity.value;
        Some(if limit.at_least { 1.0 / ratio } else { ratio })
    }

    /// Whether it carries, and whether that is extrapolated.
    fn carries(&self) -> String {
        let verdict = self.verdict();
        let extrapolated = matches!(self.figure.basis, Basis::Extrapolated(_));
        match extrapolated && verdict != Verdict::NotJudged {
            true => format!("{}, extrapolated", verdict.cell()),
            false => verdict.cell().into(),
        }
    }

    /// The cells of its table: when, what, slope, at size, limit, carries, mechanism.
    pub fn cells(&self) -> Vec<String> {
        vec![
            self.when.cell().into(),
            self.name.into(),
            self.figure.slope.clone().unwrap_or_else(|| "-".into()),
            self.figure.cell(),
            self.limit.map_or_else(|| "-".into(), |limit| limit.cell()),
            self.carries(),
            self.mechanism.cell(),
        ]
    }
}
