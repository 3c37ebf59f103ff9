//! Tenant limits that apply to the sum over all nodes.
//!
//! Each node enforces a share of a tenant's limit, in proportion to the demand that it reported. A node
//! lowers its share at once, but raises it only after the other nodes have had time to lower theirs, so
//! that the sum of the shares stays within the limit while the nodes are connected. During a network
//! partition each side keeps the last shares.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_config::Tenant;
use beamwall_model::TenantName;
use quick_error::quick_error;
use tokio::time::Instant;

/// Size of a full bucket: the work that may be admitted at once after an idle period, in seconds of the
/// node's rate.
const BURST_SECONDS: f64 = 1.0;
/// Delay before a node uses a larger share: longer than a heartbeat takes to reach all nodes, which lower
/// their shares when they receive it.
const RAISE_DELAY: Duration = Duration::from_millis(1_500);
/// Demand added to that of every node, as a fraction of the limit, so that an idle node has a share to start
/// with.
const IDLE_DEMAND_FRACTION: f64 = 0.02;
/// Weight of the newest reporting period in the smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.5;

quick_error! {
    /// The tenant exceeded a limit.
    #[derive(Debug, Clone, PartialEq)]
    pub enum LimitExceeded {
        /// A rate limit; after `retry_after` the work would be admitted.
        Rate(retry_after: Duration) {
            display("tenant rate limit exceeded")
        }
        /// The limit of open requests.
        Concurrency(limit: usize) {
            display("tenant has {} open requests", limit)
        }
    }
}

/// Work that is charged to a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Tokens of prompt and response.
    Tokens(u32),
    /// One call to a plain service.
    Call,
}

/// Token bucket of one limit, refilled at this node's share of the rate.
#[derive(Debug)]
struct RateBucket {
    limit: f64,
    share: f64,
    pending_raise: Option<(f64, Instant)>,
    available: f64,
    refilled: Instant,
    requested: f64,
    demand: f64,
}

impl RateBucket {
    fn new(limit: f64, share: f64, now: Instant) -> Self {
        Self {
            limit,
            share,
            pending_raise: None,
            available: limit * share,
            refilled: now,
            requested: 0.0,
            demand: 0.0,
        }
    }

    fn refill(&mut self, now: Instant) {
        if let Some((share, at)) = self.pending_raise
            && now >= at
        {
            self.share = share;
            self.pending_raise = None;
        }
        let rate = self.limit * self.share;
        let refilled_amount = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.refilled = now;
        self.available = (self.available + refilled_amount).min(rate * BURST_SECONDS);
    }

    fn consume(&mut self, amount: f64, now: Instant) -> Result<(), LimitExceeded> {
        self.requested += amount;
        self.refill(now);
        let rate = (self.limit * self.share).max(f64::MIN_POSITIVE);
        // Work larger than a full bucket would never be admitted; it is admitted when the bucket is full and
        // leaves the bucket negative.
        let needed = amount.min(rate * BURST_SECONDS);
        if self.available + 1e-9 >= needed {
            self.available -= amount;
            return Ok(());
        }
        let wait = ((needed - self.available) / rate).min(60.0);
        Err(LimitExceeded::Rate(Duration::from_secs_f64(wait)))
    }

    fn set_share(&mut self, share: f64, now: Instant) {
        if share <= self.share {
            self.share = share;
            self.pending_raise = None;
        } else {
            let at = self.pending_raise.map_or(now + RAISE_DELAY, |(_, at)| at);
            self.pending_raise = Some((share, at));
        }
    }

    fn close_period(&mut self, period: Duration) -> f64 {
        let rate = self.requested / period.as_secs_f64().max(1e-3);
        self.requested = 0.0;
        self.demand = self.demand * (1.0 - DEMAND_SMOOTHING) + rate * DEMAND_SMOOTHING;
        self.demand
    }
}

#[derive(Debug)]
struct Account {
    tokens: RateBucket,
    calls: RateBucket,
    open: usize,
}

/// Demand of one tenant at one node, per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Tokens requested, whether admitted or not.
    pub tokens: f64,
    /// Plain calls requested, whether admitted or not.
    pub calls: f64,
}

#[derive(Debug, Default)]
struct State {
    accounts: HashMap<TenantName, Account>,
    peers: HashMap<TenantName, Vec<Demand>>,
    peer_count: usize,
}

impl State {
    /// Demands of all other nodes; a node that reported none counts as idle.
    fn peer_demands(&self, tenant: &TenantName) -> Vec<Demand> {
        let mut others = self.peers.get(tenant).cloned().unwrap_or_default();
        others.resize(self.peer_count.max(others.len()), Demand::default());
        others
    }
}

