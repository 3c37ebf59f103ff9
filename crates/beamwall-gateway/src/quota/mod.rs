//! Tenant quotas that hold over all nodes.
//!
//! All nodes that hear each other keep the same bucket for a tenant: each tells what it has let pass
//! since its start, and takes off its own level what the others tell. What a node lets pass between
//! two tellings is bounded by its part of the level and of the tolerated slack, so all together stay
//! within both.
//!
//! A node's part is small where there are many nodes, and one long prompt takes it all. So work that fits the level
//! passes at any node while the tenant has used so little in the window of its quota that the rest covers what all nodes
//! may let pass before they are told: four times what passed a moment ago in that time.
//!
//! A node that is not heard may be cut off and still serve its callers. So the nodes that hear each
//! other refill their bucket at their part of the rate only: as many parts as they are, of as many
//! nodes as are known. The sum over all sides of a cut never exceeds the whole rate.
//!
//! In a large deployment only the nodes of a zone tell each other; other zones are known by sums that
//! arrive later. Then what a whole zone lets pass in that time is bounded by the zone's part as well.

mod account;
mod reports;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{NodeId, TenantName, ZoneName};
use beamwall_policy::Tenant;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use account::{Account, HISTORY_TIME, Refill};
use reports::{NodeReports, ZoneReports};

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Least wait of a caller refused because others don't know yet what passed here. The nodes of the largest zone
/// that all tell each other are told within it.
const MIN_REPORT_WAIT: Duration = Duration::from_millis(300);
/// Part of the burst below which a node tells the others at once what it lets pass.
const URGENT_LEVEL_FRACTION: f64 = 0.5;

/// The nodes among which quotas are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaMembership {
    /// Nodes that hear each other, this one included.
    pub reachable: usize,
    /// Nodes that are known, silent ones included.
    pub known: usize,
    /// Those heard whose work is learnt at once: all in a small deployment, the zone's in a large one.
    pub direct: usize,
}

impl QuotaMembership {
    /// A deployment all of whose nodes tell each other.
    pub fn full_mesh(reachable: usize, known: usize) -> Self {
        Self { reachable, known, direct: reachable }
    }

    /// The part of the whole that the nodes told at once may use before the others know.
    fn direct_fraction(self) -> f64 {
        self.direct.max(1) as f64 / self.reachable.max(1) as f64
    }

    fn reachable_fraction(self) -> f64 {
        let known = self.known.max(1) as f64;
        (self.reachable.max(1) as f64 / known).min(1.0)
    }
}

#[derive(Debug)]
struct State {
    accounts: HashMap<TenantName, Account>,
    nodes: HashMap<NodeId, NodeReports>,
    zones: HashMap<ZoneName, ZoneReports>,
    membership: QuotaMembership,
}

/// What is tolerated beyond every quota, as a share of what a tenant may let pass in one window of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Share that is used all the time.
    pub sustained: f64,
    /// Share that may be used in any one window.
    pub in_window: f64,
    /// Share that nodes which start may use in all: their accounts don't know what passed before.
    pub at_start: f64,
    /// The window.
    pub window: Duration,
}

impl Tolerance {
    /// The rate at which accounts are refilled, in work a second.
    fn rate(self, tenant: &Tenant) -> f64 {
        tenant.rate_per_second * (1.0 + self.sustained)
    }

    /// The most that an account holds.
    fn burst(self, tenant: &Tenant) -> f64 {
        tenant.burst * (1.0 + self.sustained)
    }

    /// Whether it is known what passed in the window of quotas, where they have one.
    fn covers_window(self) -> bool {
        !self.window.is_zero() && self.window <= HISTORY_TIME
    }

    /// Work that the quota itself lets pass in one window.
    fn quota_in_window(self, tenant: &Tenant) -> f64 {
        tenant.rate_per_second * self.window.as_secs_f64() + tenant.burst
    }

    /// Work that may pass in one window.
    fn limit_in_window(self, tenant: &Tenant) -> f64 {
        self.quota_in_window(tenant) * (1.0 + self.in_window)
    }

    /// The level with which the account of one of `nodes` begins.
    fn first_level(self, tenant: &Tenant, nodes: usize) -> f64 {
        let per_node = self.quota_in_window(tenant) * self.at_start / nodes.max(1) as f64;
        per_node.min(self.burst(tenant))
    }
}

/// The tenants' accounts at this node.
#[derive(Debug)]
pub struct QuotaLimiter {
    tolerance: Tolerance,
    /// Work beyond a quota that is tolerated in one window, over all nodes.
    slack: f64,
    /// Number of this node's own life; lives of all nodes are numbered by their start.
    generation: u64,
    /// Told when this node has told the others what it let pass.
    reported: Notify,
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
    pub membership: QuotaMembership,
    /// Whether it would fit once the others have been told what passed here before.
    pub fits_after_report: bool,
}

impl QuotaLimiter {
    /// Accounts of a node that assumes to be one of `expected_nodes` until it hears of others.
    pub fn new(slack: f64, expected_nodes: usize) -> Self {
        let state = State {
            accounts: HashMap::new(),
            nodes: HashMap::new(),
            zones: HashMap::new(),
            membership: QuotaMembership::full_mesh(1, expected_nodes.max(1)),
        };
        Self {
            slack,
            tolerance: Tolerance::default(),
            generation: u64::MAX,
            reported: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// The same accounts of a node that uses what is tolerated.
    pub fn with_tolerance(mut self, tolerance: Tolerance) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// The account of a tenant with what it has gained since the last look.
    fn account<'a>(
        &self,
        accounts: &'a mut HashMap<TenantName, Account>,
        tenant: &Tenant,
        membership: QuotaMembership,
        now: Instant,
    ) -> &'a mut Account {
        let rate = self.tolerance.rate(tenant);
        let refill =
            Refill { rate, fraction: membership.reachable_fraction(), burst: self.tolerance.burst(tenant) };
        let new_account = || Account::new(self.tolerance.first_level(tenant, membership.known), refill, now);
        let account = accounts.entry(tenant.name.clone()).or_insert_with(new_account);
        account.set_refill(refill, now);
        account
    }

