//! Types of leaves and their values: the built-in types with their restrictions (RFC 7950 section 9), and values in
//! canonical form.

use std::fmt;

use regex::Regex;

/// The value of a leaf. List entries are sorted by their key values, in the order derived from the variants and their
/// fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    Integer(i128),
    /// The value in units of the last fraction digit, and the number of fraction digits.
    Decimal(i64, u8),
    Boolean(bool),
    /// The value of a string or enumeration type.
    Text(String),
    /// The value of the type `empty`.
    Empty,
}

impl Value {
    /// The decimal with this many fraction digits that is nearest to `number`; `None` if `number` is NaN or out of
    /// range.
    pub fn decimal(number: f64, fraction_digits: u8) -> Option<Value> {
        let units = (number * 10f64.powi(fraction_digits.into())).round();
        // 9e18 is just below i64::MAX (about 9.22e18).
        (units.is_finite() && units.abs() < 9e18).then_some(Value::Decimal(units as i64, fraction_digits))
    }

    /// A value of a string or enumeration type.
    pub fn text(text: impl Into<String>) -> Value {
        Value::Text(text.into())
    }

    /// The floating-point number nearest to an integer or decimal; `None` for other values.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Integer(number) => Some(*number as f64),
            // Dividing the units by a power of ten could round twice; parsing the text rounds once.
            Value::Decimal(..) => self.to_string().parse().ok(),
            _ => None,
        }
    }

    /// The value of an integer within the range of `u64`; `None` for other values.
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Value::Integer(number) => u64::try_from(*number).ok(),
            _ => None,
        }
    }

    /// The text of a string or enumeration value; `None` for other values.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Integer(number) => write!(f, "{number}"),
            Value::Decimal(units, fraction_digits) => {
                let units_per_one = 10u64.pow((*fraction_digits).into());
                let integer = units.unsigned_abs() / units_per_one;
                let fraction = units.unsigned_abs() % units_per_one;
                let fraction = format!("{fraction:0width$}", width = usize::from(*fraction_digits));
                let fraction = fraction.trim_end_matches('0');
                let sign = if *units < 0 { "-" } else { "" };
                write!(f, "{sign}{integer}.{}", if fraction.is_empty() { "0" } else { fraction })
            }
            Value::Boolean(boolean) => write!(f, "{boolean}"),
            Value::Text(text) => f.write_str(text),
            Value::Empty => Ok(()),
        }
    }
}

/// Allowed ranges as pairs of the lower and the upper bound, both inclusive.
pub type Ranges<N> = Vec<(N, N)>;

/// The type of a leaf or leaf-list.
#[derive(Clone, Debug)]
pub enum Type {
    /// An integer of 8 to 64 bits. 64-bit integers are strings in JSON (RFC 7951 section 6.1).
    Integer {
        is_64_bit: bool,
        ranges: Ranges<i128>,
    },
    /// The `decimal64` type: its number of fraction digits, and its ranges in units of the last fraction digit.
    Decimal {
        fraction_digits: u8,
        ranges: Ranges<i128>,
    },
    /// The `string` type: the allowed lengths in characters, and the patterns, all of which a value must match.
    Text {
        lengths: Ranges<i128>,
        patterns: Vec<Regex>,
    },
    Boolean,
    /// The `enumeration` type with the names of its values.
    Enumeration(Vec<String>),
    Empty,
}

