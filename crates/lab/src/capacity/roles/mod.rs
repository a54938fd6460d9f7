//! One module a role: its state, its load on an ordinary day and in its worst minutes, at the letter's size.

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
use super::row::{Limit, Mechanism, Role, Row, When};
use crate::measured::Measurements;

/// What the figures are computed from.
pub struct Inputs<'a> {
    pub sizes: Sizes,
    pub measured: &'a Measurements,
}

/// All rows, by role.
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

/// Collects the rows of one role.
struct Table {
    role: Role,
    rows: Vec<Row>,
}

impl Table {
    fn new(role: Role) -> Table {
        Table { role, rows: Vec::new() }
    }

    /// A figure that has no limit.
    fn tell(&mut self, when: When, name: &'static str, figure: Figure, mechanism: Mechanism) {
        self.rows.push(Row { role: self.role, when, name, figure, limit: None, mechanism });
    }

    /// A figure held against a limit.
    fn judge(&mut self, when: When, name: &'static str, figure: Figure, limit: Limit, mechanism: Mechanism) {
        self.rows.push(Row { role: self.role, when, name, figure, limit: Some(limit), mechanism });
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
