//! Load of a service per second.

use std::ops::{Add, AddAssign, Div, Mul};

/// Load of a service per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Workload {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens to prefill per second.
    pub tokens: f64,
    /// Pairs of such a token with an earlier one, per second.
    pub pairs: f64,
    /// Streamed events per second.
    pub events: f64,
}

impl Workload {
    /// Returns the weighted mean with `other`, whose weight is `weight`, 0 to 1.
    pub fn weighted_mean(self, other: Self, weight: f64) -> Self {
        self * (1.0 - weight) + other * weight
    }

    /// Returns the element-wise maximum.
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
