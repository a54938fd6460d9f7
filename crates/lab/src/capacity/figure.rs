//! A figure of the capacity page: a quantity with the evidence that it is based on.

use super::quantity::{Quantity, Unit};

/// The evidence behind a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum Basis {
    /// A run of the lab at this size, or a fitted line at a size that it is trusted for.
    Measured,
    /// Linear interpolation between two measured sizes.
    Interpolated,
    /// Measured sizes, extrapolated to one that was not measured; the text says why the result may be wrong.
    Extrapolated(String),
    /// The requirements alone.
    Computed,
    /// The requirements and at least one assumption.
    Assumed,
    /// No run has measured it yet; the names of the missing slopes and readings.
    NotMeasured(Vec<String>),
}

impl Basis {
    /// The less certain of the two.
    fn less_certain(self, other: Basis) -> Basis {
        if other.uncertainty_rank() > self.uncertainty_rank() {
            return other;
        }
        self
    }

    fn uncertainty_rank(&self) -> u8 {
        match self {
            Basis::Measured => 0,
            Basis::Interpolated => 1,
            Basis::Computed => 2,
            Basis::Assumed => 3,
            Basis::Extrapolated(_) => 4,
            Basis::NotMeasured(_) => 5,
        }
    }
}

/// Whether the quantity is the figure itself or an upper bound of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    Exact,
    /// Measured under a higher load or at a larger size, or computed for the highest possible load.
    AtMost,
}

/// A quantity, its basis, and the measured slope or readings that it was taken from.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    pub quantity: Option<Quantity>,
    pub bound: Bound,
    pub basis: Basis,
    /// The slope or the readings as measured, in the text form of the page.
    pub source: Option<String>,
}

impl Figure {
    /// A figure that follows from the requirements and the assumptions.
    pub fn computed(value: f64, unit: Unit) -> Figure {
        let quantity = Some(Quantity::new(value, unit));
        Figure { quantity, bound: Bound::Exact, basis: Basis::Computed, source: None }
    }

    /// An upper bound that follows from the requirements and the assumptions, for the highest possible load.
    pub fn computed_at_most(value: f64, unit: Unit) -> Figure {
        Figure { bound: Bound::AtMost, ..Figure::computed(value, unit) }
    }

    /// A figure that no run has measured yet, with the name of the missing slope or reading.
    pub fn not_measured(missing: String) -> Figure {
        let (quantity, bound, basis) = (None, Bound::Exact, Basis::NotMeasured(vec![missing]));
        Figure { quantity, bound, basis, source: None }
    }

    /// Returns `other` if this figure was not measured.
    pub fn or(self, other: Figure) -> Figure {
        if self.quantity.is_none() {
            return other;
        }
        self
    }

    /// The sum of two figures of the same unit, with the less certain basis of the two. If one of them was not
    /// measured, neither is the sum.
    pub fn plus(self, other: Figure) -> Figure {
        let (Some(left), Some(right)) = (self.quantity, other.quantity) else {
            return self.not_measured_sum(other);
        };
        let bound = if other.bound == Bound::AtMost { Bound::AtMost } else { self.bound };
        let basis = self.basis.less_certain(other.basis);
        let sources: Vec<String> = self.source.into_iter().chain(other.source).collect();
        let source = (!sources.is_empty()).then(|| sources.join("; "));
        Figure { quantity: Some(Quantity::new(left.value + right.value, left.unit)), bound, basis, source }
    }

    /// The sum if at least one of the two figures was not measured. It has the names that are missing for both.
    fn not_measured_sum(self, other: Figure) -> Figure {
        match (self.basis, other.basis) {
            (Basis::NotMeasured(mut missing), Basis::NotMeasured(also_missing)) => {
                missing.extend(also_missing);
                let (quantity, bound, source) = (None, Bound::Exact, None);
                Figure { quantity, bound, basis: Basis::NotMeasured(missing), source }
            }
            (basis @ Basis::NotMeasured(_), _) | (_, basis) => {
                Figure { quantity: None, bound: Bound::Exact, basis, source: None }
            }
        }
    }

    /// The figure as a table cell.
    pub fn cell(&self) -> String {
        let Some(quantity) = self.quantity else { return "not measured".into() };
        let sign = if self.bound == Bound::AtMost { "at most " } else { "" };
        let basis = match &self.basis {
            Basis::Measured => "measured".to_string(),
            Basis::Interpolated => "interpolated between two measured sizes".to_string(),
            Basis::Extrapolated(warning) => format!("**extrapolated**: {warning}"),
            Basis::Computed => "computed".to_string(),
            Basis::Assumed => "assumed".to_string(),
            Basis::NotMeasured(_) => "not measured".to_string(),
        };
        format!("{sign}{quantity} ({basis})")
    }
}