impl Type {
    /// The built-in type of this name without restrictions; `None` if it is unknown or not supported.
    pub fn builtin(name: &str) -> Option<Type> {
        let integer =
            |is_64_bit: bool, min: i128, max: i128| Type::Integer { is_64_bit, ranges: vec![(min, max)] };
        Some(match name {
            "int8" => integer(false, i8::MIN.into(), i8::MAX.into()),
            "int16" => integer(false, i16::MIN.into(), i16::MAX.into()),
            "int32" => integer(false, i32::MIN.into(), i32::MAX.into()),
            "int64" => integer(true, i64::MIN.into(), i64::MAX.into()),
            "uint8" => integer(false, 0, u8::MAX.into()),
            "uint16" => integer(false, 0, u16::MAX.into()),
            "uint32" => integer(false, 0, u32::MAX.into()),
            "uint64" => integer(true, 0, u64::MAX.into()),
            "decimal64" => Type::Decimal {
                fraction_digits: 0,
                ranges: vec![(i128::from(i64::MIN), i128::from(i64::MAX))],
            },
            "string" => Type::Text { lengths: vec![(0, i128::from(u64::MAX))], patterns: Vec::new() },
            "boolean" => Type::Boolean,
            "enumeration" => Type::Enumeration(Vec::new()),
            "empty" => Type::Empty,
            _ => return None,
        })
    }

    /// Parses the text of a value. The error says what is allowed.
    pub fn parse(&self, text: &str) -> Result<Value, String> {
        match self {
            Type::Integer { ranges, .. } => {
                let number: i128 =
                    text.trim().parse().map_err(|_| format!("{} is not an integer", quoted(text)))?;
                check_within(number, ranges)
                    .map_err(|allowed| format!("{number} is not within {allowed}"))?;
                Ok(Value::Integer(number))
            }
            Type::Decimal { fraction_digits, ranges } => {
                let units = parse_decimal(text.trim(), *fraction_digits).ok_or_else(|| {
                    format!(
                        "{} is not a decimal number with at most {fraction_digits} fraction digits",
                        quoted(text)
                    )
                })?;
                let decimal_text = |units: i128| Value::Decimal(units as i64, *fraction_digits).to_string();
                let range_text =
                    |(min, max): &(i128, i128)| format!("{}..{}", decimal_text(*min), decimal_text(*max));
                check_within(units, ranges).map_err(|_| {
                    let ranges: Vec<String> = ranges.iter().map(range_text).collect();
                    format!("{} is not within {}", decimal_text(units), ranges.join(" | "))
                })?;
                Ok(Value::Decimal(units as i64, *fraction_digits))
            }
            Type::Text { lengths, patterns } => {
                check_within(text.chars().count() as i128, lengths)
                    .map_err(|allowed| format!("{} is not {allowed} characters long", quoted(text)))?;
                if let Some(pattern) = patterns.iter().find(|pattern| !pattern.is_match(text)) {
                    let pattern = pattern.as_str();
                    let pattern = pattern.strip_prefix("^(?:").and_then(|p| p.strip_suffix(")$"));
                    return Err(format!("{} does not match {}", quoted(text), pattern.unwrap_or_default()));
                }
                Ok(Value::Text(text.to_string()))
            }
            Type::Boolean => match text.trim() {
                "true" => Ok(Value::Boolean(true)),
                "false" => Ok(Value::Boolean(false)),
                _ => Err(format!("{} is neither true nor false", quoted(text))),
            },
            Type::Enumeration(names) => match names.iter().find(|name| *name == text.trim()) {
                Some(name) => Ok(Value::Text(name.clone())),
                None => Err(format!("{} is none of {}", quoted(text), names.join(", "))),
            },
            Type::Empty if text.is_empty() => Ok(Value::Empty),
            Type::Empty => Err("the type empty takes no value".into()),
        }
    }
}

const QUOTED_MAX_CHARS: usize = 60;

/// Quotes input text, such as that of a peer, for an error message. Control characters are escaped and long text is
/// truncated, so that the message stays on one short line.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= QUOTED_MAX_CHARS {
        return format!("{text:?}");
    }
    format!("{:?} (truncated)", text.chars().take(QUOTED_MAX_CHARS).collect::<String>())
}

