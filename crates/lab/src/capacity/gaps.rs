//! The mechanisms that are missing or not demonstrated yet, in the order in which to work on them: first those that an
//! ordinary day needs, then those that a failure needs, and last those that no run has demonstrated. Within each of
//! these groups, the mechanism whose figure exceeds its limit by the largest factor comes first.

use super::row::{Mechanism, Role, Row};

/// The situation in which a gap matters, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    OrdinaryDay,
    WorstCase,
    NotDemonstrated,
}

impl Stage {
    /// The name on the page.
    pub fn title(self) -> &'static str {
        match self {
            Stage::OrdinaryDay => "ordinary day",
            Stage::WorstCase => "after a failure",
            Stage::NotDemonstrated => "not demonstrated",
        }
    }
}

/// A missing mechanism, and the row whose figure ranks it: its role and its name.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    pub title: &'static str,
    pub stage: Stage,
    pub role: Role,
    pub row: &'static str,
}

const GAPS: [Gap; 12] = [
    Gap {
        title: "a small consensus group, with learners served through the relays, in place of the full mesh \
                of links (which is off unless the operator's file has a `fleet`)",
        stage: Stage::OrdinaryDay,
        role: Role::ConsensusMember,
        row: "connections per member, with every manager a member",
    },
    Gap {
        title: "a byte budget per manager, for its subscription and for its sums: updates are coalesced to \
                fit, the oldest first",
        stage: Stage::OrdinaryDay,
        role: Role::Manager,
        row: "total bytes received: list, configuration and sums",
    },
    Gap {
        title: "proxy identifiers wide enough for the proxies of the whole fleet",
        stage: Stage::OrdinaryDay,
        role: Role::ProxyStream,
        row: "proxy identifiers needed, unique across the fleet",
    },
    Gap {
        title: "configuration distributed through the relays, each change to the managers that it concerns",
        stage: Stage::OrdinaryDay,
        role: Role::Configuration,
        row: "commits in the fleet, with each change committed at every manager",
    },
    Gap {
        title: "configuration by service after a network partition: only the missed changes are sent",
        stage: Stage::WorstCase,
        role: Role::Configuration,
        row: "transfer time of all missed changes to one manager at 5 KB/s",
    },
    Gap {
        title: "list entries from discovery that name the worker's service: without the service, a scope \
                can only name zones",
        stage: Stage::WorstCase,
        role: Role::Manager,
        row: "transfer time of the list entries of the manager's zone at 5 KB/s",
    },
    Gap {
        title: "rate-limited snapshots after many managers reconnect at once",
        stage: Stage::WorstCase,
        role: Role::ControlMachine,
        row: "snapshots for all its managers, with scopes by service",
    },
    Gap {
        title: "bounded load on the relays and on the remaining managers",
        stage: Stage::WorstCase,
        role: Role::ProxyStream,
        row: "additional proxies per remaining manager of a service that lost one manager",
    },
    Gap {
        title: "a relay choice that prefers relays of the manager's own region and uses the others only \
                after them",
        stage: Stage::WorstCase,
        role: Role::ControlMachine,
        row: "managers in the region whose relay is in another region",
    },
    Gap {
        title: "a load share of a cold worker that all managers together keep to",
        stage: Stage::WorstCase,
        role: Role::Worker,
        row: "managers that warm up the same worker independently",
    },
    Gap {
        title: "a measurement of the time from a commit until the change is in force everywhere",
        stage: Stage::NotDemonstrated,
        role: Role::Configuration,
        row: "time from a commit until the change is in force everywhere",
    },
    Gap {
        title: "a run of the full fan-out, 51 relays and 17,000 managers, on more than one machine",
        stage: Stage::NotDemonstrated,
        role: Role::ControlMachine,
        row: "managers that watch one control machine",
    },
];

/// A gap with the row that ranks it, if there is such a row.
#[derive(Clone, Copy, Debug)]
pub struct RankedGap<'a> {
    pub gap: Gap,
    pub row: Option<&'a Row>,
}

/// All open gaps, in the order in which to close them. A gap is closed once the mechanism of its row is a file, except
/// that those of [`Stage::NotDemonstrated`] stay listed, since a run has to demonstrate them.
pub fn ranked(rows: &[Row]) -> Vec<RankedGap<'_>> {
    let row_of = |gap: &Gap| rows.iter().find(|row| row.role == gap.role && row.name == gap.row);
    let is_open = |ranked: &RankedGap<'_>| {
        let is_built = ranked.row.is_some_and(|row| matches!(row.mechanism, Mechanism::File(_)));
        !is_built || ranked.gap.stage == Stage::NotDemonstrated
    };
    let all = GAPS.iter().map(|gap| RankedGap { gap: *gap, row: row_of(gap) });
    let mut ranked: Vec<RankedGap<'_>> = all.filter(is_open).collect();
    let limit_ratio = |ranked: &RankedGap<'_>| ranked.row.and_then(Row::limit_ratio).unwrap_or(0.0);
    ranked.sort_by(|left, right| {
        let by_stage = left.gap.stage.cmp(&right.gap.stage);
        by_stage.then(limit_ratio(right).total_cmp(&limit_ratio(left)))
    });
    ranked
}
