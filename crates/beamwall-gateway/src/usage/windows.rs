//! Counts of requests by window and tenant. They only grow, so of two reports of the same counts the larger
//! one is newer.

use std::collections::BTreeMap;

use beamwall_model::TenantName;
use serde::{Deserialize, Serialize};

/// Number of windows kept before the newest.
pub(super) const KEPT_WINDOWS: u64 = 12;

/// Requests by tenant.
pub(super) type Counts = BTreeMap<TenantName, u64>;

/// Requests by window number and tenant.
pub(super) type Windows = BTreeMap<u64, Counts>;

/// The requests that started in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's number: window k starts k window lengths after 1970.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<TenantName, u64>,
}

/// The newest windows, at most `count`, the newest first.
pub(super) fn newest(windows: &Windows, count: usize) -> Vec<WindowCounts> {
    let counted =
        |(window, counts): (&u64, &Counts)| WindowCounts { window: *window, counts: counts.clone() };
    windows.iter().rev().take(count).map(counted).collect()
}

/// The number of the newest window.
pub(super) fn newest_number(windows: &Windows) -> Option<u64> {
    windows.keys().next_back().copied()
}

/// Collects windows by their numbers.
pub(super) fn by_number(counted: Vec<WindowCounts>) -> Windows {
    counted.into_iter().map(|window| (window.window, window.counts)).collect()
}

/// Adds counts of other requests.
pub(super) fn add(sum: &mut Counts, counts: &Counts) {
    for (tenant, count) in counts {
        let total = sum.entry(tenant.clone()).or_default();
        *total = total.saturating_add(*count);
    }
}

/// Subtracts the counts of a part. Returns `None` if they exceed the counts.
pub(super) fn subtract(mut windows: Windows, part: &Windows) -> Option<Windows> {
    for (window, counts) in part {
        let remaining = windows.get_mut(window)?;
        for (tenant, count) in counts {
            let left = remaining.get_mut(tenant)?;
            *left = left.checked_sub(*count)?;
        }
    }
    Some(windows)
}

/// Raises counts to those of a newer report. Returns whether any count has grown.
pub(super) fn raise(known: &mut Counts, reported: &Counts) -> bool {
    let mut has_grown = false;
    for (tenant, count) in reported {
        let entry = known.entry(tenant.clone()).or_default();
        has_grown |= *count > *entry;
        *entry = (*entry).max(*count);
    }
    has_grown
}

/// Raises the counts of all reported windows and removes windows that have become too old. Returns whether
/// any count has grown.
pub(super) fn raise_all(known: &mut Windows, reported: Vec<WindowCounts>) -> bool {
    let mut has_grown = false;
    for window in reported {
        has_grown |= raise(known.entry(window.window).or_default(), &window.counts);
    }
    if let Some(newest) = newest_number(known) {
        prune(known, newest);
    }
    has_grown
}

/// Removes windows that are too old beside the newest one.
pub(super) fn prune(windows: &mut Windows, newest: u64) {
    let oldest = newest.saturating_sub(KEPT_WINDOWS);
    windows.retain(|window, _| *window >= oldest);
}
