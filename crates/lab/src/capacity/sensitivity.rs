//! What changes on the page if an assumption is off by two.

use super::assumptions::{Assumption, Sizes};
use super::figure::Basis;
use super::row::Row;
use super::{requests, roles};
use crate::measured::Measurements;

const HALF: f64 = 0.5;
const DOUBLE: f64 = 2.0;

/// The page's rows with an assumption halved and doubled.
pub struct Sensitivity {
    pub assumption: Assumption,
    /// The places of the rows that move.
    pub moved: Vec<usize>,
    pub half: Vec<Row>,
    pub double: Vec<Row>,
}

/// All rows of the page, those of the roles first.
pub fn all_rows(sizes: Sizes, measured: &Measurements) -> Vec<Row> {
    let mut rows = roles::rows(&roles::Inputs { sizes, measured });
    rows.extend(requests::rows(&sizes));
    rows
}

/// What each assumption moves.
pub fn of_all(base: &[Row], measured: &Measurements) -> Vec<Sensitivity> {
    Assumption::ALL.iter().map(|assumption| of_one(*assumption, base, measured)).collect()
}

fn of_one(assumption: Assumption, base: &[Row], measured: &Measurements) -> Sensitivity {
    let half = all_rows(Sizes::scaled(assumption, HALF), measured);
    let double = all_rows(Sizes::scaled(assumption, DOUBLE), measured);
    let differs = |place: &usize| {
        let quantity = base[*place].figure.quantity;
        half[*place].figure.quantity != quantity || double[*place].figure.quantity != quantity
    };
    let moved = (0..base.len()).filter(differs).collect();
    Sensitivity { assumption, moved, half, double }
}

/// Marks the computed figures that rest on at least one assumption.
pub fn mark_assumed(rows: &mut [Row], sensitivities: &[Sensitivity]) {
    let moved = sensitivities.iter().flat_map(|sensitivity| &sensitivity.moved);
    for place in moved {
        let basis = &mut rows[*place].figure.basis;
        if *basis == Basis::Computed {
            *basis = Basis::Assumed;
        }
    }
}
