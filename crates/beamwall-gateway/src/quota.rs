//! Tenant quotas that hold over all nodes.
//!
//! All nodes that hear each other keep the same bucket for a tenant: each tells what it has let pass
//! since its start, and takes off its own level what the others tell. What a node lets pass between
//! two tellings is bounded by its part of the level and of the tolerated slack, so all together stay
//! within both.
//!
//! A node that is not heard may be cut off and still serve its callers. So the nodes that hear each
//! other refill their bucket at their part of the rate only: as many parts as they are, of as many
//! nodes as are known. The sum over all sides of a cut never exceeds the whole rate.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{NodeId, TenantName};
use beamwall_policy::Tenant;
use tokio::time::Instant;

/// Longest time that a refused caller is told to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(4);
/// Part of the burst below which a node tells the others at once what it lets pass.
const LOW_LEVEL: f64 = 0.5;

/// The nodes among which quotas are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Nodes that hear each other, this one included.
    pub heard: usize,
    /// Nodes that are known, silent ones included.
    pub known: usize,
}

impl Sharing {
    fn part(self) -> f64 {
        let known = self.known.max(1) as f64;
        (self.heard.max(1) as f64 / known).min(1.0)
    }
}

#[derive(Debug)]
struct Account {
    /// Work that may pass now; negative after work that was larger than what was left.
    level: f64,
    refilled: Instant,
    /// Work let pass by this node since its start.
    passed: f64,
    /// Part of it that the others were not told yet.
    untold: f64,
}

/// What a peer told last.
#[derive(Debug, Default)]
struct PeerUse {
    life: u64,
    passed: HashMap<TenantName, f64>,
}

#[derive(Debug)]
struct State {
    accounts: HashMap<TenantName, Account>,
    peers: HashMap<NodeId, PeerUse>,
    sharing: Sharing,
}

/// The tenants' accounts at this node.
#[derive(Debug)]
pub struct QuotaBook {
    /// Work beyond a quota that is tolerated in one window, over all nodes.
    slack: f64,
    /// Number of this node's own life; lives of all nodes are numbered by their start.
    life: u64,
    state: Mutex<State>,
}

/// Work charged to an account.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    /// The tenant.
    pub tenant: TenantName,
    /// The work.
    pub amount: f64,
    /// Whether the others should be told at once.
    pub is_urgent: bool,
}

/// A tenant is beyond its quota here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// When the work would fit.
    pub retry_after: Duration,
    /// Work that could have passed.
    pub level: f64,
    /// Work that was asked for.
    pub amount: f64,
    /// The nodes among which the quota was divided.
    pub sharing: Sharing,
    /// Whether it would fit once the others have been told what passed here before.
    pub fits_when_told: bool,
}

impl QuotaBook {
    /// Accounts of a node that assumes to be one of `expected_nodes` until it hears of others.
    pub fn new(slack: f64, expected_nodes: usize) -> Self {
        let sharing = Sharing { heard: 1, known: expected_nodes.max(1) };
        let state = State { accounts: HashMap::new(), peers: HashMap::new(), sharing };
        Self { slack, life: u64::MAX, state: Mutex::new(state) }
    }

    /// The same accounts of a node whose life has this number.
    pub fn started_at(mut self, life: u64) -> Self {
        self.life = life;
        self
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges work to a tenant, unless it is beyond its quota. Tenants without a rate have none.
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
        let sharing = state.sharing;
        let slack_part = self.slack / sharing.known.max(1) as f64;
        let account = state.accounts.entry(tenant.name.clone()).or_insert_with(|| Account::new(now));
        account.refill(tenant, sharing, now);
        let part_of_level = account.level.max(0.0) / sharing.heard.max(1) as f64;
        let needed = amount.min(tenant.burst + slack_part);
        let fits_level = account.level + slack_part >= needed;
        let fits_part = account.untold <= 0.0 || account.untold + amount <= part_of_level + slack_part;
        if !(fits_level && fits_part) {
            let missing = (needed - slack_part - account.level).max(0.0);
            let rate = (tenant.rate_per_second * sharing.part()).max(1.0);
            let wait = Duration::from_secs_f64((missing / rate).min(LONGEST_WAIT.as_secs_f64()));
            return Err(QuotaExceeded {
                retry_after: wait,
                level: account.level,
                amount,
                sharing,
                fits_when_told: fits_level,
            });
        }
        account.level -= amount;
        account.passed += amount;
        account.untold += amount;
        let is_urgent = account.level < tenant.burst * LOW_LEVEL;
        Ok(Some(Charge { tenant: tenant.name.clone(), amount, is_urgent }))
    }

    /// Gives back work that did not run.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.lock().accounts.get_mut(&charge.tenant) {
            account.level += charge.amount;
            account.passed -= charge.amount;
            account.untold -= charge.amount;
        }
    }

    /// What this node has let pass since its start, to be told to the others now.
    pub fn tell(&self) -> Vec<(TenantName, f64)> {
        let mut state = self.lock();
        let told = |(tenant, account): (&TenantName, &mut Account)| {
            account.untold = 0.0;
            (tenant.clone(), account.passed)
        };
        state.accounts.iter_mut().map(told).collect()
    }

    /// Takes what a peer told of one of its lives. What a peer that started earlier had let pass before
    /// its first telling is not held against this node's level, which began without it.
    pub fn hear(&self, node: &NodeId, life: u64, passed: HashMap<TenantName, f64>) {
        let mut state = self.lock();
        let State { accounts, peers, .. } = &mut *state;
        let known = peers.entry(node.clone()).or_default();
        if life < known.life {
            return;
        }
        if life > known.life {
            *known = PeerUse { life, passed: HashMap::new() };
        }
        let is_younger = life > self.life;
        for (tenant, total) in passed {
            let unknown_before = if is_younger { 0.0 } else { total };
            let before = known.passed.insert(tenant.clone(), total).unwrap_or(unknown_before);
            if let Some(account) = accounts.get_mut(&tenant) {
                account.level -= total - before;
            }
        }
    }

    /// Sets the nodes among which quotas are divided, and opens the accounts of all tenants, so that
    /// what peers tell is held against them from now on.
    pub fn share(&self, sharing: Sharing, tenants: &[Tenant], now: Instant) {
        let mut state = self.lock();
        let before = state.sharing;
        state.sharing = sharing;
        for tenant in tenants.iter().filter(|tenant| tenant.rate_per_second > 0.0) {
            let account = state.accounts.entry(tenant.name.clone()).or_insert_with(|| Account::new(now));
            account.refill(tenant, before, now);
        }
    }
}

impl Account {
    /// An account begins empty: what passed elsewhere before is not known.
    fn new(now: Instant) -> Self {
        Self { level: 0.0, refilled: now, passed: 0.0, untold: 0.0 }
    }

    fn refill(&mut self, tenant: &Tenant, sharing: Sharing, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let gained = passed * tenant.rate_per_second * sharing.part();
        self.level = (self.level + gained).min(tenant.burst);
    }
}
