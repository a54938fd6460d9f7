//! Looks up a reading that was taken at the required size itself, so that nothing has to be extrapolated from another
//! size.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{Quantity, Unit};
use crate::measured::{Measurements, Reading};

/// A pattern for the conditions of a reading: the beginning and the end of [`Reading::at`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    pub prefix: &'static str,
    pub suffix: &'static str,
}

/// A figure measured under one set of conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub role: &'static str,
    pub figure: &'static str,
    pub conditions: Conditions,
    pub unit: Unit,
    /// [`Bound::AtMost`] if the load of the run exceeded the load that the figure is for.
    pub bound: Bound,
}

impl Point {
    /// The figure from the first reading that matches, marked as not measured if there is none.
    pub fn look_up(&self, measured: &Measurements) -> Figure {
        let matches = |reading: &&Reading| {
            reading.role == self.role
                && reading.figure == self.figure
                && reading.at.starts_with(self.conditions.prefix)
                && reading.at.ends_with(self.conditions.suffix)
        };
        let Some(reading) = measured.readings.iter().find(matches) else {
            return Figure::not_measured(format!(
                "{}: {} ({})",
                self.role, self.figure, self.conditions.prefix
            ));
        };
        let quantity = Some(Quantity::new(reading.value * unit_factor(&reading.unit), self.unit));
        let (bound, basis, source) = (self.bound, Basis::Measured, Some(reading.at.clone()));
        Figure { quantity, bound, basis, source }
    }
}

/// The factor from the unit of a reading to the unit of the page.
fn unit_factor(unit: &str) -> f64 {
    match unit {
        "ms" => 1e-3,
        _ => 1.0,
    }
}
