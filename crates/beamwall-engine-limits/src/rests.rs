//! Engines that want no requests from this node for a while.
//!
//! An engine that rejects a request may name a time for which it wants nothing further from the node that sent
//! it. The time concerns that node alone, so it is not reported to peers. Neither a shorter time nor a response
//! of another kind ends it early: both may have been on their way before.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use quick_error::quick_error;
use tokio::time::Instant;

/// Longest rest that one response can impose: a mistaken value must not take an engine away for good.
pub const LONGEST_REST: Duration = Duration::from_secs(300);

quick_error! {
    /// A rest that is not a usable number of seconds.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnreadableRest {
        /// Not a decimal number.
        NotANumber(text: String) {
            display("not a decimal number: {:?}", text)
        }
        /// One response names several rests.
        Repeated(count: usize) {
            display("named {} times in one response", count)
        }
    }
}

/// What a response says about the rest that its engine wants.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RestNotice {
    /// It names none.
    #[default]
    NoRest,
    /// The engine wants nothing from this node for so long.
    Rest(Duration),
    /// It names something that can't be understood, which changes nothing.
    Unreadable(UnreadableRest),
}

impl RestNotice {
    /// Reads the values in seconds that one response names.
    pub fn from_values<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let values: Vec<&str> = values.into_iter().collect();
        match values.as_slice() {
            [] => Self::NoRest,
            [value] => parse_seconds(value.trim()).map_or_else(Self::Unreadable, Self::Rest),
            several => Self::Unreadable(UnreadableRest::Repeated(several.len())),
        }
    }
}

/// Parses digits with at most one decimal point. More than [`LONGEST_REST`] is read as that.
fn parse_seconds(text: &str) -> Result<Duration, UnreadableRest> {
    let is_decimal = text.chars().all(|one| one.is_ascii_digit() || one == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_decimal);
    let seconds = seconds.ok_or_else(|| UnreadableRest::NotANumber(text.to_owned()))?;
    Ok(Duration::from_secs_f64(seconds.min(LONGEST_REST.as_secs_f64())))
}

/// The rests that engines asked one node for.
#[derive(Debug, Default)]
pub struct KnownRests {
    rests: Mutex<HashMap<BackendId, Instant>>,
}

impl KnownRests {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Instant>> {
        self.rests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an engine wants nothing until `until`. Returns whether it was not resting before.
    pub fn note(&self, backend: &BackendId, until: Instant, now: Instant) -> bool {
        let mut rests = self.lock();
        let end = rests.entry(backend.clone()).or_insert(now);
        let is_new = *end <= now;
        *end = until.max(*end);
        is_new
    }

    /// What is left of an engine's rest; `None`: it takes requests.
    pub fn remaining(&self, backend: &BackendId, now: Instant) -> Option<Duration> {
        let end = *self.lock().get(backend)?;
        Some(end.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// The engines that rest now.
    pub fn resting(&self, now: Instant) -> Vec<BackendId> {
        let mut rests = self.lock();
        rests.retain(|_, end| *end > now);
        rests.keys().cloned().collect()
    }
}
