//! Bounds on how a figure grows with the size. They are ratios within one run, so they do not depend on the speed of
//! the machine.

use super::fit::Fit;

/// The limit on the slope of memory above the middle size, relative to the slope below it.
const MAX_SLOPE_RATIO: f64 = 1.6;
/// The limit on any other figure at the largest size, relative to the value extrapolated from the sizes up to the
/// middle one. It leaves room for other load on the machine, which disturbs processor time, and for a change just
/// inside or outside a window, which shifts the bytes per second.
const MAX_RATIO_TO_EXPECTED: f64 = 2.0;
/// A figure that grows by at most this share of its largest mean over all sizes counts as independent of the size.
const NEGLIGIBLE_GROWTH: f64 = 0.1;
const MEMORY_UNIT: &str = "B";

/// How a figure grows, in the form that its bound limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Growth {
    /// Negligible growth, or a decrease.
    None,
    /// The slope above the middle size, relative to the slope below it.
    SlopeRatio(f64),
    /// The value at the largest size, relative to the value expected there.
    RatioToExpected(f64),
}

impl Growth {
    /// The growth of a fitted figure. Memory is compared by its slopes, any other figure by its value at the largest
    /// size.
    pub fn from_fit(fit: &Fit, unit: &str) -> Growth {
        let Some((first, last)) = fit.means.first().zip(fit.means.last()) else { return Growth::None };
        let largest = fit.means.iter().copied().fold(0.0, f64::max);
        if last - first <= NEGLIGIBLE_GROWTH * largest {
            return Growth::None;
        }
        if unit != MEMORY_UNIT {
            // A figure that is zero up to the middle size exceeds any expectation.
            return fit
                .ratio_to_expected()
                .map_or(Growth::RatioToExpected(f64::INFINITY), Growth::RatioToExpected);
        }
        // Memory that grows only above the middle size has no slope below it for comparison.
        fit.slope_ratio().map_or(Growth::SlopeRatio(f64::INFINITY), Growth::SlopeRatio)
    }

    /// Whether the growth is within its limit.
    pub fn is_within_limit(self) -> bool {
        match self {
            Growth::None => true,
            Growth::SlopeRatio(ratio) => ratio <= MAX_SLOPE_RATIO,
            Growth::RatioToExpected(ratio) => ratio <= MAX_RATIO_TO_EXPECTED,
        }
    }
}

impl std::fmt::Display for Growth {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Growth::None => write!(f, "does not grow"),
            Growth::SlopeRatio(ratio) => {
                write!(f, "{ratio:.2} times as fast above the middle (limit {MAX_SLOPE_RATIO})")
            }
            Growth::RatioToExpected(ratio) => {
                write!(
                    f,
                    "{ratio:.2} times the value expected at the largest size (limit {MAX_RATIO_TO_EXPECTED})"
                )
            }
        }
    }
}
