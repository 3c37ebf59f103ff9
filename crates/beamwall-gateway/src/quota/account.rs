//! The token bucket of one tenant at one node.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time within which other zones learn of work admitted in this zone.
pub(super) const ZONE_REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// Time over which the rate of a tenant is averaged. Other zones report once a second.
const RATE_AVERAGING_TIME: Duration = Duration::from_millis(2_400);
/// Factor by which a tenant's rate may rise before all nodes have received a report, without exceeding the
/// window's allowance.
const SURGE_FACTOR: f64 = 4.0;
/// Time for which all nodes must have been reachable before work withheld for silent nodes is released: twice
/// the time within which a zone summary is reported.
const WITHHELD_RELEASE_DELAY: Duration = Duration::from_millis(2_400);
/// Longest time for which the rate is withheld for unreachable nodes. Work that they admitted earlier has
/// been covered by the refill since.
const MAX_WITHHELD_TIME: Duration = Duration::from_secs(20);
/// Time for which admitted work is recorded. Quota windows last seconds; with a longer window than this, each
/// node keeps to its share of the quota.
pub(super) const HISTORY_TIME: Duration = Duration::from_secs(20);
/// Work admitted within this time is recorded as one entry.
const HISTORY_ENTRY_TIME: Duration = Duration::from_millis(100);

/// The refill parameters of an account.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refill {
    /// Work per second that the tenant gains on all sides of a network partition together.
    pub(super) rate: f64,
    /// This side's fraction of the rate; 1 for the full rate.
    pub(super) fraction: f64,
    /// Capacity of the bucket.
    pub(super) burst: f64,
}

/// Work that this node may admit for a tenant, and how much of the admitted work has been reported.
#[derive(Debug)]
pub(super) struct Account {
    /// Work that may be admitted now; negative after work that exceeded the level.
    pub(super) level: f64,
    /// Refill that was withheld for unreachable nodes. It covers the work that these nodes report later.
    withheld: f64,
    /// When refilling at the full rate began; `None` while the rate is reduced.
    full_rate_since: Option<Instant>,
    last_refill: Instant,
    refill: Refill,
    /// Work admitted by this node since its start.
    pub(super) admitted: f64,
    /// Work admitted by this node and not reported to peers yet.
    pub(super) unreported: f64,
    /// Work admitted since this node's start by all nodes that report to it directly, this node included.
    pub(super) admitted_by_nodes: f64,
    /// Recent work of the same nodes, of which other zones may not know yet.
    recent: WorkHistory,
    /// Recent work reported by other zones.
    recent_other_zones: WorkHistory,
    /// Refill that a full bucket did not take.
    overflow: WorkHistory,
    created: Instant,
    /// Part of the burst that is missing from the initial level.
    missing_at_start: f64,
}

