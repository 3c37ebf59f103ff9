//! A budget on retries, so that a failing back end is not met with a storm of them.

use std::sync::atomic::{AtomicI64, Ordering};

/// One retry in thousandths.
const RETRY_COST: i64 = 1_000;
/// Retries that may be saved up.
const SAVED_RETRIES: i64 = 20;

/// Retries allowed as a share of first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicI64,
    saved_retries: i64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: AtomicI64::new(SAVED_RETRIES * RETRY_COST), saved_retries: SAVED_RETRIES }
    }
}

impl RetryBudget {
    /// A budget that saves up to `saved_retries` and starts with half of them: a process that is
    /// started again and again must not spend the whole each time.
    pub fn saving(saved_retries: i64) -> Self {
        Self { credit: AtomicI64::new(saved_retries * RETRY_COST / 2), saved_retries }
    }

    /// Notes a first attempt, which earns `percent` of a retry.
    pub fn earn(&self, percent: u32) {
        let earned = i64::from(percent) * RETRY_COST / 100;
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + earned).min(self.saved_retries * RETRY_COST))
        });
    }

    /// Takes one retry, if there is one.
    pub fn take(&self) -> bool {
        let spend = |credit: i64| (credit >= RETRY_COST).then_some(credit - RETRY_COST);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