/// Checks that a number is in one of the ranges. The error lists the ranges.
fn check_within(number: i128, ranges: &Ranges<i128>) -> Result<(), String> {
    if ranges.iter().any(|(min, max)| (*min..=*max).contains(&number)) {
        return Ok(());
    }
    let range_text = |(min, max): &(i128, i128)| match min == max {
        true => min.to_string(),
        false => format!("{min}..{max}"),
    };
    Err(ranges.iter().map(range_text).collect::<Vec<_>>().join(" | "))
}

/// Maximum number of digits before the decimal point, and of those after it. An i64 has at most 19 digits, and with up
/// to 18 fraction digits the number still fits in an i128.
const MAX_PART_DIGITS: usize = 20;

/// Parses the text of a decimal into units of its last fraction digit. Returns `None` if the text is not a decimal
/// number, needs more fraction digits, or is out of the range of `i64`.
pub(crate) fn parse_decimal(text: &str, fraction_digits: u8) -> Option<i128> {
    let (sign, unsigned) = match text.strip_prefix('-') {
        Some(unsigned) => (-1, unsigned),
        None => (1, text.strip_prefix('+').unwrap_or(text)),
    };
    let (integer, fraction) = unsigned.split_once('.').unwrap_or((unsigned, ""));
    let has_valid_digits =
        |text: &str| text.len() <= MAX_PART_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let fraction =
        if fraction.len() > fraction_digits.into() { fraction.trim_end_matches('0') } else { fraction };
    if integer.is_empty()
        || unsigned.ends_with('.')
        || !has_valid_digits(integer)
        || !has_valid_digits(fraction)
        || fraction.len() > fraction_digits.into()
    {
        return None;
    }
    let units: i128 =
        format!("{integer}{fraction:0<width$}", width = usize::from(fraction_digits)).parse().ok()?;
    i64::try_from(sign * units).ok().map(i128::from)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decimals_are_parsed_exactly_and_formatted_canonically() {
        let weight = Type::Decimal { fraction_digits: 4, ranges: vec![(0, 10_000_000)] };
        for (text, canonical) in
            [("1", "1.0"), ("0.25", "0.25"), ("1.50000", "1.5"), (" 7.1 ", "7.1"), ("+3", "3.0")]
        {
            assert_eq!(weight.parse(text).unwrap().to_string(), canonical);
        }
        assert_eq!(weight.parse("0.1").unwrap().as_f64(), Some(0.1));
        for text in
            ["", ".", "1.", ".5", "1e3", "NaN", "inf", "1.23456", "-0.1", "1000.1", "9".repeat(40).as_str()]
        {
            assert!(weight.parse(text).is_err(), "{text:?}");
        }
        assert_eq!(Value::decimal(-0.5, 3), Some(Value::Decimal(-500, 3)));
        assert_eq!(Value::Decimal(-500, 3).to_string(), "-0.5");
        assert_eq!(Value::decimal(f64::NAN, 3), None);
        assert_eq!(Value::decimal(1e300, 3), None);
    }

    #[test]
    fn the_error_for_an_invalid_value_names_what_is_allowed() {
        let error = |ty: &Type, text: &str| ty.parse(text).unwrap_err();
        let short_word =
            Type::Text { lengths: vec![(1, 3)], patterns: vec![Regex::new("^(?:[a-z]+)$").unwrap()] };
        assert_eq!(error(&short_word, "long"), "\"long\" is not 1..3 characters long");
        assert_eq!(error(&short_word, "a\n"), "\"a\\n\" does not match [a-z]+");
        let digit = Type::Integer { is_64_bit: false, ranges: vec![(1, 3), (7, 7)] };
        assert_eq!(error(&digit, "5"), "5 is not within 1..3 | 7");
        assert_eq!(error(&Type::Boolean, "yes"), "\"yes\" is neither true nor false");
        assert_eq!(error(&Type::Enumeration(vec!["a".into(), "b".into()]), "c"), "\"c\" is none of a, b");
        assert!(error(&digit, &"9".repeat(1000)).len() < 120);
    }
}
