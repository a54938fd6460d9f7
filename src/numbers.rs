//! Small numeric functions.

/// Preferences and rate levels are rounded to powers of this ratio, so that small changes cost no lines.
const ROUNDING_STEP_RATIO: f64 = 1.1;

/// The mean of the values; `None` if there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// Rounds a positive value to a power of [`ROUNDING_STEP_RATIO`].
pub(crate) fn round_to_step(value: f64) -> f64 {
    ROUNDING_STEP_RATIO.powf((value.ln() / ROUNDING_STEP_RATIO.ln()).round())
}

/// The median; of an even number of values, the upper of the two in the middle. Panics if there are no values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
