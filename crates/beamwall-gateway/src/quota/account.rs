//! One tenant's account at one node.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::QuotaMembership;

/// Time within which other zones learn what was let pass in this one.
const ZONE_REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// Time over which the usual work of a tenant is averaged: other zones tell theirs once a second.
const RATE_AVERAGING_TIME: Duration = Duration::from_millis(2_400);
/// How many times its usual work a tenant may ask for, until all nodes have been told, without going beyond what it
/// may let pass in a window.
const SURGE_FACTOR: f64 = 4.0;
/// Time for which all nodes must have been heard until what was withheld for silent ones is owed to nobody: twice the
/// time within which a zone's sum is told.
const WITHHELD_RELEASE_DELAY: Duration = Duration::from_millis(2_400);
/// Longest time for which the rate is withheld for nodes that are not heard: what they let pass before is long
/// paid for.
const MAX_WITHHELD_TIME: Duration = Duration::from_secs(20);
/// Time for which work that passed is kept. Windows of quotas are seconds; over a longer one nodes keep to their parts.
pub(super) const HISTORY_TIME: Duration = Duration::from_secs(20);
/// Work let pass within this time is kept as one entry.
const HISTORY_ENTRY_TIME: Duration = Duration::from_millis(100);

/// How an account is refilled.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refill {
    /// Work a second that the tenant gains on all sides of a cut together.
    pub(super) rate: f64,
    /// This side's part of it, 1 for the whole.
    pub(super) fraction: f64,
    /// Work that the account holds at most.
    pub(super) burst: f64,
}

/// What a tenant may let pass at this node, and what of it others know.
#[derive(Debug)]
pub(super) struct Account {
    /// Work that may pass now; negative after work that was larger than what was left.
    pub(super) level: f64,
    /// Part of the rate that was left to nodes which were not heard. What these tell later that they let pass was
    /// covered by it.
    withheld: f64,
    /// Since when this account has been refilled at the whole rate; `None` while it is not.
    full_rate_since: Option<Instant>,
    last_refill: Instant,
    /// How it is refilled.
    refill: Refill,
    /// Work let pass by this node since its start.
    pub(super) admitted: f64,
    /// Part of it that the others were not told yet.
    pub(super) unreported: f64,
    /// Work let pass by all nodes that tell their own, since this node's start.
    pub(super) admitted_by_nodes: f64,
    /// The newest part of it, of which other zones may not know yet.
    recent: WorkHistory,
    /// The newest work that other zones told.
    recent_other_zones: WorkHistory,
}

impl Account {
    /// An account begins nearly empty: what passed elsewhere before is not known.
    pub(super) fn new(level: f64, refill: Refill, now: Instant) -> Self {
        Self {
            level,
            withheld: 0.0,
            full_rate_since: None,
            last_refill: now,
            refill,
            admitted: 0.0,
            unreported: 0.0,
            admitted_by_nodes: 0.0,
            recent: WorkHistory::default(),
            recent_other_zones: WorkHistory::default(),
        }
    }

    /// Adds what has been gained since the last time, and refills as told from now on.
    pub(super) fn set_refill(&mut self, refill: Refill, now: Instant) {
        self.refill(now);
        self.refill = refill;
        self.level = self.level.min(refill.burst);
    }

    /// Adds what had been gained when the work that is told now may have passed at the earliest: a rest before it, in which the account
    /// was full, pays for nothing that passed after it.
    pub(super) fn refill_before_report(&mut self, now: Instant) {
        if let Some(earliest) =
            now.checked_sub(ZONE_REPORT_DELAY).filter(|earliest| *earliest > self.last_refill)
        {
            self.refill(earliest);
        }
    }

    /// Adds what has been gained since the last time.
    fn refill(&mut self, now: Instant) {
        let Refill { rate, fraction, burst } = self.refill;
        let gained = now.saturating_duration_since(self.last_refill).as_secs_f64() * rate;
        self.last_refill = now;
        self.level = (self.level + gained * fraction).min(burst);
        self.withheld =
            (self.withheld + gained * (1.0 - fraction)).min(rate * MAX_WITHHELD_TIME.as_secs_f64());
        self.release_withheld(now);
    }