    /// The same accounts of a node whose life has this number.
    pub fn with_generation(mut self, generation: u64) -> Self {
        self.generation = generation;
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
        let membership = state.membership;
        let slack_share = self.slack / membership.known.max(1) as f64;
        let account = self.account(&mut state.accounts, tenant, membership, now);
        let level_share = account.level.max(0.0) / membership.reachable.max(1) as f64;
        let needed = amount.min(self.tolerance.burst(tenant) + slack_share);
        let fits_level = account.level + slack_share >= needed;
        let fits_node_share =
            account.unreported <= 0.0 || account.unreported + amount <= level_share + slack_share;
        let fits_zone_share = account.fits_direct_share(amount, membership, now);
        let allowance = self.tolerance.limit_in_window(tenant) * membership.reachable_fraction() + self.slack;
        let fits_allowance = self.tolerance.covers_window()
            && account.fits_allowance(amount, allowance, self.tolerance.window, now);
        if !(fits_allowance || fits_level && fits_node_share && fits_zone_share) {
            let deficit = (needed - slack_share - account.level).max(0.0);
            let rate = (self.tolerance.rate(tenant) * membership.reachable_fraction()).max(1.0);
            let refill_time = Duration::from_secs_f64((deficit / rate).min(MAX_RETRY_AFTER.as_secs_f64()));
            let wait = if fits_node_share && fits_zone_share {
                refill_time
            } else {
                refill_time.max(MIN_REPORT_WAIT)
            };
            return Err(QuotaExceeded {
                retry_after: wait,
                level: account.level,
                amount,
                membership,
                fits_after_report: fits_level && fits_zone_share,
            });
        }
        account.admit_work(amount, now);
        let is_urgent = account.level < tenant.burst * URGENT_LEVEL_FRACTION;
        Ok(Some(Charge { tenant: tenant.name.clone(), amount, is_urgent }))
    }

    /// Gives back work that did not run.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.lock().accounts.get_mut(&charge.tenant) {
            account.restore(charge.amount);
        }
    }

    /// Work that may pass now, by tenant, as last computed; negative after large work.
    pub fn levels(&self) -> Vec<(TenantName, f64)> {
        self.lock().accounts.iter().map(|(tenant, account)| (tenant.clone(), account.level)).collect()
    }

    /// The nodes among which quotas are divided.
    pub fn membership(&self) -> QuotaMembership {
        self.lock().membership
    }

    /// What this node has let pass since its start, to be told to the others now.
    pub fn take_report(&self) -> Vec<(TenantName, f64)> {
        let mut state = self.lock();
        let totals_of = |(tenant, account): (&TenantName, &mut Account)| {
            account.unreported = 0.0;
            (tenant.clone(), account.admitted)
        };
        let uses = state.accounts.iter_mut().map(totals_of).collect();
        self.reported.notify_waiters();
        uses
    }

    /// Waits for the next [`Self::tell`], also if it comes before the wait is begun.
    pub fn next_report(&self) -> Notified<'_> {
        self.reported.notified()
    }

    /// What all nodes that tell their own have let pass since this node's start, to be told to other zones.
    pub fn sum_of_nodes(&self) -> Vec<(TenantName, f64)> {
        let state = self.lock();
        state.accounts.iter().map(|(tenant, account)| (tenant.clone(), account.admitted_by_nodes)).collect()
    }

    /// Takes what a peer told of one of its lives. What a peer that started earlier had let pass before
    /// its first telling is not held against this node's level, which began without it.
    pub fn merge_node_usage(
        &self,
        node: &NodeId,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) {
        let mut state = self.lock();
        let State { accounts, nodes, .. } = &mut *state;
        let started_later = generation > self.generation;
        let node = nodes.entry(node.clone()).or_default();
        let was_silent = node.was_silent(now);
        for (tenant, amount) in node.update_totals(generation, totals, started_later, now) {
            let Some(account) = accounts.get_mut(&tenant) else { continue };
            account.refill_before_report(now);
            if was_silent {
                account.debit_after_silence(amount, now);
            } else {
                account.debit_node(amount, now);
            }
        }
    }

    /// Takes what a relay told of all nodes of its zone.
    pub fn merge_zone_usage(
        &self,
        zone: &ZoneName,
        relay: &NodeId,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) {
        let mut state = self.lock();
        let State { accounts, zones, .. } = &mut *state;
        let zone = zones.entry(zone.clone()).or_default();
        let was_silent = zone.was_silent(now);
        for (tenant, amount) in zone.update_totals(relay, generation, totals, now) {
            let Some(account) = accounts.get_mut(&tenant) else { continue };
            account.refill_before_report(now);
            account.debit_zone(amount, was_silent, now);
        }
    }

    /// Sets the nodes among which quotas are divided, and opens the accounts of all tenants, so that
    /// what peers tell is held against them from now on.
    pub fn set_membership<'a>(
        &self,
        membership: QuotaMembership,
        tenants: impl IntoIterator<Item = &'a Tenant>,
        now: Instant,
    ) {
        let mut state = self.lock();
        state.membership = membership;
        for tenant in tenants.into_iter().filter(|tenant| tenant.rate_per_second > 0.0) {
            self.account(&mut state.accounts, tenant, membership, now);
        }
    }
}
