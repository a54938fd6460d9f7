//! Looking up a reading that was taken at the letter's own size, so that nothing is carried over from another one.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{Quantity, Unit};
use crate::measured::{Measurements, Reading};

/// A figure measured under one set of conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub role: &'static str,
    pub figure: &'static str,
    /// How the conditions begin and end.
    pub at: (&'static str, &'static str),
    pub unit: Unit,
    /// Whether more was done meanwhile than the figure is told for.
    pub bound: Bound,
}

impl Point {
    /// Its value, if a run gave it.
    pub fn figure(&self, measured: &Measurements) -> Figure {
        let same = |reading: &&Reading| {
            reading.role == self.role
                && reading.figure == self.figure
                && reading.at.starts_with(self.at.0)
                && reading.at.ends_with(self.at.1)
        };
        let Some(reading) = measured.readings.iter().find(same) else {
            return Figure::not_measured(format!("{}: {} ({})", self.role, self.figure, self.at.0));
        };
        let quantity = Some(Quantity::new(reading.value * factor(&reading.unit), self.unit));
        let (bound, basis, slope) = (self.bound, Basis::Measured, Some(reading.at.clone()));
        Figure { quantity, bound, basis, slope }
    }
}

/// From the unit of a reading to that of the page.
fn factor(unit: &str) -> f64 {
    match unit {
        "ms" => 1e-3,
        _ => 1.0,
    }
}
