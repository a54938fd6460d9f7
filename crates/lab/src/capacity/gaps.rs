//! What is missing, in the order in which it has to be built: what fails on an ordinary day before what fails in a worst
//! minute, the further over its limit the sooner, and last what no run has shown.

use super::row::{Mechanism, Role, Row};

/// When a gap is felt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    OrdinaryDay,
    WorstMinute,
    NotShown,
}

impl Stage {
    /// How the page names it.
    pub fn title(self) -> &'static str {
        match self {
            Stage::OrdinaryDay => "ordinary day",
            Stage::WorstMinute => "worst minute",
            Stage::NotShown => "not shown",
        }
    }
}

/// Something that is missing, and the row that puts it in its place.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    pub title: &'static str,
    pub stage: Stage,
    pub role: Role,
    pub row: &'static str,
}

const GAPS: [Gap; 12] = [
    Gap {
        title: "a small consensus group, with learners through the relays in place of the full mesh of links \
                (it is off unless the operator's file has a `fleet`)",
        stage: Stage::OrdinaryDay,
        role: Role::ConsensusMember,
        row: "connections at each, every manager a member",
    },
    Gap {
        title: "a byte budget for each manager, as a subscriber and for its sums: coalesced to fit, the oldest first",
        stage: Stage::OrdinaryDay,
        role: Role::Manager,
        row: "all that it reads: list, configuration, sums",
    },
    Gap {
        title: "numbers of proxies that hold the whole fleet's",
        stage: Stage::OrdinaryDay,
        role: Role::ProxyStream,
        row: "proxies numbered across the fleet",
    },
    Gap {
        title: "configuration through the relays, each change to the managers that it concerns",
        stage: Stage::OrdinaryDay,
        role: Role::Configuration,
        row: "commits, each change at each manager",
    },
    Gap {
        title: "configuration by service after a cut: the changes missed and no others",
        stage: Stage::WorstMinute,
        role: Role::Configuration,
        row: "all of them at one manager, at 5 KB/s",
    },
    Gap {
        title: "entries of the operators' list that name their service: without it a scope is a zone",
        stage: Stage::WorstMinute,
        role: Role::Manager,
        row: "its zone's workers at 5 KB/s",
    },
    Gap {
        title: "snapshots at a pace after a mass return",
        stage: Stage::WorstMinute,
        role: Role::ControlMachine,
        row: "snapshots for its managers by services",
    },
    Gap {
        title: "bounded load, on the relays and on the managers that are left",
        stage: Stage::WorstMinute,
        role: Role::ProxyStream,
        row: "more proxies at each manager of a service that lost one",
    },
    Gap {
        title: "a choice of relay that heeds regions: a relay of the own one first, the others behind it",
        stage: Stage::WorstMinute,
        role: Role::ControlMachine,
        row: "there: managers whose relay is elsewhere",
    },
    Gap {
        title: "a cold worker's part that all managers together keep",
        stage: Stage::WorstMinute,
        role: Role::Worker,
        row: "managers that each ease one in by themselves",
    },
    Gap {
        title: "a change of configuration timed until it is in force everywhere",
        stage: Stage::NotShown,
        role: Role::Configuration,
        row: "commit to in force everywhere",
    },
    Gap {
        title: "the full fan-out, 51 relays and 17,000 managers, on more than one machine",
        stage: Stage::NotShown,
        role: Role::ControlMachine,
        row: "managers that watch it",
    },
];

/// A gap with the row that puts it in its place, if there is such a row.
pub type Placed<'a> = (Gap, Option<&'a Row>);

/// All gaps that are open, in their order. One that has to be built is closed once its row names a file.
pub fn placed(rows: &[Row]) -> Vec<Placed<'_>> {
    let row_of = |gap: &Gap| rows.iter().find(|row| row.role == gap.role && row.name == gap.row);
    let open = |(gap, row): &Placed<'_>| {
        let built = row.is_some_and(|row| matches!(row.mechanism, Mechanism::File(_)));
        !built || gap.stage == Stage::NotShown
    };
    let all = GAPS.iter().map(|gap| (*gap, row_of(gap)));
    let mut placed: Vec<Placed<'_>> = all.filter(open).collect();
    let times = |placed: &Placed<'_>| placed.1.and_then(Row::times_over).unwrap_or(0.0);
    placed.sort_by(|one, other| {
        let by_stage = one.0.stage.cmp(&other.0.stage);
        by_stage.then(times(other).total_cmp(&times(one)))
    });
    placed
}
