//! Among how many nodes quotas and retry budgets are divided.

use std::collections::HashSet;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::ZoneCutOff;
use beamwall_gateway::quota::QuotaMembership;
use beamwall_model::ZoneName;
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
        let sharing = QuotaMembership { reachable: heard, known, direct: close };
        self.gateway.quotas.set_membership(
            sharing,
            policy.policy().tenants.iter().map(|tenant| &**tenant),
            Instant::now(),
        );
        self.gateway.forwarder.retries.divide_among(known);
    }

    /// Tells the choice of back ends the zones of which no node is heard.
    pub(super) fn note_silent_zones(&self) {
        let silent = if self.is_large() { self.zones.silent() } else { self.silent_zones() };
        let knowledge = &self.gateway.forwarder.backend_state;
        for zone in knowledge.note_silent_zones(&silent, &self.directory.load()) {
            emit(&ZoneCutOff { zone: zone.to_string() });
        }
    }

    /// Other zones with nodes that ought to be heard and are not.
    fn silent_zones(&self) -> HashSet<ZoneName> {
        let now = Instant::now();
        let heard_within = self.heard_within();
        let view = self.members.load();
        let others = view.members.iter().filter(|member| member.zone != self.zone && is_counted(member, now));
        let (heard, silent): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| is_heard(member, heard_within, now));
        let heard: HashSet<&ZoneName> = heard.into_iter().map(|member| &member.zone).collect();
        silent.into_iter().map(|member| &member.zone).filter(|zone| !heard.contains(zone)).cloned().collect()
    }

    /// Silence after which a peer may be cut off.
    fn heard_within(&self) -> Duration {
        self.beat_timing().0 * HEARD_WITHIN_HALVES / 2
    }

    /// Nodes that may serve callers. Silent members are among them, because they may be cut off, until they
    /// have been dead for long; members that left are not.
    fn nodes_known(&self) -> usize {
        let now = Instant::now();
        let known = self.members.load().members.iter().filter(|member| is_counted(member, now)).count() + 1;
        // A node that has just started does not know everyone yet.
        if self.started.elapsed() < INTRODUCTION_TIME { known.max(self.expected_nodes) } else { known }
    }

    /// Nodes that tell this one their own work and were heard a moment ago, this one included: all in a
    /// small deployment, those of the zone in a large one.
    pub(super) fn close_nodes_heard(&self) -> usize {
        let now = Instant::now();
        let heard_within = self.heard_within();
        let is_large = self.is_large();
        let is_close = |member: &&Member| !is_large || member.zone == self.zone;
        let view = self.members.load();
        let close = view.members.iter().filter(is_close);
        close.filter(|member| is_heard(member, heard_within, now)).count() + 1
    }
}

fn is_heard(member: &Member, within: Duration, now: Instant) -> bool {
    member.last_received.is_some_and(|heard| now.duration_since(heard) < within)
}

/// Whether a member may still serve callers.
fn is_counted(member: &Member, now: Instant) -> bool {
    match member.state {
        MemberState::Left => false,
        MemberState::Dead => now.duration_since(member.since) < DEAD_COUNTED_FOR,
        MemberState::Alive | MemberState::Suspect => true,
    }
}
