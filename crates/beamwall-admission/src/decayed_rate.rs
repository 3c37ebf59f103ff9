//! A rate whose past loses weight exponentially.

use tokio::time::Instant;

/// Time constant in seconds. It bounds how long a tenant's earlier demand counts, and is several times the
/// interval between the requests of all but the smallest tenants.
const TIME_CONSTANT_S: f64 = 1.0;

/// Work per second, averaged with exponentially decreasing weight.
#[derive(Debug, Clone, Copy)]
pub struct DecayedRate {
    per_second: f64,
    updated: Instant,
}

impl DecayedRate {
    /// A rate of zero.
    pub fn new(now: Instant) -> Self {
        Self { per_second: 0.0, updated: now }
    }

    /// The rate.
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.per_second * (-elapsed_s / TIME_CONSTANT_S).exp()
    }

    /// What an amount of work that was just added contributes to the rate.
    pub fn of_one(amount: f64) -> f64 {
        amount / TIME_CONSTANT_S
    }

    /// Adds an amount of work.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.get(now) + Self::of_one(amount);
        self.updated = self.updated.max(now);
    }
}
