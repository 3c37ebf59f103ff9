//! Distributed rate limits for tenants, enforced across all nodes.
//!
//! All nodes that reach each other keep a replica of the same token bucket for a tenant. Each node reports
//! the total work that it has admitted since its start, and debits the totals reported by the others from its
//! own level. The work that a node admits between two reports is bounded by its share of the level and of the
//! tolerated slack, so all nodes together stay within both.
//!
//! With many nodes the share of one node is small, and a single long prompt uses it up. Therefore any node
//! admits work that fits the level while the tenant has used little of its quota window: the rest of the
//! window's allowance must cover the work that all nodes may admit before they receive a report, taken as
//! four times the recent rate.
//!
//! An unreachable node may be partitioned and still serve its callers. Therefore the nodes that reach each
//! other refill the bucket only at their fraction of the rate: the number of reachable nodes over the number
//! of known nodes. The sum over all sides of a partition never exceeds the full rate.
//!
//! In a large deployment only the nodes of one zone report to each other directly; other zones send summaries
//! that arrive later. The work that a whole zone admits in the meantime is then bounded by the zone's
//! fraction as well.

mod account;
mod cause;
mod overdraft;
mod reports;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{NodeId, TenantName, ZoneName};
use beamwall_policy::Tenant;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use account::{Account, HISTORY_TIME, Refill, ZoneShare};
use overdraft::{NODE_REPORT_DELAY, Overdraft};
use reports::{NodeReports, ZoneReports};

pub use cause::RefusalCause;

/// Largest retry delay that is returned to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// The nodes among which quotas are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaMembership {
    /// Nodes that reach each other, this one included.
    pub reachable: usize,
    /// Known nodes, unreachable ones included.
    pub known: usize,
    /// Reachable nodes that report directly to this one: all in a small deployment, those of the zone in a
    /// large one.
    pub direct: usize,
}

impl QuotaMembership {
    /// A deployment in which all nodes report to each other directly.
    pub fn full_mesh(reachable: usize, known: usize) -> Self {
        Self { reachable, known, direct: reachable }
    }

    /// The fraction of a quota that the directly reporting nodes may use before the others receive a report.
    fn direct_fraction(self) -> f64 {
        self.direct.max(1) as f64 / self.reachable.max(1) as f64
    }

    /// The part of every limit of all nodes that the reachable ones may use, 0 to 1.
    pub fn reachable_fraction(self) -> f64 {
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

/// Tolerated excess over every quota, as shares of the work that the quota admits in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Share that is used continuously.
    pub sustained: f64,
    /// Share that may be used in any one window.
    pub in_window: f64,
    /// Share that all starting nodes together may use, since their accounts don't know the work admitted
    /// before.
    pub at_start: f64,
    /// Length of the quota window.
    pub window: Duration,
}

impl Tolerance {
    /// The refill rate of accounts, in work per second.
    fn rate(self, tenant: &Tenant) -> f64 {
        tenant.rate_per_second * (1.0 + self.sustained)
    }

    /// The capacity of an account.
    fn burst(self, tenant: &Tenant) -> f64 {
        tenant.burst * (1.0 + self.sustained)
    }

    /// Whether there is a quota window and the recorded work covers it.
    fn covers_window(self) -> bool {
        !self.window.is_zero() && self.window <= HISTORY_TIME
    }

    /// Work that the quota admits in one window, without tolerance.
    fn quota_in_window(self, tenant: &Tenant) -> f64 {
        tenant.rate_per_second * self.window.as_secs_f64() + tenant.burst
    }

    /// Work that may be admitted in one window, with tolerance.
    fn limit_in_window(self, tenant: &Tenant) -> f64 {
        self.quota_in_window(tenant) * (1.0 + self.in_window)
    }

    /// The initial level of an account at one of `nodes` nodes.
    fn first_level(self, tenant: &Tenant, nodes: usize) -> f64 {
        let per_node = self.quota_in_window(tenant) * self.at_start / nodes.max(1) as f64;
        per_node.min(self.burst(tenant))
    }
}

/// Enforces tenant quotas at this node.
#[derive(Debug)]
pub struct QuotaLimiter {
    tolerance: Tolerance,
    overdraft: Overdraft,
    /// Work beyond a quota that all nodes together may admit in one window.
    slack: f64,
    /// Generation of this node's process. Generations of all nodes are ordered by their start time.
    generation: u64,
    /// Notified when this node has taken a usage report for its peers.
    reported: Notify,
    state: Mutex<State>,
}

/// Work charged to an account.
#[derive(Debug, Clone, PartialEq)]
pub struct Charge {
    /// The charged tenant.
    pub tenant: TenantName,
    /// The charged amount of work.
    pub amount: f64,
    /// Whether the admitted work should be reported to peers at once.
    pub is_urgent: bool,
}

/// Work was refused because the tenant has exceeded its quota at this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// Delay after which the work would fit.
    pub retry_after: Duration,
    /// Work that could have been admitted.
    pub level: f64,
    /// Work that was requested.
    pub amount: f64,
    /// The nodes among which the quota was divided.
    pub membership: QuotaMembership,
    /// Whether the work would fit once peers have received this node's report.
    pub fits_after_report: bool,
    /// What the level was lacking.
    pub cause: RefusalCause,
}

impl QuotaLimiter {
    /// Creates a limiter that divides quotas by `expected_nodes` until the membership is set.
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
            overdraft: Overdraft::default(),
            generation: u64::MAX,
            reported: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// Sets the tolerated excess over quotas.
    pub fn with_tolerance(mut self, tolerance: Tolerance) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// Returns the refilled account of a tenant, creating it if needed.
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

