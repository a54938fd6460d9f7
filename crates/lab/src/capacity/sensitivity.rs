//! The sensitivity of the page to each assumption: which figures change if it is halved or doubled.

use super::assumptions::{Assumption, Sizes};
use super::figure::Basis;
use super::row::Row;
use super::{requests, roles};
use crate::measured::Measurements;

const HALF: f64 = 0.5;
const DOUBLE: f64 = 2.0;

/// The rows of the page with one assumption halved and with it doubled.
pub struct Sensitivity {
    pub assumption: Assumption,
    /// The indices of the rows whose figure changes in at least one of the two cases.
    pub changed_rows: Vec<usize>,
    pub rows_at_half: Vec<Row>,
    pub rows_at_double: Vec<Row>,
}

/// All rows of the page: those of the roles, then those of the section on requests.
pub fn all_rows(sizes: Sizes, measured: &Measurements) -> Vec<Row> {
    let mut rows = roles::rows(&roles::Inputs { sizes, measured });
    rows.extend(requests::rows(&sizes));
    rows
}

/// The sensitivity of the unscaled rows to each assumption, in the order of the page.
pub fn analyze_all(base: &[Row], measured: &Measurements) -> Vec<Sensitivity> {
    Assumption::ALL.iter().map(|assumption| analyze(*assumption, base, measured)).collect()
}

fn analyze(assumption: Assumption, base: &[Row], measured: &Measurements) -> Sensitivity {
    let rows_at_half = all_rows(Sizes::scaled(assumption, HALF), measured);
    let rows_at_double = all_rows(Sizes::scaled(assumption, DOUBLE), measured);
    let differs = |index: &usize| {
        let quantity = base[*index].figure.quantity;
        rows_at_half[*index].figure.quantity != quantity || rows_at_double[*index].figure.quantity != quantity
    };
    let changed_rows = (0..base.len()).filter(differs).collect();
    Sensitivity { assumption, changed_rows, rows_at_half, rows_at_double }
}

/// Marks the computed figures that depend on at least one assumption.
pub fn mark_assumed(rows: &mut [Row], sensitivities: &[Sensitivity]) {
    let changed_rows = sensitivities.iter().flat_map(|sensitivity| &sensitivity.changed_rows);
    for index in changed_rows {
        let basis = &mut rows[*index].figure.basis;
        if *basis == Basis::Computed {
            *basis = Basis::Assumed;
        }
    }
}
