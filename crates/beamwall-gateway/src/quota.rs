//! Tenant quotas that hold over all nodes.
//!
//! Each node holds a share of every tenant's rate and burst, in proportion to the demand that the
//! nodes told each other. A share shrinks at once and grows only after the others have had time to
//! shrink theirs. A node that is silent keeps its share in the others' sums, because it may be cut
//! off and still serving; so the sum of all shares stays within one while nodes are cut off.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::TenantName;
use beamwall_policy::Tenant;
use beamwall_routing::tenant_limit::share;
use tokio::time::Instant;

/// Time after which a larger share is taken: longer than news takes to reach every node.
const RAISE_DELAY: Duration = Duration::from_millis(1_200);
/// Weight of the newest period in the demand.
const DEMAND_SMOOTHING: f64 = 0.4;
/// Longest time that a refused caller is told to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What the whole deployment may exceed a quota by, and the number of nodes that share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Work beyond the quota that is tolerated in one window, over all nodes.
    pub slack: f64,
    /// Nodes among which it is divided.
    pub nodes: usize,
}

#[derive(Debug)]
struct Account {
    share: f64,
    raise: Option<(f64, Instant)>,
    available: f64,
    refilled: Instant,
    asked: f64,
    demand: f64,
}

#[derive(Debug)]
struct State {
    accounts: HashMap<TenantName, Account>,
    peers: HashMap<TenantName, Vec<f64>>,
    peer_count: usize,
    tolerance: Tolerance,
}

/// The tenants' accounts at this node.
#[derive(Debug)]
pub struct QuotaBook {
    state: Mutex<State>,
}

/// Work charged to an account.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    /// The tenant.
    pub tenant: TenantName,
    /// The work.
    pub amount: f64,
}

/// A tenant is beyond its quota here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// When the work would fit.
    pub retry_after: Duration,
    /// This node's share of the quota.
    pub share: f64,
    /// Work that was available.
    pub available: f64,
}

impl QuotaBook {
    /// Accounts of a node that assumes `tolerance.nodes - 1` peers until it hears of them.
    pub fn new(tolerance: Tolerance) -> Self {
        let peer_count = tolerance.nodes.saturating_sub(1);
        let state = State { accounts: HashMap::new(), peers: HashMap::new(), peer_count, tolerance };
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges work to a tenant, unless it is beyond its quota.
    pub fn charge(
        &self,
        tenant: &Tenant,
        amount: f64,
        now: Instant,
    ) -> Result<Option<Charge>, QuotaExceeded> {
        if tenant.rate_per_second <= 0.0 {
            return Ok(None);
        }
        let mut state = self.lock();
        let part_of_slack = state.tolerance.slack / state.tolerance.nodes.max(1) as f64;
        let others = state.others(&tenant.name);
        let account = state.accounts.entry(tenant.name.clone()).or_insert_with(|| {
            let share = share(0.0, &others, tenant.rate_per_second);
            Account::new(share, share * tenant.burst + part_of_slack, now)
        });
        account.asked += amount;
        account.refill(tenant, part_of_slack, now);
        let needed = amount.min(account.capacity(tenant, part_of_slack));
        if account.available + 1e-6 < needed {
            let rate = (account.share * tenant.rate_per_second).max(1.0);
            let seconds = ((needed - account.available) / rate).min(LONGEST_WAIT.as_secs_f64());
            return Err(QuotaExceeded {
                retry_after: Duration::from_secs_f64(seconds),
                share: account.share,
                available: account.available,
            });
        }
        account.available -= amount;
        Ok(Some(Charge { tenant: tenant.name.clone(), amount }))
    }

    /// Gives back work that did not run.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.lock().accounts.get_mut(&charge.tenant) {
            account.available += charge.amount;
        }
    }

    /// Ends a period of `length` and gives this node's demands, in work a second.
    pub fn close_period(&self, length: Duration) -> Vec<(TenantName, f64)> {
        let mut state = self.lock();
        let close = |account: &mut Account| {
            let rate = account.asked / length.as_secs_f64().max(1e-3);
            account.asked = 0.0;
            account.demand = account.demand * (1.0 - DEMAND_SMOOTHING) + rate * DEMAND_SMOOTHING;
            account.demand
        };
        state.accounts.iter_mut().map(|(tenant, account)| (tenant.clone(), close(account))).collect()
    }

    /// Sets shares from the demands that all nodes told. `own` is what this node told last, so that
    /// every node reckons with the same numbers; `rates` are the tenants' whole rates.
    pub fn set_shares(
        &self,
        own: &HashMap<TenantName, f64>,
        peers: HashMap<TenantName, Vec<f64>>,
        peer_count: usize,
        rates: &HashMap<TenantName, f64>,
        now: Instant,
    ) {
        let mut state = self.lock();
        state.peers = peers;
        state.peer_count = peer_count;
        state.tolerance.nodes = state.tolerance.nodes.max(peer_count + 1);
        let tenants: Vec<TenantName> = state.accounts.keys().cloned().collect();
        for tenant in tenants {
            let others = state.others(&tenant);
            let demand = own.get(&tenant).copied().unwrap_or(0.0);
            let rate = rates.get(&tenant).copied().unwrap_or(0.0);
            if let Some(account) = state.accounts.get_mut(&tenant) {
                account.set_share(share(demand, &others, rate), now);
            }
        }
    }

    /// This node's share of a tenant's quota.
    pub fn share(&self, tenant: &TenantName) -> Option<f64> {
        self.lock().accounts.get(tenant).map(|account| account.share)
    }
}

impl State {
    /// Demands of all other nodes; those that told none count as idle.
    fn others(&self, tenant: &TenantName) -> Vec<f64> {
        let mut others = self.peers.get(tenant).cloned().unwrap_or_default();
        others.resize(self.peer_count.max(others.len()), 0.0);
        others
    }
}

impl Account {
    fn new(share: f64, available: f64, now: Instant) -> Self {
        Self { share, raise: None, available, refilled: now, asked: 0.0, demand: 0.0 }
    }

    fn capacity(&self, tenant: &Tenant, part_of_slack: f64) -> f64 {
        self.share * tenant.burst + part_of_slack
    }

    fn refill(&mut self, tenant: &Tenant, part_of_slack: f64, now: Instant) {
        if let Some((share, at)) = self.raise
            && now >= at
        {
            self.share = share;
            self.raise = None;
        }
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let gained = passed * self.share * tenant.rate_per_second;
        self.available = (self.available + gained).min(self.capacity(tenant, part_of_slack));
    }

    fn set_share(&mut self, share: f64, now: Instant) {
        if share <= self.share {
            self.share = share;
            self.raise = None;
        } else {
            let at = self.raise.map_or(now + RAISE_DELAY, |(_, at)| at);
            self.raise = Some((share, at));
        }
    }
}
