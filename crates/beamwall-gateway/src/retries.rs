//! Retry budgets by service.
//!
//! What all nodes together may retry in a window is a share of the callers' requests and some extra. A node
//! spends a share of its own requests and its part of the extra, so it need not ask the others. What one
//! window leaves is saved up to a share of that window's requests: failures come in bursts, since an engine
//! that goes breaks all that it runs.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::ServiceName;
use beamwall_routing::RetryBudget;
use tokio::time::Instant;

/// Parts in which the requests of a window are counted.
const PARTS_OF_WINDOW: u32 = 10;

/// What all nodes together may retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries earned by each request, in hundredths.
    pub earned_percent: u32,
    /// Retries that may be saved, for each request of the last window, in hundredths.
    pub saved_percent: u32,
    /// Retries beside, over all nodes.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

/// Retry budgets by service at one node.
#[derive(Debug)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    nodes: usize,
    services: HashMap<ServiceName, ServiceRetries>,
}

#[derive(Debug)]
struct ServiceRetries {
    budget: RetryBudget,
    recent: RecentRequests,
}

impl ServiceRetries {
    fn limit_saved(&mut self, allowance: &RetryAllowance, nodes: usize, now: Instant) {
        let recent = self.recent.count(now, allowance.window);
        let share = f64::from(recent) * f64::from(allowance.saved_percent) / 100.0;
        self.budget.set_capacity(share + allowance.extra / nodes as f64);
    }
}

impl RetryBudgets {
    /// Budgets of one of `nodes` nodes.
    pub fn new(allowance: RetryAllowance, nodes: usize) -> Self {
        let state = State { nodes: nodes.max(1), services: HashMap::new() };
        Self { allowance, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the extra retries among this many nodes.
    pub fn divide_among(&self, nodes: usize) {
        self.lock().nodes = nodes.max(1);
    }

    /// Notes a caller's request.
    pub fn earn(&self, service: &ServiceName, now: Instant) {
        self.with_service(service, now, |retries| {
            retries.recent.note(now, self.allowance.window);
            retries.budget.earn(self.allowance.earned_percent);
        });
    }

    /// Takes one retry, if there is one.
    pub fn take(&self, service: &ServiceName, now: Instant) -> bool {
        self.with_service(service, now, |retries| retries.budget.take())
    }

    /// Takes one retry, if there is one, which goes back unless it is spent.
    pub fn reserve<'a>(&'a self, service: &'a ServiceName, now: Instant) -> Option<ReservedRetry<'a>> {
        self.take(service, now).then_some(ReservedRetry { budgets: self, service, is_spent: false })
    }

    fn put_back(&self, service: &ServiceName) {
        if let Some(retries) = self.lock().services.get(service) {
            retries.budget.put_back();
        }
    }

    fn with_service<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        act: impl FnOnce(&mut ServiceRetries) -> T,
    ) -> T {
        let mut state = self.lock();
        let State { nodes, services } = &mut *state;
        let part = self.allowance.extra / *nodes as f64;
        let new =
            || ServiceRetries { budget: RetryBudget::with_capacity(part), recent: RecentRequests::default() };
        let retries = services.entry(service.clone()).or_insert_with(new);
        retries.limit_saved(&self.allowance, *nodes, now);
        act(retries)
    }

    /// Retries that may be taken now, by service.
    pub fn left(&self) -> Vec<(ServiceName, f64)> {
        let state = self.lock();
        state
            .services
            .iter()
            .map(|(service, retries)| (service.clone(), retries.budget.available_retries()))
            .collect()
    }
}

/// A retry that was taken and has not been used yet. Dropped unspent, it goes back.
#[derive(Debug)]
pub struct ReservedRetry<'a> {
    budgets: &'a RetryBudgets,
    service: &'a ServiceName,
    is_spent: bool,
}

impl ReservedRetry<'_> {
    /// Notes that the request is sent once more.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for ReservedRetry<'_> {
    fn drop(&mut self) {
        if !self.is_spent {
            self.budgets.put_back(self.service);
        }
    }
}

/// Requests counted in parts of a window: when each part began, and its requests.
#[derive(Debug, Default)]
struct RecentRequests {
    parts: VecDeque<(Instant, u32)>,
}

impl RecentRequests {
    fn note(&mut self, now: Instant, window: Duration) {
        let part = window / PARTS_OF_WINDOW;
        match self.parts.back_mut() {
            Some((begun, count)) if now.saturating_duration_since(*begun) < part => *count += 1,
            _ => self.parts.push_back((now, 1)),
        }
    }

    /// Requests of the last window.
    fn count(&mut self, now: Instant, window: Duration) -> u32 {
        while self.parts.front().is_some_and(|(begun, _)| now.saturating_duration_since(*begun) > window) {
            self.parts.pop_front();
        }
        self.parts.iter().map(|(_, count)| count).sum()
    }
}
