//! Among how many nodes quotas and retry budgets are divided.

use std::time::Duration;

use beamwall_gateway::quota::Sharing;
use beamwall_peer::{Member, MemberState};
use tokio::time::Instant;

use crate::gateway::exchange::Exchange;

/// Silence, in halves of the longest time between two heartbeats, after which a peer may be cut off. What
/// both sides of a cut let pass before they miss each other must stay within what is tolerated.
const HEARD_WITHIN_HALVES: u32 = 3;
/// Time for which a dead member keeps its part of quotas.
const DEAD_COUNTED_FOR: Duration = Duration::from_secs(20);
/// Time after the start until all members are known.
const INTRODUCTION_TIME: Duration = Duration::from_secs(3);

impl Exchange {
    /// Tells the quotas and retry budgets who shares them.
    pub(super) fn share_limits(&self) {
        let known = self.nodes_known();
        let close = self.close_nodes_heard();
        let heard = if self.is_large() { close + self.zones.nodes_heard() } else { close };
        let policy = self.gateway.policy.load();
        let sharing = Sharing { heard, known, close };
        self.gateway.quotas.share(
            sharing,
            policy.policy().tenants.iter().map(|tenant| &**tenant),
            Instant::now(),
        );
        self.gateway.forwarder.retries.divide_among(known);
    }

    /// Nodes that may serve callers. Silent members are among them, because they may be cut off, until they
    /// have been dead for long; members that left are not.
    fn nodes_known(&self) -> usize {
        let now = Instant::now();
        let is_counted = |member: &&Member| match member.state {
            MemberState::Left => false,
            MemberState::Dead => now.duration_since(member.since) < DEAD_COUNTED_FOR,
            MemberState::Alive | MemberState::Suspect => true,
        };
        let known = self.members.load().members.iter().filter(is_counted).count() + 1;
        // A node that has just started does not know everyone yet.
        if self.started.elapsed() < INTRODUCTION_TIME { known.max(self.expected_nodes) } else { known }
    }

    /// Nodes that tell this one their own work and were heard a moment ago, this one included: all in a
    /// small deployment, those of the zone in a large one.
    pub(super) fn close_nodes_heard(&self) -> usize {
        let now = Instant::now();
        let heard_within = self.beat_timing().0 * HEARD_WITHIN_HALVES / 2;
        let is_large = self.is_large();
        let is_close = |member: &&Member| !is_large || member.zone == self.zone;
        let is_heard =
            |member: &&Member| member.heard.is_some_and(|heard| now.duration_since(heard) < heard_within);
        let view = self.members.load();
        view.members.iter().filter(is_close).filter(is_heard).count() + 1
    }
}
