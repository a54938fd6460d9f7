//! Quantities with their units, and their text form on the capacity page.

use std::fmt;

/// The unit of a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Count,
    PerSecond,
    Bytes,
    BytesPerSecond,
    /// Processor time as a share of one core.
    Cores,
    Seconds,
    /// A fraction between 0 and 1, printed as a percentage.
    Share,
}

/// A number with its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    pub value: f64,
    pub unit: Unit,
}

impl Quantity {
    pub fn new(value: f64, unit: Unit) -> Quantity {
        Quantity { value, unit }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.value;
        match self.unit {
            Unit::Count => write!(f, "{}", format_number(value)),
            Unit::PerSecond => write!(f, "{}/s", format_number(value)),
            Unit::Bytes => write!(f, "{}", format_bytes(value)),
            Unit::BytesPerSecond => write!(f, "{}/s", format_bytes(value)),
            Unit::Cores => write!(f, "{}% of a core", format_number(value * 100.0)),
            Unit::Seconds => write!(f, "{}", format_duration(value)),
            Unit::Share => write!(f, "{}%", format_number(value * 100.0)),
        }
    }
}

/// Formats a plain number: an integer with thousands separators from 99.5 on, one decimal from 10 on, two decimals from
/// 1 on, and two significant digits below 1. Trailing zeros are dropped.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 99.5 {
        return with_separators(value.round());
    }
    let decimals = match magnitude {
        0.0 => 0,
        magnitude if magnitude >= 10.0 => 1,
        magnitude if magnitude >= 1.0 => 2,
        magnitude => 1 - magnitude.log10().floor() as i32,
    };
    let text = format!("{value:.*}", decimals.max(0) as usize);
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn with_separators(rounded: f64) -> String {
    let digits = format!("{:.0}", rounded.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if rounded < 0.0 {
        text.insert(0, '-');
    }
    text
}

fn format_bytes(value: f64) -> String {
    let units = [(1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    match units.iter().find(|(bytes, _)| value.abs() >= *bytes) {
        Some((bytes, name)) => format!("{} {name}", format_number(value / bytes)),
        None => format!("{} B", format_number(value)),
    }
}

fn format_duration(seconds: f64) -> String {
    const MINUTE: f64 = 60.0;
    const HOUR: f64 = 60.0 * MINUTE;
    match seconds {
        seconds if seconds < 1.0 => format!("{} ms", format_number(seconds * 1000.0)),
        seconds if seconds < 2.0 * MINUTE => format!("{} s", format_number(seconds)),
        seconds if seconds < 2.0 * HOUR => format!("{} min", format_number(seconds / MINUTE)),
        seconds => format!("{} h", format_number(seconds / HOUR)),
    }
}
