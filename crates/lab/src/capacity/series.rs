//! Looking up what was measured: a slope where there is one, else the readings at single sizes.
//!
//! A straight slope is used as a line, from its smallest size up to twice its largest. Beyond that it is extrapolated, and
//! below its smallest size the figure there is an upper bound. A slope that bends is read between its means.

use super::figure::{Basis, Bound, Figure};
use super::quantity::{number, Quantity, Unit};
use crate::measured::{Measurements, Reading, Slope};

/// How far beyond the largest measured size a straight line may be used without a warning.
const TRUSTED_REACH: f64 = 2.0;
/// Digits that the size at which a limit is reached is told with.
const DIGITS_OF_REACH: i32 = 2;
/// A figure that differs by less than this share over all sizes does not grow with them.
const FLAT: f64 = 0.1;
/// A reading beyond the line that is so many times off contradicts it.
const CONTRADICTS: f64 = 1.2;

/// A measured figure and what it grows with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Series {
    pub role: &'static str,
    pub figure: &'static str,
    pub against: &'static str,
    pub unit: Unit,
}

/// A size and the value measured there.
type Sample = (f64, f64);

impl Series {
    /// Its value at this size.
    pub fn at(&self, measured: &Measurements, size: f64) -> Figure {
        let readings = self.readings(measured);
        match self.slope(measured) {
            None => self.among(&readings, size),
            Some(slope) if size < smallest_size(slope) => self.among(&means(slope), size),
            Some(slope) if slope.straight || size > largest_size(slope) => {
                self.on_line(slope, &readings, size, slope.fixed + slope.each * size)
            }
            Some(slope) => self.among(&means(slope), size),
        }
    }

    /// What it grows by up to this size, on top of what is there at size 0.
    pub fn growth(&self, measured: &Measurements, size: f64) -> Figure {
        let Some(slope) = self.slope(measured) else { return Figure::not_measured(self.wanted()) };
        if is_flat(slope) {
            return self.on_line(slope, &[], size, 0.0);
        }
        let from_zero = smallest_size(slope) == 0.0 && size <= largest_size(slope);
        if slope.straight || !from_zero {
            return self.on_line(slope, &[], size, slope.each * size);
        }
        let there = self.among(&means(slope), size);
        let grown = there.quantity.map(|there| Quantity::new(there.value - slope.means[0], self.unit));
        Figure { quantity: grown, ..there }
    }

    /// What one more adds.
    pub fn each(&self, measured: &Measurements) -> Figure {
        self.growth(measured, 1.0)
    }

    /// The size at which it comes to this limit.
    pub fn reaches(&self, measured: &Measurements, limit: f64) -> Figure {
        match self.slope(measured) {
            Some(slope) if slope.straight => self.reaches_on_line(slope, limit),
            Some(slope) => self.reaches_among(&means(slope), limit),
            None => self.reaches_among(&self.readings(measured), limit),
        }
    }

    /// How the page names a slope that it wants.
    pub fn wanted(&self) -> String {
        format!("{}: {} against {}", self.role, self.figure, self.against)
    }

