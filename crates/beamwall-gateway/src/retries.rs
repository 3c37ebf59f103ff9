//! Retry budgets by service.
//!
//! The retries of all nodes in a window are limited to a share of the callers' requests plus a fixed number
//! of extra retries. Each node spends the share of its own requests and its part of the extra retries, so no
//! coordination is needed. Unused retries of a window are saved, up to a share of that window's requests,
//! because failures come in bursts: an engine that terminates interrupts all requests that it runs.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::ServiceName;
use beamwall_routing::RetryBudget;
use tokio::time::Instant;

use crate::reserved_retry::ReservedRetry;

/// Number of buckets per window in which requests are counted.
const WINDOW_BUCKETS: u32 = 10;

/// Limits on the retries of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries earned by each request, in percent.
    pub earned_percent: u32,
    /// Retries that may be saved per request of the last window, in percent.
    pub saved_percent: u32,
    /// Additional retries, over all nodes.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Retry budgets by service at one node. Clones share them.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    allowance: RetryAllowance,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    nodes: usize,
    services: HashMap<ServiceName, ServiceRetries>,
}

/// What became of the retries of one service since this node started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests that earned a fraction of a retry.
    pub earned_by: u64,
    /// Retries taken from the budget, reserved ones included.
    pub granted: u64,
    /// Retries that the budget had no credit for.
    pub refused: u64,
    /// Reserved retries that were returned unspent.
    pub returned: u64,
}

#[derive(Debug)]
struct ServiceRetries {
    budget: RetryBudget,
    recent: RecentRequests,
    counts: RetryCounts,
}

impl ServiceRetries {
    fn update_saved_limit(&mut self, allowance: &RetryAllowance, nodes: usize, now: Instant) {
        let recent = self.recent.count(now, allowance.window);
        let share = f64::from(recent) * f64::from(allowance.saved_percent) / 100.0;
        self.budget.set_capacity(share + allowance.extra / nodes as f64);
    }
}

impl RetryBudgets {
    /// Budgets of a node in a fleet of `nodes` nodes.
    pub fn new(allowance: RetryAllowance, nodes: usize) -> Self {
        let state = State { nodes: nodes.max(1), services: HashMap::new() };
        Self { allowance, state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the extra retries among `nodes` nodes.
    pub fn divide_among(&self, nodes: usize) {
        self.lock().nodes = nodes.max(1);
    }

    /// Records a caller's request, which earns a fraction of a retry.
    pub fn earn(&self, service: &ServiceName, now: Instant) {
        self.with_service(service, now, |retries| {
            retries.recent.note(now, self.allowance.window);
            retries.budget.earn(self.allowance.earned_percent);
            retries.counts.earned_by += 1;
        });
    }

    /// Gives back what one request has earned here, since a peer has earned for it as well.
    pub fn unearn(&self, service: &ServiceName, now: Instant) {
        self.with_service(service, now, |retries| {
            retries.recent.take_back();
            retries.budget.unearn(self.allowance.earned_percent);
            retries.counts.earned_by = retries.counts.earned_by.saturating_sub(1);
        });
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn take(&self, service: &ServiceName, now: Instant) -> bool {
        self.with_service(service, now, |retries| {
            let is_granted = retries.budget.take();
            retries.counts.granted += u64::from(is_granted);
            retries.counts.refused += u64::from(!is_granted);
            is_granted
        })
    }

    /// Reserves one retry, if available. It is returned to the budget unless it is spent.
    pub fn reserve(&self, service: &ServiceName, now: Instant) -> Option<ReservedRetry> {
        ReservedRetry::take(self, service, now)
    }

    /// Returns a retry that was taken and not spent.
    pub(crate) fn put_back(&self, service: &ServiceName) {
        if let Some(retries) = self.lock().services.get_mut(service) {
            retries.budget.put_back();
            retries.counts.returned += 1;
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
        let node_share = self.allowance.extra / *nodes as f64;
        let new = || ServiceRetries {
            budget: RetryBudget::with_capacity(node_share),
            recent: RecentRequests::default(),
            counts: RetryCounts::default(),
        };
        let retries = services.entry(service.clone()).or_insert_with(new);
        retries.update_saved_limit(&self.allowance, *nodes, now);
        act(retries)
    }

    /// Retries available now, by service.
    pub fn available_retries(&self) -> Vec<(ServiceName, f64)> {
        let state = self.lock();
        state
            .services
            .iter()
            .map(|(service, retries)| (service.clone(), retries.budget.available_retries()))
            .collect()
    }

    /// What became of the retries since this node started, by service.
    pub fn counts(&self) -> Vec<(ServiceName, RetryCounts)> {
        let state = self.lock();
        state.services.iter().map(|(service, retries)| (service.clone(), retries.counts)).collect()
    }

    /// Nodes among which this node divides the extra retries.
    pub fn sharing_nodes(&self) -> usize {
        self.lock().nodes
    }
}

/// Requests counted in buckets of a window: the start of each bucket and its number of requests.
#[derive(Debug, Default)]
struct RecentRequests {
    buckets: VecDeque<(Instant, u32)>,
}

impl RecentRequests {
    fn note(&mut self, now: Instant, window: Duration) {
        let bucket_length = window / WINDOW_BUCKETS;
        match self.buckets.back_mut() {
            Some((bucket_start, count)) if now.saturating_duration_since(*bucket_start) < bucket_length => {
                *count += 1
            }
            _ => self.buckets.push_back((now, 1)),
        }
    }

    /// Takes back a request that was counted last.
    fn take_back(&mut self) {
        if let Some((_, count)) = self.buckets.back_mut() {
            *count = count.saturating_sub(1);
        }
    }

    /// Number of requests in the last window.
    fn count(&mut self, now: Instant, window: Duration) -> u32 {
        while self
            .buckets
            .front()
            .is_some_and(|(bucket_start, _)| now.saturating_duration_since(*bucket_start) > window)
        {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|(_, count)| count).sum()
    }
}
