//! Immediate announcements of the versions that this node holds.

use beamwall_peer::Body;
use beamwall_peer::gateway_message::VersionUpdate;
use rand::seq::IteratorRandom;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::watches::{BACKENDS, POLICY};

/// Up to this number of heartbeat targets an announcement goes to all of them at once.
const FULL_ANNOUNCEMENT_LIMIT: usize = 32;
/// Recipients of an announcement if there are more targets: with eight each, about three nodes in 10,000 are
/// missed.
const ANNOUNCEMENT_FAN_OUT: usize = 8;

impl PeerExchange {
    /// Announces versions that are new to this node.
    pub(super) fn announce_new_versions(&self) {
        // A new policy may add tenants whose quotas must be divided from now on.
        self.share_limits();
        self.announce_versions();
    }

    /// Announces the versions held here, and when the store confirmed them, to all heartbeat targets, and to the
    /// relays of other zones in a large deployment. In a large zone only some targets receive the announcement,
    /// and forward their own to some others once they hold the version: it reaches 100 nodes in three steps with
    /// eight messages a node instead of 99. The few nodes that are missed learn of the version from heartbeats.
    pub(super) fn announce_versions(&self) {
        let directory = self.directory.load();
        let announcement = self.envelope(Body::VersionNews(VersionUpdate {
            policy_version: self.gateway.policy.load().version(),
            directory_revision: directory.revision().number,
            directory_era: directory.revision().era,
            directory_digest: directory.digest(),
            life: self.generation,
            policy_confirmed: self.confirmation_of(POLICY),
            directory_confirmed: self.confirmation_of(BACKENDS),
        }));
        let view = self.members.load();
        let mut recipients = self.targets(std::iter::empty());
        if recipients.len() > FULL_ANNOUNCEMENT_LIMIT {
            recipients =
                recipients.into_iter().sample(&mut rand::rng(), ANNOUNCEMENT_FAN_OUT).into_iter().collect();
        }
        recipients.extend(view.relays_elsewhere.iter().copied());
        recipients.remove(&self.address);
        for address in recipients {
            self.network.send(address, &announcement);
        }
    }
}
