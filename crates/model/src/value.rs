//! Typed leaves: built-in types with their restrictions, RFC 7950 section 9, and values in canonical form.

use std::fmt;

use regex::Regex;

/// A leaf's value. Its order is that of list keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Value {
    Integer(i128),
    /// So many units of the last fraction digit, and how many digits there are.
    Decimal(i64, u8),
    Boolean(bool),
    Text(String),
    Empty,
}

impl Value {
    /// A decimal of the given digits, the nearest; `None` where it does not fit.
    pub fn decimal(figure: f64, digits: u8) -> Option<Value> {
        let units = (figure * 10f64.powi(digits.into())).round();
        (units.is_finite() && units.abs() < 9e18).then_some(Value::Decimal(units as i64, digits))
    }

    pub fn text(text: impl Into<String>) -> Value {
        Value::Text(text.into())
    }

    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Integer(number) => Some(*number as f64),
            // By its text, as that gives the nearest binary figure.
            Value::Decimal(..) => self.to_string().parse().ok(),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Value::Integer(number) => u64::try_from(*number).ok(),
            _ => None,
        }
    }

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
            Value::Decimal(units, digits) => {
                let one = 10u64.pow((*digits).into());
                let (whole, part) = (units.unsigned_abs() / one, units.unsigned_abs() % one);
                let part = format!("{part:0digits$}", digits = usize::from(*digits));
                let part = part.trim_end_matches('0');
                let sign = if *units < 0 { "-" } else { "" };
                write!(f, "{sign}{whole}.{}", if part.is_empty() { "0" } else { part })
            }
            Value::Boolean(yes) => write!(f, "{yes}"),
            Value::Text(text) => f.write_str(text),
            Value::Empty => Ok(()),
        }
    }
}

/// Bounds, each pair inclusive.
pub type Ranges<N> = Vec<(N, N)>;

/// What a leaf may hold.
#[derive(Clone, Debug)]
pub enum Type {
    /// Of 8 to 64 bits; those of 64 are strings in JSON.
    Integer {
        is_64_bit: bool,
        ranges: Ranges<i128>,
    },
    /// Bounds are in units of the last digit.
    Decimal {
        digits: u8,
        ranges: Ranges<i128>,
    },
    Text {
        lengths: Ranges<i128>,
        patterns: Vec<Regex>,
    },
    Boolean,
    Enumeration(Vec<String>),
    Empty,
}

impl Type {
    pub fn builtin(name: &str) -> Option<Type> {
        let integer = |is_64_bit: bool, least: i128, most: i128| Type::Integer {
            is_64_bit,
            ranges: vec![(least, most)],
        };
        Some(match name {
            "int8" => integer(false, i8::MIN.into(), i8::MAX.into()),
            "int16" => integer(false, i16::MIN.into(), i16::MAX.into()),
            "int32" => integer(false, i32::MIN.into(), i32::MAX.into()),
            "int64" => integer(true, i64::MIN.into(), i64::MAX.into()),
            "uint8" => integer(false, 0, u8::MAX.into()),
            "uint16" => integer(false, 0, u16::MAX.into()),
            "uint32" => integer(false, 0, u32::MAX.into()),
            "uint64" => integer(true, 0, u64::MAX.into()),
            "decimal64" => {
                Type::Decimal { digits: 0, ranges: vec![(i128::from(i64::MIN), i128::from(i64::MAX))] }
            }
            "string" => Type::Text { lengths: vec![(0, i128::from(u64::MAX))], patterns: Vec::new() },
            "boolean" => Type::Boolean,
            "enumeration" => Type::Enumeration(Vec::new()),
            "empty" => Type::Empty,
            _ => return None,
        })
    }

    /// Reads a value's text. The error says what may stand there.
    pub fn parse(&self, text: &str) -> Result<Value, String> {
        match self {
            Type::Integer { ranges, .. } => {
                let number: i128 =
                    text.trim().parse().map_err(|_| format!("{} is no whole number", quoted(text)))?;
                within(number, ranges).map_err(|most| format!("{number} is not within {most}"))?;
                Ok(Value::Integer(number))
            }
            Type::Decimal { digits, ranges } => {
                let units = decimal(text.trim(), *digits).ok_or_else(|| {
                    format!("{} is no figure of at most {digits} fraction digits", quoted(text))
                })?;
                let plain = |units: i128| Value::Decimal(units as i64, *digits).to_string();
                let spelled = |(least, most): &(i128, i128)| format!("{}..{}", plain(*least), plain(*most));
                within(units, ranges).map_err(|_| {
                    let ranges: Vec<String> = ranges.iter().map(spelled).collect();
                    format!("{} is not within {}", plain(units), ranges.join(" | "))
                })?;
                Ok(Value::Decimal(units as i64, *digits))
            }
            Type::Text { lengths, patterns } => {
                within(text.chars().count() as i128, lengths)
                    .map_err(|most| format!("{} is not {most} characters long", quoted(text)))?;
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
            Type::Empty => Err("it takes no value".into()),
        }
    }
}

/// What a peer sent, short enough for a line of the log.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= 60 {
        return format!("{text:?}");
    }
    format!("{:?} and more", text.chars().take(60).collect::<String>())
}

fn within(number: i128, ranges: &Ranges<i128>) -> Result<(), String> {
    if ranges.iter().any(|(least, most)| (*least..=*most).contains(&number)) {
        return Ok(());
    }
    let spelled = |(least, most): &(i128, i128)| match least == most {
        true => least.to_string(),
        false => format!("{least}..{most}"),
    };
    Err(ranges.iter().map(spelled).collect::<Vec<_>>().join(" | "))
}

/// A decimal's text in units of its last digit.
pub(crate) fn decimal(text: &str, digits: u8) -> Option<i128> {
    let (sign, plain) = match text.strip_prefix('-') {
        Some(plain) => (-1, plain),
        None => (1, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, part) = plain.split_once('.').unwrap_or((plain, ""));
    let sound = |text: &str| text.len() <= 20 && text.bytes().all(|byte| byte.is_ascii_digit());
    let part = if part.len() > digits.into() { part.trim_end_matches('0') } else { part };
    if whole.is_empty() || plain.ends_with('.') || !sound(whole) || !sound(part) || part.len() > digits.into()
    {
        return None;
    }
    let units: i128 = format!("{whole}{part:0<digits$}", digits = usize::from(digits)).parse().ok()?;
    i64::try_from(sign * units).ok().map(i128::from)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decimals_keep_every_digit_and_nothing_else() {
        let weight = Type::Decimal { digits: 4, ranges: vec![(0, 10_000_000)] };
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
    fn what_a_type_does_not_take_is_said_with_what_it_takes() {
        let fault = |of: &Type, text: &str| of.parse(text).unwrap_err();
        let word = Type::Text { lengths: vec![(1, 3)], patterns: vec![Regex::new("^(?:[a-z]+)$").unwrap()] };
        assert_eq!(fault(&word, "long"), "\"long\" is not 1..3 characters long");
        assert_eq!(fault(&word, "a\n"), "\"a\\n\" does not match [a-z]+");
        let small = Type::Integer { is_64_bit: false, ranges: vec![(1, 3), (7, 7)] };
        assert_eq!(fault(&small, "5"), "5 is not within 1..3 | 7");
        assert_eq!(fault(&Type::Boolean, "yes"), "\"yes\" is neither true nor false");
        assert_eq!(fault(&Type::Enumeration(vec!["a".into(), "b".into()]), "c"), "\"c\" is none of a, b");
        assert!(fault(&small, &"9".repeat(1000)).len() < 120);
    }
}
