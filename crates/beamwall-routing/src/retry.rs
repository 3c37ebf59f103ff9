//! Retry budget: limits retries to a share of first attempts, so that a failing back end is not flooded
//! with them.

use std::sync::atomic::{AtomicI64, Ordering};

/// Credit that one retry costs; credit is counted in thousandths of a retry.
const RETRY_COST: i64 = 1_000;
/// Retries that a default budget accumulates at most.
const DEFAULT_CAPACITY: i64 = 20;

/// Credit for retries, earned by first attempts and spent by retries.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicI64,
    max_credit: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let initial_credit = DEFAULT_CAPACITY * RETRY_COST;
        Self { credit: AtomicI64::new(initial_credit), max_credit: AtomicI64::new(initial_credit) }
    }
}

impl RetryBudget {
    /// Creates a budget that accumulates up to `max_retries` retries, which may be a fraction. It starts with
    /// credit for one retry: a process that restarts repeatedly must not spend a full budget each time.
    pub fn with_capacity(max_retries: f64) -> Self {
        let budget = Self { credit: AtomicI64::new(RETRY_COST), max_credit: AtomicI64::new(0) };
        budget.set_capacity(max_retries);
        budget
    }

    /// Sets how many retries may accumulate; credit above the new maximum is discarded. The maximum is at
    /// least one retry.
    pub fn set_capacity(&self, max_retries: f64) {
        let new_max = ((max_retries * RETRY_COST as f64) as i64).max(RETRY_COST);
        self.max_credit.store(new_max, Ordering::Relaxed);
        self.credit.fetch_min(new_max, Ordering::Relaxed);
    }

    /// Records a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST / 100;
        let max_credit = self.max_credit.load(Ordering::Relaxed);
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + earned).min(max_credit))
        });
    }

    /// Takes back what a first attempt earned, as far as it is not spent.
    pub fn unearn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST / 100;
        let _ = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| Some((credit - earned).max(0)));
    }

    /// Retries available now, including fractions.
    pub fn available_retries(&self) -> f64 {
        self.credit.load(Ordering::Relaxed) as f64 / RETRY_COST as f64
    }

    /// Returns the credit of a retry that was taken but not used.
    pub fn put_back(&self) {
        let max_credit = self.max_credit.load(Ordering::Relaxed);
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + RETRY_COST).min(max_credit))
        });
    }

    /// Takes the credit for one retry; returns whether there was enough.
    pub fn take(&self) -> bool {
        let spend = |credit: i64| (credit >= RETRY_COST).then_some(credit - RETRY_COST);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