    /// Once all nodes have been heard for a while, what they let pass in their silence has been taken off, so what is
    /// left of the part withheld for it is the tenant's.
    fn release_withheld(&mut self, now: Instant) {
        if self.refill.fraction < 1.0 {
            self.full_rate_since = None;
            return;
        }
        let since = *self.full_rate_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= WITHHELD_RELEASE_DELAY {
            self.level = (self.level + self.withheld).min(self.refill.burst);
            self.withheld = 0.0;
        }
    }

    /// Takes off what a node let pass while it was not heard: first what was withheld for it.
    pub(super) fn debit_after_silence(&mut self, amount: f64, now: Instant) {
        self.level += self.cover_from_withheld(amount);
        self.debit_node(amount, now);
    }

    /// Takes from what was withheld what it covers of an amount; gives that.
    fn cover_from_withheld(&mut self, amount: f64) -> f64 {
        let covered = amount.clamp(0.0, self.withheld);
        self.withheld -= covered;
        covered
    }

    /// Takes off what a zone that is known by sums let pass.
    pub(super) fn debit_zone(&mut self, amount: f64, was_silent: bool, now: Instant) {
        let covered = if was_silent { self.cover_from_withheld(amount) } else { 0.0 };
        self.level -= amount - covered;
        self.recent_other_zones.add(amount, now);
    }

    /// Whether this work fits the level, and `allowance` still covers what passed within `window` and all that other
    /// nodes may let pass before they are told, judged by what passed everywhere a moment ago.
    pub(super) fn fits_allowance(&self, amount: f64, allowance: f64, window: Duration, now: Instant) -> bool {
        let used = self.admitted_everywhere(window, now);
        let recent_rate =
            self.admitted_everywhere(RATE_AVERAGING_TIME, now) / RATE_AVERAGING_TIME.as_secs_f64();
        // A tenant that has gone beyond its level passes nothing for a while, and asks no less.
        let typical_rate = recent_rate.max(used / window.as_secs_f64());
        let unreported_surge = SURGE_FACTOR * typical_rate * ZONE_REPORT_DELAY.as_secs_f64();
        self.level >= amount && used + unreported_surge + amount <= allowance
    }

    /// Lets work of this node pass.
    pub(super) fn admit_work(&mut self, amount: f64, now: Instant) {
        self.admitted += amount;
        self.unreported += amount;
        self.debit_node(amount, now);
    }

    /// Gives work back that did not run.
    pub(super) fn restore(&mut self, amount: f64) {
        self.level += amount;
        self.admitted -= amount;
        self.unreported -= amount;
        self.admitted_by_nodes -= amount;
    }

    fn admitted_everywhere(&self, within: Duration, now: Instant) -> f64 {
        self.recent.sum(within, now) + self.recent_other_zones.sum(within, now)
    }

    /// Takes off what this node, or one that tells its own, has let pass.
    pub(super) fn debit_node(&mut self, amount: f64, now: Instant) {
        self.level -= amount;
        self.admitted_by_nodes += amount;
        self.recent.add(amount, now);
    }

    /// Whether work fits what this zone may let pass before the other zones know of it: of what was there
    /// before the recent work, the zone's part. All zones together stay within it.
    pub(super) fn fits_direct_share(&self, amount: f64, membership: QuotaMembership, now: Instant) -> bool {
        if membership.direct_fraction() >= 1.0 {
            return true;
        }
        let recent = self.recent.sum(ZONE_REPORT_DELAY, now);
        let available = self.level.max(0.0) + recent;
        recent <= 0.0 || recent + amount <= membership.direct_fraction() * available
    }
}

/// Work let pass within [`KEPT_FOR`].
#[derive(Debug, Default)]
struct WorkHistory {
    entries: VecDeque<(Instant, f64)>,
}

impl WorkHistory {
    fn add(&mut self, amount: f64, now: Instant) {
        match self.entries.back_mut() {
            Some((started, sum)) if now.saturating_duration_since(*started) < HISTORY_ENTRY_TIME => {
                *sum += amount
            }
            _ => self.entries.push_back((now, amount)),
        }
        let is_expired = |started: &Instant| now.saturating_duration_since(*started) > HISTORY_TIME;
        while self.entries.front().is_some_and(|(started, _)| is_expired(started)) {
            self.entries.pop_front();
        }
    }

    fn sum(&self, within: Duration, now: Instant) -> f64 {
        let is_within = |(started, _): &&(Instant, f64)| now.saturating_duration_since(*started) <= within;
        self.entries.iter().rev().take_while(is_within).map(|(_, amount)| amount).sum()
    }
}