impl Account {
    /// Creates an account. `level` is low, since work admitted elsewhere before is not known.
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
            overflow: WorkHistory::default(),
            created: now,
            missing_at_start: (refill.burst - level).max(0.0),
        }
    }

    /// The level if nodes that this one has not heard of have admitted nothing.
    pub(super) fn level_without_unknown_work(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.created);
        let missing = if age < MAX_WITHHELD_TIME { self.missing_at_start } else { 0.0 };
        self.level + self.withheld + missing
    }

    /// Refills the account up to now and uses the new parameters from now on.
    pub(super) fn set_refill(&mut self, refill: Refill, now: Instant) {
        self.refill(now);
        self.refill = refill;
        self.level = self.level.min(refill.burst);
    }

    /// Refills the account up to the earliest time at which the work being reported may have been admitted,
    /// so that idle time before it, in which the bucket was full, does not offset the work.
    pub(super) fn refill_before_report(&mut self, now: Instant) {
        if let Some(earliest) =
            now.checked_sub(ZONE_REPORT_DELAY).filter(|earliest| *earliest > self.last_refill)
        {
            self.refill(earliest);
        }
    }

    /// Refills the account up to now.
    fn refill(&mut self, now: Instant) {
        let Refill { rate, fraction, burst } = self.refill;
        let gained = now.saturating_duration_since(self.last_refill).as_secs_f64() * rate;
        self.last_refill = now;
        let refilled = self.level + gained * fraction;
        self.level = refilled.min(burst);
        if refilled > burst {
            self.overflow.add(refilled - burst, now);
        }
        self.withheld =
            (self.withheld + gained * (1.0 - fraction)).min(rate * MAX_WITHHELD_TIME.as_secs_f64());
        self.release_withheld(now);
    }

    /// Releases the withheld work to the tenant once all nodes have been reachable for
    /// [`WITHHELD_RELEASE_DELAY`]. By then, work that they admitted while unreachable has been debited.
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

    /// Credits refill that was lost because work reported now, admitted within `interval`, had not been
    /// debited. That work is taken as admitted in the middle of the interval.
    pub(super) fn credit_overflow(&mut self, reported: f64, interval: Duration, now: Instant) {
        let since_middle = interval.min(ZONE_REPORT_DELAY) / 2;
        let credited = self.overflow.take(reported.max(0.0), since_middle, now);
        self.level = (self.level + credited).min(self.refill.burst);
    }

    /// Debits work that a node admitted while it was silent, first from the withheld work.
    pub(super) fn debit_after_silence(&mut self, amount: f64, now: Instant) {
        self.level += self.cover_from_withheld(amount);
        self.debit_node(amount, now);
    }

    /// Debits as much of an amount as possible from the withheld work and returns the debited part.
    fn cover_from_withheld(&mut self, amount: f64) -> f64 {
        let covered = amount.clamp(0.0, self.withheld);
        self.withheld -= covered;
        covered
    }

    /// Debits work reported in the summary of another zone.
    pub(super) fn debit_zone(&mut self, amount: f64, was_silent: bool, now: Instant) {
        let covered = if was_silent { self.cover_from_withheld(amount) } else { 0.0 };
        self.level -= amount - covered;
        self.recent_other_zones.add(amount, now);
    }

    /// Whether this work fits what is available and `allowance` covers it together with the work admitted
    /// within `window` and the work that other nodes may admit before they receive a report, estimated from
    /// the tenant's recent rate.
    pub(super) fn fits_allowance(
        &self,
        amount: f64,
        allowance: f64,
        window: Duration,
        share: ZoneShare,
        now: Instant,
    ) -> bool {
        let used = self.admitted_everywhere(window, now);
        let recent_rate =
            self.admitted_everywhere(RATE_AVERAGING_TIME, now) / RATE_AVERAGING_TIME.as_secs_f64();
        // A tenant that exceeded its level has nothing admitted for a while, although its demand has not
        // dropped.
        let typical_rate = recent_rate.max(used / window.as_secs_f64());
        let unreported_surge = SURGE_FACTOR * typical_rate * share.report_delay.as_secs_f64();
        self.level + share.overdraft >= amount && used + unreported_surge + amount <= allowance
    }

    /// Whether the level is below this fraction of the capacity.
    pub(super) fn is_below(&self, fraction: f64) -> bool {
        self.level < self.refill.burst * fraction
    }

    /// Admits work at this node.
    pub(super) fn admit_work(&mut self, amount: f64, now: Instant) {
        self.admitted += amount;
        self.unreported += amount;
        self.debit_node(amount, now);
    }

    /// Credits back work that did not run.
    pub(super) fn restore(&mut self, amount: f64) {
        self.level += amount;
        self.admitted -= amount;
        self.unreported -= amount;
        self.admitted_by_nodes -= amount;
    }

    fn admitted_everywhere(&self, within: Duration, now: Instant) -> f64 {
        self.recent.sum(within, now) + self.recent_other_zones.sum(within, now)
    }

    /// Debits work admitted by this node or by one that reports to it directly.
    pub(super) fn debit_node(&mut self, amount: f64, now: Instant) {
        self.level -= amount;
        self.admitted_by_nodes += amount;
        self.recent.add(amount, now);
    }

    /// Whether work fits the amount that this zone may admit before other zones receive its report: the
    /// zone's fraction of what was available before the recent work. All zones together then stay within
    /// what is available.
    pub(super) fn fits_direct_share(&self, amount: f64, share: ZoneShare, now: Instant) -> bool {
        if share.fraction >= 1.0 {
            return true;
        }
        let recent = self.recent.sum(share.report_delay, now);
        let available = (self.level + share.overdraft).max(0.0) + recent;
        recent <= 0.0 || recent + amount <= share.fraction * available
    }
}

/// What a zone may admit before other zones receive its report.
#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneShare {
    /// The zone's fraction of what is available.
    pub(super) fraction: f64,
    /// Work that may be admitted beyond the level.
    pub(super) overdraft: f64,
    /// Time within which other zones receive a report.
    pub(super) report_delay: Duration,
}

/// Work admitted within [`HISTORY_TIME`].
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

    /// Removes up to `amount` of the work recorded within the time, newest first, and returns how much.
    fn take(&mut self, amount: f64, within: Duration, now: Instant) -> f64 {
        let mut rest = amount;
        for (started, sum) in self.entries.iter_mut().rev() {
            if rest <= 0.0 || now.saturating_duration_since(*started) > within {
                break;
            }
            let taken = sum.min(rest);
            *sum -= taken;
            rest -= taken;
        }
        amount - rest
    }

    fn sum(&self, within: Duration, now: Instant) -> f64 {
        let is_within = |(started, _): &&(Instant, f64)| now.saturating_duration_since(*started) <= within;
        self.entries.iter().rev().take_while(is_within).map(|(_, amount)| amount).sum()
    }
}
