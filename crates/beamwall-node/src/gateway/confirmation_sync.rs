//! Exchange of the store's confirmations between peers.

use std::time::Duration;

use beamwall_model::{StoreRevision, to_ms};
use beamwall_peer::gateway_message::{StoreConfirmation, VersionUpdate};

use crate::gateway::exchange::PeerExchange;
use crate::gateway::store_freshness::Confirmation;
use crate::gateway::watches::{BACKENDS, POLICY, ROLLOUT_ORDERS};

impl PeerExchange {
    /// When the store confirmed what this node holds of a resource, as reported to peers.
    pub(super) fn confirmation_of(&self, resource: &str) -> Option<StoreConfirmation> {
        self.freshness.newest(resource).map(|confirmation| encode(&confirmation))
    }

    /// Takes over a peer's confirmations of the versions that it holds, where this node holds them too.
    pub(super) fn merge_confirmations(&self, versions: &VersionUpdate) {
        if let Some(confirmed) = versions.policy_confirmed
            && versions.policy_version <= self.gateway.policy.load().version()
        {
            self.freshness.merge(POLICY, decode(confirmed));
        }
        let directory = self.directory.load();
        let peer_revision = StoreRevision::new(versions.directory_era, versions.directory_revision);
        if let Some(confirmed) = versions.directory_confirmed
            && (versions.directory_digest == directory.digest() || peer_revision <= directory.revision())
        {
            self.freshness.merge(BACKENDS, decode(confirmed));
        }
    }

    /// Takes over a peer's confirmation of its rollout orders, which the same message contains.
    pub(super) fn merge_orders_confirmation(&self, confirmed: Option<StoreConfirmation>) {
        if let Some(confirmed) = confirmed {
            self.freshness.merge(ROLLOUT_ORDERS, decode(confirmed));
        }
    }
}

fn encode(confirmation: &Confirmation) -> StoreConfirmation {
    let Confirmation { revision, .. } = confirmation;
    StoreConfirmation { era: revision.era, revision: revision.number, age_ms: to_ms(confirmation.age()) }
}

fn decode(confirmed: StoreConfirmation) -> Confirmation {
    let age = Duration::from_millis(confirmed.age_ms);
    let now = Confirmation::now(StoreRevision::new(confirmed.era, confirmed.revision));
    Confirmation { at: now.at.checked_sub(age).unwrap_or(now.at), ..now }
}
