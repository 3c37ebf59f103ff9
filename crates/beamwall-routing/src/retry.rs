//! A budget on retries, so that a failing back end is not met with a storm of them.

use std::sync::atomic::{AtomicI64, Ordering};

/// One retry in thousandths.
const RETRY_COST: i64 = 1_000;
/// Retries that may be saved up.
const DEFAULT_CAPACITY: i64 = 20;

/// Retries allowed as a share of first attempts.
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
    /// A budget that saves up to `most_saved` retries, which may be a fraction, and starts with one: a
    /// process that is started again and again must not spend the whole each time.
    pub fn with_capacity(max_retries: f64) -> Self {
        let budget = Self { credit: AtomicI64::new(RETRY_COST), max_credit: AtomicI64::new(0) };
        budget.set_capacity(max_retries);
        budget
    }

    /// Changes how many retries may be saved up; what is saved beyond is lost.
    pub fn set_capacity(&self, max_retries: f64) {
        let new_max = ((max_retries * RETRY_COST as f64) as i64).max(RETRY_COST);
        self.max_credit.store(new_max, Ordering::Relaxed);
        self.credit.fetch_min(new_max, Ordering::Relaxed);
    }

    /// Notes a first attempt, which earns `percent` of a retry.
    pub fn earn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST / 100;
        let max_credit = self.max_credit.load(Ordering::Relaxed);
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + earned).min(max_credit))
        });
    }

    /// Retries that may be taken now.
    pub fn available_retries(&self) -> f64 {
        self.credit.load(Ordering::Relaxed) as f64 / RETRY_COST as f64
    }

    /// Puts back a retry that was taken and not used.
    pub fn put_back(&self) {
        let max_credit = self.max_credit.load(Ordering::Relaxed);
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + RETRY_COST).min(max_credit))
        });
    }

    /// Takes one retry, if there is one.
    pub fn take(&self) -> bool {
        let spend = |credit: i64| (credit >= RETRY_COST).then_some(credit - RETRY_COST);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
