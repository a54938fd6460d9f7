//! A figure of the page: a quantity and what it rests on.

use super::quantity::{Quantity, Unit};

/// What a figure rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum Basis {
    /// A run of the lab, at or near this size.
    Measured,
    /// Between two sizes that were measured, on the straight line from one to the other.
    Between,
    /// Measured sizes, continued to one that was not measured; why that may be wrong.
    Extrapolated(String),
    /// The letter's figures alone.
    Computed,
    /// The letter's figures and at least one assumption.
    Assumed,
    /// No run gave it yet; the slopes that would.
    NotMeasured(Vec<String>),
}

impl Basis {
    /// The less sure of two.
    fn weaker(self, other: Basis) -> Basis {
        if other.doubt() > self.doubt() {
            return other;
        }
        self
    }

    fn doubt(&self) -> u8 {
        match self {
            Basis::Measured => 0,
            Basis::Between => 1,
            Basis::Computed => 2,
            Basis::Assumed => 3,
            Basis::Extrapolated(_) => 4,
            Basis::NotMeasured(_) => 5,
        }
    }
}

/// Whether the true figure may lie to one side of the quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    Exact,
    /// Measured where there was more to do.
    AtMost,
}

/// A quantity, what it rests on, and the measured slope or readings that it was taken from.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    pub quantity: Option<Quantity>,
    pub bound: Bound,
    pub basis: Basis,
    /// The slope or readings as measured.
    pub slope: Option<String>,
}

impl Figure {
    /// One that follows from the letter and the assumptions.
    pub fn computed(value: f64, unit: Unit) -> Figure {
        let quantity = Some(Quantity::new(value, unit));
        Figure { quantity, bound: Bound::Exact, basis: Basis::Computed, slope: None }
    }

    /// One that follows from the letter and the assumptions, were all to happen that may.
    pub fn computed_at_most(value: f64, unit: Unit) -> Figure {
        Figure { bound: Bound::AtMost, ..Figure::computed(value, unit) }
    }

    /// One that no run gave yet; `wanted` names the slope.
    pub fn not_measured(wanted: String) -> Figure {
        let (quantity, bound, basis) = (None, Bound::Exact, Basis::NotMeasured(vec![wanted]));
        Figure { quantity, bound, basis, slope: None }
    }

    /// The other, where this one was not measured.
    pub fn or(self, other: Figure) -> Figure {
        if self.quantity.is_none() {
            return other;
        }
        self
    }

    /// The sum of two figures of the same unit, as sure as the less sure one.
    pub fn plus(self, other: Figure) -> Figure {
        let (Some(left), Some(right)) = (self.quantity, other.quantity) else {
            return self.not_measured_with(other);
        };
        let bound = if other.bound == Bound::AtMost { Bound::AtMost } else { self.bound };
        let basis = self.basis.weaker(other.basis);
        let slopes: Vec<String> = self.slope.into_iter().chain(other.slope).collect();
        let slope = (!slopes.is_empty()).then(|| slopes.join("; "));
        Figure { quantity: Some(Quantity::new(left.value + right.value, left.unit)), bound, basis, slope }
    }

    /// What is wanted of both, where at least one was not measured.
    fn not_measured_with(self, other: Figure) -> Figure {
        match (self.basis, other.basis) {
            (Basis::NotMeasured(mut wanted), Basis::NotMeasured(more)) => {
                wanted.extend(more);
                let (quantity, bound, slope) = (None, Bound::Exact, None);
                Figure { quantity, bound, basis: Basis::NotMeasured(wanted), slope }
            }
            (basis @ Basis::NotMeasured(_), _) | (_, basis) => {
                Figure { quantity: None, bound: Bound::Exact, basis, slope: None }
            }
        }
    }

    /// The cell of a table.
    pub fn cell(&self) -> String {
        let Some(quantity) = self.quantity else { return "not measured".into() };
        let sign = if self.bound == Bound::AtMost { "at most " } else { "" };
        let basis = match &self.basis {
            Basis::Measured => "measured".to_string(),
            Basis::Between => "measured, between two sizes".to_string(),
            Basis::Extrapolated(warning) => format!("**extrapolated**: {warning}"),
            Basis::Computed => "computed".to_string(),
            Basis::Assumed => "assumed".to_string(),
            Basis::NotMeasured(_) => "not measured".to_string(),
        };
        format!("{sign}{quantity} ({basis})")
    }
}