    fn slope<'a>(&self, measured: &'a Measurements) -> Option<&'a Slope> {
        let same = |slope: &&Slope| {
            slope.role == self.role && slope.figure == self.figure && slope.against == self.against
        };
        measured.slopes.iter().find(same)
    }

    /// Readings at single sizes, by size.
    fn readings(&self, measured: &Measurements) -> Vec<Sample> {
        let same = |reading: &&Reading| reading.role == self.role && reading.figure == self.figure;
        let sized = |reading: &Reading| Some((size_of(&reading.at, self.against)?, reading.value));
        let mut found: Vec<Sample> = measured.readings.iter().filter(same).filter_map(sized).collect();
        found.sort_by(|one, other| one.0.total_cmp(&other.0));
        found
    }

    /// A value taken from the line, with what may be wrong about it at this size.
    fn on_line(&self, slope: &Slope, readings: &[Sample], size: f64, value: f64) -> Figure {
        let quantity = Some(Quantity::new(value, self.unit));
        let basis = basis_on_line(slope, readings, size);
        Figure { quantity, bound: Bound::Exact, basis, slope: Some(self.line_text(slope)) }
    }

    fn reaches_on_line(&self, slope: &Slope, limit: f64) -> Figure {
        let size = floor_to_digits((limit - slope.fixed) / slope.each, DIGITS_OF_REACH);
        let quantity = Some(Quantity::new(size, Unit::Count));
        let basis = basis_on_line(slope, &[], size);
        Figure { quantity, bound: Bound::Exact, basis, slope: Some(self.line_text(slope)) }
    }

    /// Single samples carry no further than they reach; below the smallest they are an upper bound.
    fn among(&self, samples: &[Sample], size: f64) -> Figure {
        let slope = self.samples_text(samples);
        let above = samples.iter().position(|(at, _)| *at >= size);
        let (value, bound, basis) = match above {
            None => return Figure { slope, ..Figure::not_measured(self.wanted()) },
            Some(place) if samples[place].0 == size => (samples[place].1, Bound::Exact, Basis::Measured),
            Some(0) => (samples[0].1, Bound::AtMost, Basis::Measured),
            Some(place) => {
                let ((low, at_low), (high, at_high)) = (samples[place - 1], samples[place]);
                let value = at_low + (at_high - at_low) * (size - low) / (high - low);
                (value, Bound::Exact, Basis::Between)
            }
        };
        Figure { quantity: Some(Quantity::new(value, self.unit)), bound, basis, slope }
    }

    fn reaches_among(&self, samples: &[Sample], limit: f64) -> Figure {
        let slope = self.samples_text(samples);
        let pairs = samples.windows(2).find(|pair| pair[0].1 <= limit && limit <= pair[1].1);
        let Some(&[(low, at_low), (high, at_high)]) = pairs else {
            return Figure { slope, ..Figure::not_measured(self.wanted()) };
        };
        let size = low + (high - low) * (limit - at_low) / (at_high - at_low);
        let quantity = Some(Quantity::new(floor_to_digits(size, DIGITS_OF_REACH), Unit::Count));
        Figure { quantity, bound: Bound::Exact, basis: Basis::Between, slope }
    }

    fn line_text(&self, slope: &Slope) -> String {
        let (smallest, largest) = (number(smallest_size(slope)), number(largest_size(slope)));
        if is_flat(slope) {
            let middle = slope.means.iter().sum::<f64>() / slope.means.len() as f64;
            let middle = Quantity::new(middle, self.unit);
            return format!("{middle} at {smallest} to {largest} {}, no growth seen", self.against);
        }
        let fixed = Quantity::new(slope.fixed, self.unit);
        let each = Quantity::new(slope.each, self.unit);
        format!("{fixed} + {each} each, {smallest} to {largest} {}", self.against)
    }

    fn samples_text(&self, samples: &[Sample]) -> Option<String> {
        let one =
            |(size, value): &Sample| format!("{} at {}", Quantity::new(*value, self.unit), number(*size));
        let all: Vec<String> = samples.iter().map(one).collect();
        (!all.is_empty()).then(|| format!("{} {}", all.join(", "), self.against))
    }
}

fn basis_on_line(slope: &Slope, readings: &[Sample], size: f64) -> Basis {
    let largest = largest_size(slope);
    if !slope.straight {
        return Basis::Extrapolated("what was measured bends".into());
    }
    if size <= TRUSTED_REACH * largest {
        return Basis::Measured;
    }
    let times = format!("{} times the largest size of the line", number(size / largest));
    let contradicted = readings.iter().rev().find(|reading| contradicts(slope, reading));
    let warning = match contradicted {
        Some((at, value)) => {
            let off = value / (slope.fixed + slope.each * at);
            format!("{times}, and at {} a reading is {} times the line", number(*at), number(off))
        }
        None => times,
    };
    Basis::Extrapolated(warning)
}

/// Whether a reading beyond the line's sizes is far from the line.
fn contradicts(slope: &Slope, (at, value): &Sample) -> bool {
    let off = value / (slope.fixed + slope.each * at);
    *at > largest_size(slope) && !(1.0 / CONTRADICTS..=CONTRADICTS).contains(&off)
}

fn is_flat(slope: &Slope) -> bool {
    let most = slope.means.iter().copied().fold(f64::MIN, f64::max);
    let least = slope.means.iter().copied().fold(f64::MAX, f64::min);
    most - least <= FLAT * most
}

/// Rounds down, so that a size which keeps a limit still keeps it; 0 where not even size 0 keeps it.
fn floor_to_digits(value: f64, digits: i32) -> f64 {
    if value <= 0.0 {
        return 0.0;
    }
    let step = 10_f64.powi(value.log10().floor() as i32 + 1 - digits);
    (value / step).floor() * step
}

/// Sizes and the means measured there.
fn means(slope: &Slope) -> Vec<Sample> {
    slope.sizes.iter().copied().zip(slope.means.iter().copied()).collect()
}

fn smallest_size(slope: &Slope) -> f64 {
    slope.sizes.iter().copied().fold(f64::INFINITY, f64::min)
}

fn largest_size(slope: &Slope) -> f64 {
    slope.sizes.iter().copied().fold(0.0, f64::max)
}

/// The size in a reading's conditions, as `1,000` in `1,000 workers listed, one change a second`.
fn size_of(at: &str, against: &str) -> Option<f64> {
    let (size, rest) = at.split_once(' ')?;
    let rest = rest.strip_prefix(against)?;
    let ends = rest.is_empty() || rest.starts_with(',');
    ends.then(|| size.replace(',', "").parse().ok())?
}
