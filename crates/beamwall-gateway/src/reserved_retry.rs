//! A retry that is reserved until it is known whether it is needed.

use beamwall_model::ServiceName;
use tokio::time::Instant;

use crate::retries::RetryBudgets;

/// A retry taken from the budget. If dropped unspent, it is returned.
#[derive(Debug)]
#[must_use]
pub struct ReservedRetry {
    budgets: RetryBudgets,
    service: ServiceName,
    is_spent: bool,
}

impl ReservedRetry {
    /// Takes a retry from the budget; `None` if there is none. The only way to make a reservation: one that existed
    /// without its retry would return it all the same.
    pub(crate) fn take(budgets: &RetryBudgets, service: &ServiceName, now: Instant) -> Option<Self> {
        if !budgets.take(service, now) {
            return None;
        }
        Some(Self { budgets: budgets.clone(), service: service.clone(), is_spent: false })
    }

    /// Spends the retry; called when the request is sent again.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if !self.is_spent {
            self.budgets.put_back(&self.service);
        }
    }
}
