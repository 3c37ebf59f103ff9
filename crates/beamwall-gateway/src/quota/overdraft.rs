//! How far accounts may be overdrawn within the tolerance, and how soon reports of work arrive.
//!
//! A node refuses work that its share of the level does not cover. With equal shares, a tenant near its limit
//! is refused although its level covers the work, since the share must also bear what other zones have not
//! received a report of. Part of the tolerance, added to the level of all nodes together, covers that work.
//! Reports at short intervals while a tenant is near its limit keep its amount small.

use std::time::Duration;

use beamwall_policy::Tenant;
use tokio::time::Instant;

use super::account::ZONE_REPORT_DELAY;
use super::reports::ZoneReports;
use super::{QuotaMembership, Tolerance};

/// Part of the tolerance that is added to levels. The rest covers what nodes of one zone admit before they
/// receive each other's reports.
const OVERDRAFT_FRACTION: f64 = 0.5;
/// Time within which a relay receives an urgent report of a node in its zone.
pub(super) const NODE_REPORT_DELAY: Duration = Duration::from_millis(150);
/// Smallest retry delay of a caller refused because peers have not received this node's report yet. Within
/// this time the report reaches all nodes of the largest zone whose nodes all report to each other.
const MIN_REPORT_WAIT: Duration = Duration::from_millis(300);
/// Fraction of the burst below which a node reports admitted work at once.
const URGENT_LEVEL_FRACTION: f64 = 0.5;
/// The same where accounts may be overdrawn: short intervals between reports must begin before the level is
/// used up.
const URGENT_LEVEL_FRACTION_WITH_OVERDRAFT: f64 = 0.8;

/// Whether accounts may be overdrawn.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Overdraft {
    pub(super) is_allowed: bool,
}

impl Overdraft {
    /// Work beyond the level that all reachable nodes together may admit. `slack` is the tolerated work
    /// beside the tolerated share.
    pub(super) fn amount(
        self,
        tolerance: Tolerance,
        slack: f64,
        tenant: &Tenant,
        membership: QuotaMembership,
    ) -> f64 {
        if !self.is_allowed {
            return 0.0;
        }
        let tolerated = tolerance.in_window * tolerance.quota_in_window(tenant) + slack;
        tolerated * OVERDRAFT_FRACTION * membership.reachable_fraction()
    }

    /// Time within which other zones receive a report of this one. Their own reports show how often zones
    /// report at present.
    pub(super) fn report_delay<'a>(
        self,
        zones: impl Iterator<Item = &'a ZoneReports>,
        now: Instant,
    ) -> Duration {
        if !self.is_allowed {
            return ZONE_REPORT_DELAY;
        }
        let longest = zones.filter_map(|zone| zone.interval(now)).max();
        longest.map_or(ZONE_REPORT_DELAY, |interval| (interval + NODE_REPORT_DELAY).min(ZONE_REPORT_DELAY))
    }

    /// Smallest retry delay of a caller refused because others have not received a report yet.
    pub(super) fn report_wait(self, report_delay: Duration) -> Duration {
        if self.is_allowed { report_delay.max(MIN_REPORT_WAIT) } else { MIN_REPORT_WAIT }
    }

    /// Fraction of the burst below which admitted work is reported at once.
    pub(super) fn urgent_fraction(self) -> f64 {
        if self.is_allowed { URGENT_LEVEL_FRACTION_WITH_OVERDRAFT } else { URGENT_LEVEL_FRACTION }
    }
}
