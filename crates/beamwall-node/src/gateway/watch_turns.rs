//! When a node that has read a resource once calls the store for it again: as one of the nodes that watch for
//! their zone, or because what it holds has not been confirmed for too long.
//!
//! The second needs no agreement on what went wrong. Whoever finds the nodes that watch for it refused by the
//! store, unreachable or late asks the store itself, at a random moment, so that a few nodes ask first and
//! confirm what the others hold. The longest time from a change to its delivery at a node that the store
//! serves, while all watching nodes are refused, is therefore [`WatchTurns::max_age`] and
//! [`SPREAD_PER_NODE`] for each node of the zone, and one call.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use crate::gateway::node_selector::NodeSelector;
use crate::gateway::store_freshness::StoreFreshness;

/// Upper bound, per node of the zone, of the random delay after which a node with an unconfirmed resource asks.
pub const SPREAD_PER_NODE: Duration = Duration::from_millis(20);
/// Time, per node of the zone, between two failed calls of a node that does not watch for its zone: together
/// they make eight calls a second.
const RETRY_PERIOD_PER_NODE: Duration = Duration::from_millis(125);
/// Minimum time between two such calls.
const MIN_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a node that found the store answering watches in place of those that did not.
const SUBSTITUTION_TIME: Duration = Duration::from_secs(5);

/// Why a node calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It watches for its zone.
    Watch,
    /// The resource has not been confirmed for too long.
    Unconfirmed,
}

/// The turns of one node at one resource.
pub struct WatchTurns {
    resource: &'static str,
    watchers: usize,
    max_age: Duration,
    selector: NodeSelector,
    freshness: Arc<StoreFreshness>,
    /// Time before which this node does not ask again about an unconfirmed resource.
    not_before: Instant,
    /// Time until which this node watches in place of others.
    substitutes_until: Instant,
}

impl WatchTurns {
    /// The turns at a resource that `watchers` nodes of a zone watch. Without a confirmation for `max_age`,
    /// which is in addition to a heartbeat period, other nodes ask.
    pub fn new(
        resource: &'static str,
        watchers: usize,
        max_age: Duration,
        selector: NodeSelector,
        freshness: Arc<StoreFreshness>,
    ) -> Self {
        let now = Instant::now();
        Self { resource, watchers, max_age, selector, freshness, not_before: now, substitutes_until: now }
    }

    /// Returns as soon as it is this node's turn.
    pub async fn next(&self) -> Turn {
        if Instant::now() < self.substitutes_until {
            return Turn::Watch;
        }
        tokio::select! {
            biased;
            () = self.selector.wait_until_watcher(self.resource, self.watchers) => Turn::Watch,
            () = self.wait_until_unconfirmed() => Turn::Unconfirmed,
        }
    }

    /// Records that the store answered in a turn.
    pub fn note_answer(&mut self, turn: Turn) {
        if turn == Turn::Unconfirmed {
            self.substitutes_until = Instant::now() + SUBSTITUTION_TIME;
        }
    }

    /// Records that the store did not answer.
    pub fn note_failure(&mut self) {
        let now = Instant::now();
        let zone_nodes = self.zone_nodes();
        let period = (RETRY_PERIOD_PER_NODE * zone_nodes).max(MIN_RETRY_PERIOD);
        self.not_before = now + period.mul_f64(rand::rng().random_range(0.5..1.5));
        self.substitutes_until = now;
    }

    fn zone_nodes(&self) -> u32 {
        u32::try_from(self.selector.zone_nodes()).unwrap_or(u32::MAX)
    }

    async fn wait_until_unconfirmed(&self) {
        let spread = (SPREAD_PER_NODE * self.zone_nodes()).mul_f64(rand::rng().random());
        loop {
            let remaining = self.time_to_own_turn(spread);
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }

    fn time_to_own_turn(&self, spread: Duration) -> Duration {
        let max_age = self.max_age + self.selector.heartbeat_period() + spread;
        let age = self.freshness.newest(self.resource).map_or(Duration::MAX, |newest| newest.age());
        let until_retry = self.not_before.saturating_duration_since(Instant::now());
        max_age.saturating_sub(age).max(until_retry)
    }
}