/// Rate and concurrency limits of all tenants at this node.
#[derive(Debug, Default)]
pub struct TenantLimits {
    state: Mutex<State>,
}

impl TenantLimits {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges work to a tenant's limits and opens a request. For a tenant that is new to this node the
    /// share is that of an idle node, which the shares of the other nodes already leave free.
    pub fn open(&self, tenant: &Tenant, work: Work) -> Result<(), LimitExceeded> {
        let now = Instant::now();
        let mut state = self.lock();
        if !state.accounts.contains_key(&tenant.name) {
            let account = new_account(tenant, &state.peer_demands(&tenant.name), now);
            state.accounts.insert(tenant.name.clone(), account);
        }
        let Some(account) = state.accounts.get_mut(&tenant.name) else { return Ok(()) };
        account.tokens.limit = tenant.tokens_per_second as f64;
        account.calls.limit = tenant.calls_per_second as f64;
        if account.open >= tenant.max_concurrent {
            return Err(LimitExceeded::Concurrency(tenant.max_concurrent));
        }
        match work {
            Work::Tokens(tokens) => account.tokens.consume(tokens.into(), now)?,
            Work::Call => account.calls.consume(1.0, now)?,
        }
        account.open += 1;
        Ok(())
    }

    /// Closes a request of a tenant.
    pub fn close(&self, tenant: &TenantName) {
        if let Some(account) = self.lock().accounts.get_mut(tenant) {
            account.open = account.open.saturating_sub(1);
        }
    }

    /// Ends a reporting period and returns the smoothed demand of each tenant at this node.
    pub fn close_period(&self, period: Duration) -> Vec<(TenantName, Demand)> {
        let mut state = self.lock();
        let demand = |account: &mut Account| Demand {
            tokens: account.tokens.close_period(period),
            calls: account.calls.close_period(period),
        };
        state.accounts.iter_mut().map(|(tenant, account)| (tenant.clone(), demand(account))).collect()
    }

    /// Computes this node's shares from the demands that all nodes reported. `own` must be the demand that
    /// this node last reported, so that every node computes with the same numbers.
    pub fn set_shares(
        &self,
        own: &HashMap<TenantName, Demand>,
        peers: HashMap<TenantName, Vec<Demand>>,
        peer_count: usize,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        state.peers = peers;
        state.peer_count = peer_count;
        let tenants: Vec<TenantName> = state.accounts.keys().cloned().collect();
        for tenant in tenants {
            let others = state.peer_demands(&tenant);
            let own = own.get(&tenant).copied().unwrap_or_default();
            let Some(account) = state.accounts.get_mut(&tenant) else { continue };
            let (tokens, calls) =
                token_and_call_shares(own, &others, account.tokens.limit, account.calls.limit);
            account.tokens.set_share(tokens, now);
            account.calls.set_share(calls, now);
        }
    }

    /// This node's shares of a tenant's token and call limits, from 0 to 1.
    pub fn shares(&self, tenant: &TenantName) -> Option<(f64, f64)> {
        self.lock().accounts.get(tenant).map(|account| (account.tokens.share, account.calls.share))
    }
}

fn new_account(tenant: &Tenant, others: &[Demand], now: Instant) -> Account {
    let token_limit = tenant.tokens_per_second as f64;
    let call_limit = tenant.calls_per_second as f64;
    let (tokens, calls) = token_and_call_shares(Demand::default(), others, token_limit, call_limit);
    Account {
        tokens: RateBucket::new(token_limit, tokens, now),
        calls: RateBucket::new(call_limit, calls, now),
        open: 0,
    }
}

fn token_and_call_shares(own: Demand, others: &[Demand], token_limit: f64, call_limit: f64) -> (f64, f64) {
    let token_demands: Vec<f64> = others.iter().map(|demand| demand.tokens).collect();
    let call_demands: Vec<f64> = others.iter().map(|demand| demand.calls).collect();
    (share(own.tokens, &token_demands, token_limit), share(own.calls, &call_demands, call_limit))
}

/// Share of a limit for a node with demand `own`. The shares of all nodes sum to 1.
pub fn share(own: f64, others: &[f64], limit: f64) -> f64 {
    let floor = limit * IDLE_DEMAND_FRACTION;
    let counted = |demand: f64| demand.max(0.0) + floor;
    let total = counted(own) + others.iter().map(|demand| counted(*demand)).sum::<f64>();
    counted(own) / total
}
