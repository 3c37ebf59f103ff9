//! Number of nodes among which quotas and retry budgets are divided.

use std::collections::HashSet;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::ZoneCutOff;
use beamwall_gateway::quota::QuotaMembership;
use beamwall_model::ZoneName;
use beamwall_peer::{Member, MemberState};
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;

/// Silence, in halves of the longest heartbeat period, after which a peer may be partitioned. The work that
/// both sides of a partition admit before they detect it must stay within the tolerated overage.
const SILENCE_HALF_PERIODS: u32 = 3;
/// Time for which a dead member keeps its share of quotas.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(20);
/// Time after the start until all members are known.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(3);

impl PeerExchange {
    /// Divides the quotas and retry budgets among the current nodes.
    pub(super) fn share_limits(&self) {
        let known = self.nodes_sharing_limits();
        let direct = self.reachable_direct_nodes();
        let reachable =
            if self.is_large_deployment() { direct + self.zones.reachable_nodes() } else { direct };
        let policy = self.gateway.policy.load();
        let membership = QuotaMembership { reachable, known, direct };
        self.gateway.quotas.set_membership(
            membership,
            policy.policy().tenants.iter().map(|tenant| &**tenant),
            Instant::now(),
        );
        self.gateway.forwarder.retries.divide_among(known);
        self.gateway.forwarder.gate.set_reachable_fraction(membership.reachable_fraction());
    }

    /// Passes the zones whose nodes are all silent to the choice of back ends.
    pub(super) fn note_silent_zones(&self) {
        let silent = if self.is_large_deployment() { self.zones.silent() } else { self.silent_zones() };
        let backend_state = &self.gateway.forwarder.backend_state;
        for zone in backend_state.note_silent_zones(&silent, &self.directory.load()) {
            emit(&ZoneCutOff { zone: zone.to_string() });
        }
    }

    /// Returns the other zones whose nodes are expected to be alive but are all silent.
    fn silent_zones(&self) -> HashSet<ZoneName> {
        let now = Instant::now();
        let silence_limit = self.silence_limit();
        let view = self.members.load();
        let remote_members =
            view.members.iter().filter(|member| member.zone != self.zone && may_still_serve(member, now));
        let (reachable, silent): (Vec<&Member>, Vec<&Member>) =
            remote_members.partition(|member| is_reachable(member, silence_limit, now));
        let reachable_zones: HashSet<&ZoneName> = reachable.into_iter().map(|member| &member.zone).collect();
        silent
            .into_iter()
            .map(|member| &member.zone)
            .filter(|zone| !reachable_zones.contains(zone))
            .cloned()
            .collect()
    }

    /// Silence after which a peer may be partitioned.
    fn silence_limit(&self) -> Duration {
        self.heartbeat_timing().0 * SILENCE_HALF_PERIODS / 2
    }

    /// Nodes that may be serving callers. Silent members count until they have been dead for a while, because
    /// they may only be partitioned; members that left do not count.
    fn nodes_sharing_limits(&self) -> usize {
        let now = Instant::now();
        let known =
            self.members.load().members.iter().filter(|member| may_still_serve(member, now)).count() + 1;
        // A node that has just started does not know all members yet.
        if self.started.elapsed() < MEMBERSHIP_SETTLE_TIME { known.max(self.expected_nodes) } else { known }
    }

    /// Nodes that report their own work to this one and did so recently, this one included: all nodes in
    /// a small deployment, those of the zone in a large one.
    pub(super) fn reachable_direct_nodes(&self) -> usize {
        let now = Instant::now();
        let silence_limit = self.silence_limit();
        let is_large_deployment = self.is_large_deployment();
        let is_direct_peer = |member: &&Member| !is_large_deployment || member.zone == self.zone;
        let view = self.members.load();
        let direct = view.members.iter().filter(is_direct_peer);
        direct.filter(|member| is_reachable(member, silence_limit, now)).count() + 1
    }
}

fn is_reachable(member: &Member, within: Duration, now: Instant) -> bool {
    member.last_received.is_some_and(|received_at| now.duration_since(received_at) < within)
}

/// Whether a member may still be serving callers.
pub(super) fn may_still_serve(member: &Member, now: Instant) -> bool {
    match member.state {
        MemberState::Left => false,
        MemberState::Dead => now.duration_since(member.since) < DEAD_MEMBER_RETENTION,
        MemberState::Alive | MemberState::Suspect => true,
    }
}
