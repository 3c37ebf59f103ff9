//! A limit as an engine names it.

use std::fmt;
use std::time::Duration;

use quick_error::quick_error;

/// Smallest limit that is accepted, in requests a second: about one a quarter of an hour.
const MIN_PER_SECOND: f64 = 0.001;
/// Largest limit that is accepted, in requests a second: beyond what any engine serves.
const MAX_PER_SECOND: f64 = 1_000_000.0;

quick_error! {
    /// A limit that is not a usable number of requests a second.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnreadableLimit {
        /// Not a decimal number.
        NotANumber(text: String) {
            display("not a decimal number: {:?}", text)
        }
        /// Zero, negative, not finite, or beyond any engine.
        OutOfRange(text: String) {
            display("out of range: {:?}", text)
        }
        /// One response names several limits.
        Repeated(count: usize) {
            display("named {} times in one response", count)
        }
    }
}

/// Requests a second, positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Checks a number of requests a second.
    pub fn new(per_second: f64) -> Result<Self, UnreadableLimit> {
        if !(MIN_PER_SECOND..=MAX_PER_SECOND).contains(&per_second) {
            return Err(UnreadableLimit::OutOfRange(per_second.to_string()));
        }
        Ok(Self(per_second))
    }

    /// Parses a decimal number of requests a second.
    pub fn parse(text: &str) -> Result<Self, UnreadableLimit> {
        let is_decimal = text.starts_with(|first: char| first.is_ascii_digit() || first == '.');
        let number = text.parse::<f64>().ok().filter(|_| is_decimal);
        let per_second = number.ok_or_else(|| UnreadableLimit::NotANumber(text.to_owned()))?;
        Self::new(per_second).map_err(|_| UnreadableLimit::OutOfRange(text.to_owned()))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// The larger of two rates.
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Number of requests in a time.
    pub fn requests_in(self, time: Duration) -> f64 {
        self.0 * time.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What a response says about its engine's limit.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum LimitNotice {
    /// It names none: the engine has no limit now.
    #[default]
    Unlimited,
    /// It names a limit.
    Limited(RequestRate),
    /// It names something that can't be understood, which changes nothing.
    Unreadable(UnreadableLimit),
}

impl LimitNotice {
    /// Reads the values that one response names.
    pub fn from_values<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let values: Vec<&str> = values.into_iter().collect();
        let parsed = match values.as_slice() {
            [] => return Self::Unlimited,
            [value] => RequestRate::parse(value.trim()),
            several => Err(UnreadableLimit::Repeated(several.len())),
        };
        parsed.map_or_else(Self::Unreadable, Self::Limited)
    }
}
