//! The rows of the page, with one module for each role. They state what the role holds, and its load on an ordinary day
//! and after failures, at the required fleet size.

mod collector;
mod configuration;
mod consensus_member;
mod control_machine;
mod discovery;
mod manager;
mod proxy_stream;
mod worker;

use super::assumptions::Sizes;
use super::figure::Figure;
use super::quantity::Unit;
use super::row::{Limit, Mechanism, Role, Row, Scenario};
use crate::measured::Measurements;

/// The inputs from which the rows are computed.
pub struct Inputs<'a> {
    pub sizes: Sizes,
    pub measured: &'a Measurements,
}

/// The rows of all roles, in the order of the page.
pub fn rows(inputs: &Inputs<'_>) -> Vec<Row> {
    let roles = [
        manager::rows,
        control_machine::rows,
        consensus_member::rows,
        discovery::rows,
        proxy_stream::rows,
        collector::rows,
        worker::rows,
        configuration::rows,
    ];
    roles.iter().flat_map(|rows| rows(inputs)).collect()
}

/// The table of one role, to which its rows are added.
struct Table {
    role: Role,
    rows: Vec<Row>,
}

impl Table {
    fn new(role: Role) -> Table {
        Table { role, rows: Vec::new() }
    }

    /// Adds a figure without a limit.
    fn add(&mut self, scenario: Scenario, name: &'static str, figure: Figure, mechanism: Mechanism) {
        self.rows.push(Row { role: self.role, scenario, name, figure, limit: None, mechanism });
    }

    /// Adds a figure that is compared with a limit.
    fn add_limited(
        &mut self,
        scenario: Scenario,
        name: &'static str,
        figure: Figure,
        limit: Limit,
        mechanism: Mechanism,
    ) {
        self.rows.push(Row { role: self.role, scenario, name, figure, limit: Some(limit), mechanism });
    }
}

fn count(value: f64) -> Figure {
    Figure::computed(value, Unit::Count)
}

fn per_second(value: f64) -> Figure {
    Figure::computed(value, Unit::PerSecond)
}

fn bytes(value: f64) -> Figure {
    Figure::computed(value, Unit::Bytes)
}

fn bytes_per_second(value: f64) -> Figure {
    Figure::computed(value, Unit::BytesPerSecond)
}

fn seconds(value: f64) -> Figure {
    Figure::computed(value, Unit::Seconds)
}
