//! Durations, percentages, sizes and addresses as operators write them in documents and settings.
//!
//! Every number is written with its unit, so that seconds cannot be mistaken for milliseconds. Percentages and sizes
//! are stored as integers, so that parsing and formatting them does not round.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::version::yaml;

/// Units of durations and their lengths in nanoseconds, in descending order.
const DURATION_UNITS: [(&str, u64); 5] = [
    ("m", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
    ("ns", 1),
];

/// Units of sizes and their values in bytes, in descending order.
const SIZE_UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

/// Maximum number of digits after the decimal point of a percentage.
const PERCENT_DECIMALS: usize = 4;

/// Error of parsing a value with a unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{value}` is not {expected}; {remedy}")]
pub struct UnitError {
    /// Text that could not be parsed.
    pub value: Box<str>,
    /// Description of the expected value.
    pub expected: &'static str,
    /// How to write a valid value.
    pub remedy: &'static str,
}

impl UnitError {
    fn new(value: &str, expected: &'static str, remedy: &'static str) -> Self {
        Self {
            value: value.into(),
            expected,
            remedy,
        }
    }
}

/// Duration, written as a whole number and the unit `m`, `s`, `ms`, `us` or `ns`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Period(pub Duration);

impl Period {
    /// Creates a period from a number of milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }
}

impl FromStr for Period {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_scaled(text, &DURATION_UNITS)
            .map(|nanos| Self(Duration::from_nanos(nanos)))
            .ok_or_else(|| {
                UnitError::new(
                    text,
                    "a duration",
                    "write a whole number and a unit, such as 150ms, 2s or 3m",
                )
            })
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nanos = u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX);
        write_scaled(f, nanos, &DURATION_UNITS, "s")
    }
}

/// Percentage from 0% to 100%, written with at most four digits after the decimal point, such as `2%` or `99.9%`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Percentage {
    ppm: u32,
}

impl Percentage {
    /// 100%.
    pub const FULL: Self = Self::from_percent(100);

    /// Creates a percentage from a whole number. Values above 100 are clamped to 100.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        let percent = if percent > 100 { 100 } else { percent };
        Self {
            ppm: percent * PPM_PER_PERCENT,
        }
    }

    /// Returns the value in parts per million.
    #[must_use]
    pub const fn ppm(self) -> u32 {
        self.ppm
    }

    /// Returns the value as a fraction in `0.0..=1.0`.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.ppm) / 1e6
    }
}

impl FromStr for Percentage {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_ppm(text).map(|ppm| Self { ppm }).ok_or_else(|| {
            UnitError::new(
                text,
                "a percentage",
                "write a number from 0% to 100% with at most four decimals, such as 2% or 99.9%",
            )
        })
    }
}

impl fmt::Display for Percentage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.ppm / PPM_PER_PERCENT;
        let rest = self.ppm % PPM_PER_PERCENT;
        if rest == 0 {
            return write!(f, "{whole}%");
        }
        let decimals = format!("{rest:04}");
        write!(f, "{whole}.{}%", decimals.trim_end_matches('0'))
    }
}

/// Number of bytes, written as a whole number and the unit `B`, `KiB`, `MiB` or `GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ByteSize(pub u64);

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_scaled(text, &SIZE_UNITS).map(Self).ok_or_else(|| {
            UnitError::new(
                text,
                "a size",
                "write a whole number and a unit, such as 512B, 64KiB or 4MiB",
            )
        })
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_scaled(f, self.0, &SIZE_UNITS, "B")
    }
}

/// Socket address with an IP address. Host names are rejected, since resolving them would add a dependency on an
/// external system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse().map(Self).map_err(|_cause: std::net::AddrParseError| {
            UnitError::new(
                text,
                "an IP address with a port from 0 to 65535",
                "write an IP address and a port, such as 10.0.0.7:7101 or [::1]:7101; host names are not resolved",
            )
        })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

macro_rules! serde_as_text {
    ($($type:ty),*) => {$(
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                yaml::parse_text(deserializer)
            }
        }
    )*};
}

serde_as_text!(Period, Percentage, ByteSize, Address);

/// Parses a whole number and a unit, and returns the scaled value. Returns `None` if the text is invalid or the value
/// overflows.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, name) = text.split_at(split);
    let (_, scale) = units.iter().find(|(unit, _)| *unit == name)?;
    let count: u64 = digits.parse().ok()?;
    count.checked_mul(*scale)
}

/// Formats `value` in the largest unit that divides it without remainder. Zero is formatted in the unit `zero`.
fn write_scaled(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)], zero: &str) -> fmt::Result {
    let fitting = units.iter().find(|(_, scale)| value.is_multiple_of(*scale));
    match fitting {
        Some((name, scale)) if value > 0 => write!(f, "{}{name}", value / scale),
        _ => write!(f, "0{zero}"),
    }
}

/// Parses a percentage into parts per million, without rounding.
fn parse_ppm(text: &str) -> Option<u32> {
    let number = text.strip_suffix('%')?;
    let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits(whole) || !is_digits(decimals) || decimals.len() > PERCENT_DECIMALS {
        return None;
    }
    let padded = format!("{decimals:0<PERCENT_DECIMALS$}");
    let whole: u32 = whole.parse().ok()?;
    let rest: u32 = padded.parse().ok()?;
    let ppm = whole.checked_mul(PPM_PER_PERCENT)?.checked_add(rest)?;
    (ppm <= Percentage::FULL.ppm).then_some(ppm)
}
