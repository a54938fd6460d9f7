//! Quantities with their units, and how they are written on the page.

use std::fmt;

/// What a number counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Count,
    PerSecond,
    Bytes,
    BytesPerSecond,
    /// Processor time as a share of one core.
    Cores,
    Seconds,
    /// A part of a whole.
    Share,
}

/// A number with its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    pub value: f64,
    pub unit: Unit,
}

impl Quantity {
    /// A quantity of this unit.
    pub fn new(value: f64, unit: Unit) -> Quantity {
        Quantity { value, unit }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.value;
        match self.unit {
            Unit::Count => write!(f, "{}", number(value)),
            Unit::PerSecond => write!(f, "{}/s", number(value)),
            Unit::Bytes => write!(f, "{}", bytes(value)),
            Unit::BytesPerSecond => write!(f, "{}/s", bytes(value)),
            Unit::Cores => write!(f, "{}% of a core", number(value * 100.0)),
            Unit::Seconds => write!(f, "{}", duration(value)),
            Unit::Share => write!(f, "{}%", number(value * 100.0)),
        }
    }
}

/// A plain number: separators from a thousand on, two significant digits below ten.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 99.5 {
        return with_separators(value.round());
    }
    let decimals = match size {
        0.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size => 1 - size.log10().floor() as i32,
    };
    let text = format!("{value:.*}", decimals.max(0) as usize);
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn with_separators(whole: f64) -> String {
    let digits = format!("{:.0}", whole.abs());
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if whole < 0.0 {
        text.insert(0, '-');
    }
    text
}

fn bytes(value: f64) -> String {
    let steps = [(1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    match steps.iter().find(|(size, _)| value.abs() >= *size) {
        Some((size, name)) => format!("{} {name}", number(value / size)),
        None => format!("{} B", number(value)),
    }
}

fn duration(seconds: f64) -> String {
    const MINUTE: f64 = 60.0;
    const HOUR: f64 = 60.0 * MINUTE;
    match seconds {
        seconds if seconds < 1.0 => format!("{} ms", number(seconds * 1000.0)),
        seconds if seconds < 2.0 * MINUTE => format!("{} s", number(seconds)),
        seconds if seconds < 2.0 * HOUR => format!("{} min", number(seconds / MINUTE)),
        seconds => format!("{} h", number(seconds / HOUR)),
    }
}
