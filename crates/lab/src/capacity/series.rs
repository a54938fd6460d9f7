//! Looks up a measured figure at a given size: from a fitted slope if there is one, otherwise from the readings at
//! single sizes.
//!
//! A straight slope is used as a line, from its smallest size up to twice its largest. Beyond that the line is
//! extrapolated. Below the smallest size, the mean at the smallest size is an upper bound of the figure. A slope that
//! bends is interpolated between its means, and extrapolated beyond its largest size.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{format_number, Quantity, Unit};
use crate::measured::{Measurements, Reading, Slope};

/// A straight line is used without a warning up to this multiple of its largest measured size.
const MAX_TRUSTED_SIZE_RATIO: f64 = 2.0;
/// Significant digits to which the size at which a limit is reached is rounded down.
const LIMIT_SIZE_DIGITS: i32 = 2;
/// A figure counts as not growing with the size if its range over all sizes is at most this share of its maximum.
const FLAT_RELATIVE_RANGE: f64 = 0.1;
/// A reading beyond the line's largest size contradicts the line if the two differ by more than this factor.
const MAX_READING_RATIO: f64 = 1.2;

/// A measured figure and the size that it is measured against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Series {
    pub role: &'static str,
    pub figure: &'static str,
    pub against: &'static str,
    pub unit: Unit,
}

/// A value and the size at which it was measured.
#[derive(Clone, Copy)]
struct Sample {
    size: f64,
    value: f64,
}

impl Series {
    /// The figure at this size.
    pub fn at(&self, measured: &Measurements, size: f64) -> Figure {
        let readings = self.readings(measured);
        match self.slope(measured) {
            None => self.figure_among_samples(&readings, size),
            Some(slope) if size < smallest_size(slope) => self.figure_among_samples(&means(slope), size),
            Some(slope) if slope.straight || size > largest_size(slope) => {
                self.figure_on_line(slope, &readings, size, slope.fixed + slope.each * size)
            }
            Some(slope) => self.figure_among_samples(&means(slope), size),
        }
    }

    /// The growth of the figure from size 0 to this size; 0 if the slope is flat.
    pub fn growth(&self, measured: &Measurements, size: f64) -> Figure {
        let Some(slope) = self.slope(measured) else { return Figure::not_measured(self.slope_name()) };
        if is_flat(slope) {
            return self.figure_on_line(slope, &[], size, 0.0);
        }
        let from_zero = smallest_size(slope) == 0.0 && size <= largest_size(slope);
        if slope.straight || !from_zero {
            return self.figure_on_line(slope, &[], size, slope.each * size);
        }
        let at_size = self.figure_among_samples(&means(slope), size);
        let grown =
            at_size.quantity.map(|quantity| Quantity::new(quantity.value - slope.means[0], self.unit));
        Figure { quantity: grown, ..at_size }
    }

    /// The growth of the figure from size 0 to size 1.
    pub fn growth_per_unit(&self, measured: &Measurements) -> Figure {
        self.growth(measured, 1.0)
    }

    /// The size at which the figure reaches this limit.
    pub fn size_at_limit(&self, measured: &Measurements, limit: f64) -> Figure {
        match self.slope(measured) {
            Some(slope) if slope.straight => self.size_at_limit_on_line(slope, limit),
            Some(slope) => self.size_at_limit_between_samples(&means(slope), limit),
            None => self.size_at_limit_between_samples(&self.readings(measured), limit),
        }
    }

    /// The name of the slope on the page.
    pub fn slope_name(&self) -> String {
        format!("{}: {} against {}", self.role, self.figure, self.against)
    }