    /// Sets whether accounts may be overdrawn within the tolerance.
    pub fn with_overdraft(mut self, is_allowed: bool) -> Self {
        self.overdraft = Overdraft { is_allowed };
        self
    }

    /// Sets the generation of this node.
    pub fn with_generation(mut self, generation: u64) -> Self {
        self.generation = generation;
        self
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Charges work to a tenant unless it exceeds the quota. Tenants without a rate have no quota.
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
        let overdraft = self.overdraft.amount(self.tolerance, self.slack, tenant, membership);
        let report_delay = self.overdraft.report_delay(state.zones.values(), now);
        let share = ZoneShare { fraction: membership.direct_fraction(), overdraft, report_delay };
        let account = self.account(&mut state.accounts, tenant, membership, now);
        let available = account.level + overdraft;
        let level_share = available.max(0.0) / membership.reachable.max(1) as f64;
        let needed = amount.min(self.tolerance.burst(tenant) + slack_share);
        let fits_level = available + slack_share >= needed;
        let fits_node_share =
            account.unreported <= 0.0 || account.unreported + amount <= level_share + slack_share;
        let fits_zone_share = account.fits_direct_share(amount, share, now);
        let allowance = self.tolerance.limit_in_window(tenant) * membership.reachable_fraction() + self.slack;
        let fits_allowance = self.tolerance.covers_window()
            && account.fits_allowance(amount, allowance, self.tolerance.window, share, now);
        if !(fits_allowance || fits_level && fits_node_share && fits_zone_share) {
            let deficit = (needed - slack_share - available).max(0.0);
            let rate = (self.tolerance.rate(tenant) * membership.reachable_fraction()).max(1.0);
            let refill_time = Duration::from_secs_f64((deficit / rate).min(MAX_RETRY_AFTER.as_secs_f64()));
            let wait = if fits_node_share && fits_zone_share {
                refill_time
            } else {
                refill_time.max(self.overdraft.report_wait(report_delay))
            };
            let cause = if fits_level {
                RefusalCause::ShareUsed
            } else if account.level_without_unknown_work(now) + overdraft + slack_share >= needed {
                RefusalCause::Withheld
            } else {
                RefusalCause::LimitUsed
            };
            return Err(QuotaExceeded {
                retry_after: wait,
                level: account.level,
                amount,
                membership,
                fits_after_report: fits_level && (fits_zone_share || self.overdraft.is_allowed),
                cause,
            });
        }
        account.admit_work(amount, now);
        let is_urgent = account.level < tenant.burst * self.overdraft.urgent_fraction();
        Ok(Some(Charge { tenant: tenant.name.clone(), amount, is_urgent }))
    }

    /// Refunds work that did not run.
    pub fn refund(&self, charge: &Charge) {
        if let Some(account) = self.lock().accounts.get_mut(&charge.tenant) {
            account.restore(charge.amount);
        }
    }

    /// Bucket levels by tenant as of the last refill; negative after work larger than the level.
    pub fn levels(&self) -> Vec<(TenantName, f64)> {
        self.lock().accounts.iter().map(|(tenant, account)| (tenant.clone(), account.level)).collect()
    }

    /// The nodes among which quotas are divided.
    pub fn membership(&self) -> QuotaMembership {
        self.lock().membership
    }

    /// Returns the work admitted by this node since its start, by tenant, and marks it as reported to peers.
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

    /// Waits for the next [`Self::take_report`], including one that happens before the future is first
    /// polled.
    pub fn next_report(&self) -> Notified<'_> {
        self.reported.notified()
    }

    /// Work admitted since this node's start by all directly reporting nodes, for the summary sent to other
    /// zones.
    pub fn sum_of_nodes(&self) -> Vec<(TenantName, f64)> {
        let state = self.lock();
        state.accounts.iter().map(|(tenant, account)| (tenant.clone(), account.admitted_by_nodes)).collect()
    }

    /// Merges the totals reported by one generation of a peer. If the peer started before this node, the work
    /// it admitted before its first report is not debited, since this node's initial level did not include
    /// it.
    ///
    /// Returns whether other zones should receive a summary at once, since a tenant is near its limit.
    pub fn merge_node_usage(
        &self,
        node: &NodeId,
        generation: u64,
        totals: HashMap<TenantName, f64>,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let State { accounts, nodes, .. } = &mut *state;
        let started_later = generation > self.generation;
        let node = nodes.entry(node.clone()).or_default();
        let was_silent = node.was_silent(now);
        let interval = node.since_last_report(now).unwrap_or_default();
        let mut is_urgent = false;
        for (tenant, amount) in node.update_totals(generation, totals, started_later, now) {
            let Some(account) = accounts.get_mut(&tenant) else { continue };
            account.refill_before_report(now);
            if was_silent {
                account.debit_after_silence(amount, now);
            } else {
                account.debit_node(amount, now);
            }
            if self.overdraft.is_allowed {
                account.credit_overflow(amount, interval, now);
                is_urgent |= amount > 0.0 && account.is_below(self.overdraft.urgent_fraction());
            }
        }
        is_urgent
    }

    /// Merges the totals that a relay reported for all nodes of its zone.
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
        let interval = zone.since_last_report(now).unwrap_or_default() + NODE_REPORT_DELAY;
        for (tenant, amount) in zone.update_totals(relay, generation, totals, now) {
            let Some(account) = accounts.get_mut(&tenant) else { continue };
            account.refill_before_report(now);
            account.debit_zone(amount, was_silent, now);
            if self.overdraft.is_allowed {
                account.credit_overflow(amount, interval, now);
            }
        }
    }

    /// Sets the nodes among which quotas are divided, and creates the accounts of all tenants, so that usage
    /// reported by peers is debited from now on.
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
