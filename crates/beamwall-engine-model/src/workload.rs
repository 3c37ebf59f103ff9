//! What callers ask of a service in a second.

use std::ops::{Add, AddAssign, Div, Mul};

/// What callers ask of a service in a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Workload {
    /// Requests.
    pub requests: f64,
    /// Prompt tokens that must be read.
    pub tokens: f64,
    /// Pairs of such a token with one before it.
    pub pairs: f64,
    /// Events that are streamed.
    pub events: f64,
}

impl Workload {
    /// The mean of this with `other`, which counts by `weight`, 0 to 1.
    pub fn weighted_mean(self, other: Self, weight: f64) -> Self {
        self * (1.0 - weight) + other * weight
    }

    /// The larger of both in each respect.
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            tokens: self.tokens.max(other.tokens),
            pairs: self.pairs.max(other.pairs),
            events: self.events.max(other.events),
        }
    }
}

impl Add for Workload {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            pairs: self.pairs + other.pairs,
            events: self.events + other.events,
        }
    }
}

impl AddAssign for Workload {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Mul<f64> for Workload {
    type Output = Self;

    fn mul(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            tokens: self.tokens * factor,
            pairs: self.pairs * factor,
            events: self.events * factor,
        }
    }
}

impl Div<f64> for Workload {
    type Output = Self;

    fn div(self, divisor: f64) -> Self {
        self * (1.0 / divisor)
    }
}