    fn slope<'a>(&self, measured: &'a Measurements) -> Option<&'a Slope> {
        let matches = |slope: &&Slope| {
            slope.role == self.role && slope.figure == self.figure && slope.against == self.against
        };
        measured.slopes.iter().find(matches)
    }

    /// The readings at single sizes, sorted by size.
    fn readings(&self, measured: &Measurements) -> Vec<Sample> {
        let matches = |reading: &&Reading| reading.role == self.role && reading.figure == self.figure;
        let sample = |reading: &Reading| {
            let size = parse_size(&reading.at, self.against)?;
            Some(Sample { size, value: reading.value })
        };
        let mut samples: Vec<Sample> = measured.readings.iter().filter(matches).filter_map(sample).collect();
        samples.sort_by(|left, right| left.size.total_cmp(&right.size));
        samples
    }

    /// A value derived from the line, with a warning if the line is not reliable at this size.
    fn figure_on_line(&self, slope: &Slope, readings: &[Sample], size: f64, value: f64) -> Figure {
        let quantity = Some(Quantity::new(value, self.unit));
        let basis = basis_on_line(slope, readings, size);
        Figure { quantity, bound: Bound::Exact, basis, source: Some(self.describe_line(slope)) }
    }

    fn size_at_limit_on_line(&self, slope: &Slope, limit: f64) -> Figure {
        let size = floor_to_digits((limit - slope.fixed) / slope.each, LIMIT_SIZE_DIGITS);
        let quantity = Some(Quantity::new(size, Unit::Count));
        let basis = basis_on_line(slope, &[], size);
        Figure { quantity, bound: Bound::Exact, basis, source: Some(self.describe_line(slope)) }
    }

    /// Interpolates between samples. Beyond the largest size the figure counts as not measured; below the smallest
    /// size, the value at the smallest size is an upper bound.
    fn figure_among_samples(&self, samples: &[Sample], size: f64) -> Figure {
        let source = self.describe_samples(samples);
        let upper_index = samples.iter().position(|sample| sample.size >= size);
        let (value, bound, basis) = match upper_index {
            None => return Figure { source, ..Figure::not_measured(self.slope_name()) },
            Some(index) if samples[index].size == size => {
                (samples[index].value, Bound::Exact, Basis::Measured)
            }
            Some(0) => (samples[0].value, Bound::AtMost, Basis::Measured),
            Some(index) => {
                let (low, high) = (samples[index - 1], samples[index]);
                let value = low.value + (high.value - low.value) * (size - low.size) / (high.size - low.size);
                (value, Bound::Exact, Basis::Interpolated)
            }
        };
        Figure { quantity: Some(Quantity::new(value, self.unit)), bound, basis, source }
    }

    fn size_at_limit_between_samples(&self, samples: &[Sample], limit: f64) -> Figure {
        let source = self.describe_samples(samples);
        let pair = samples.windows(2).find(|pair| pair[0].value <= limit && limit <= pair[1].value);
        let Some(&[low, high]) = pair else {
            return Figure { source, ..Figure::not_measured(self.slope_name()) };
        };
        let size = low.size + (high.size - low.size) * (limit - low.value) / (high.value - low.value);
        let quantity = Some(Quantity::new(floor_to_digits(size, LIMIT_SIZE_DIGITS), Unit::Count));
        Figure { quantity, bound: Bound::Exact, basis: Basis::Interpolated, source }
    }

    fn describe_line(&self, slope: &Slope) -> String {
        let (smallest, largest) = (format_number(smallest_size(slope)), format_number(largest_size(slope)));
        if is_flat(slope) {
            let mean = slope.means.iter().sum::<f64>() / slope.means.len() as f64;
            let mean = Quantity::new(mean, self.unit);
            return format!("{mean} at {smallest} to {largest} {}, no growth seen", self.against);
        }
        let fixed = Quantity::new(slope.fixed, self.unit);
        let each = Quantity::new(slope.each, self.unit);
        format!("{fixed} + {each} each, {smallest} to {largest} {}", self.against)
    }

    fn describe_samples(&self, samples: &[Sample]) -> Option<String> {
        let describe = |sample: &Sample| {
            format!("{} at {}", Quantity::new(sample.value, self.unit), format_number(sample.size))
        };
        let descriptions: Vec<String> = samples.iter().map(describe).collect();
        (!descriptions.is_empty()).then(|| format!("{} {}", descriptions.join(", "), self.against))
    }
}

fn basis_on_line(slope: &Slope, readings: &[Sample], size: f64) -> Basis {
    let largest = largest_size(slope);
    if !slope.straight {
        return Basis::Extrapolated("the measurements do not lie on a straight line".into());
    }
    if size <= MAX_TRUSTED_SIZE_RATIO * largest {
        return Basis::Measured;
    }
    let distance = format!("{} times the largest fitted size", format_number(size / largest));
    let contradicting = readings.iter().rev().find(|reading| contradicts(slope, reading));
    let warning = match contradicting {
        Some(reading) => {
            let ratio = ratio_to_line(slope, reading);
            format!(
                "{distance}; a reading at {} is {} times the fitted line",
                format_number(reading.size),
                format_number(ratio)
            )
        }
        None => distance,
    };
    Basis::Extrapolated(warning)
}

/// Whether a reading lies beyond the line's largest size and far from the line.
fn contradicts(slope: &Slope, reading: &Sample) -> bool {
    let ratio = ratio_to_line(slope, reading);
    reading.size > largest_size(slope) && !(1.0 / MAX_READING_RATIO..=MAX_READING_RATIO).contains(&ratio)
}

fn ratio_to_line(slope: &Slope, reading: &Sample) -> f64 {
    reading.value / (slope.fixed + slope.each * reading.size)
}

fn is_flat(slope: &Slope) -> bool {
    let largest = slope.means.iter().copied().fold(f64::MIN, f64::max);
    let smallest = slope.means.iter().copied().fold(f64::MAX, f64::min);
    largest - smallest <= FLAT_RELATIVE_RANGE * largest
}

/// Rounds a size down to this many significant digits, so that the figure at the result stays within the limit. Returns
/// 0 for a negative size, where the figure exceeds the limit even at size 0.
fn floor_to_digits(value: f64, digits: i32) -> f64 {
    if value <= 0.0 {
        return 0.0;
    }
    let step = 10_f64.powi(value.log10().floor() as i32 + 1 - digits);
    (value / step).floor() * step
}

/// The mean measured at each size.
fn means(slope: &Slope) -> Vec<Sample> {
    let pairs = slope.sizes.iter().copied().zip(slope.means.iter().copied());
    pairs.map(|(size, value)| Sample { size, value }).collect()
}

fn smallest_size(slope: &Slope) -> f64 {
    slope.sizes.iter().copied().fold(f64::INFINITY, f64::min)
}

fn largest_size(slope: &Slope) -> f64 {
    slope.sizes.iter().copied().fold(0.0, f64::max)
}

/// Parses the size from the conditions of a reading, such as `1,000` in `1,000 workers listed, one change a second`.
fn parse_size(conditions: &str, against: &str) -> Option<f64> {
    let (size, rest) = conditions.split_once(' ')?;
    let rest = rest.strip_prefix(against)?;
    let is_complete_name = rest.is_empty() || rest.starts_with(',');
    is_complete_name.then(|| size.replace(',', "").parse().ok())?
}
