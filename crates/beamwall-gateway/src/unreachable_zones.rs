//! Detects zones from which this node seems to be partitioned.
//!
//! If a zone is partitioned, each of its engines would otherwise be found unreachable only by a request that
//! waits for a connection. Two signs together identify all of them at once: this node receives messages from
//! no node of the zone, and an engine of the zone could not be reached. A single sign is not enough: a zone's
//! nodes may all be down while its engines serve, and a single engine may crash.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use beamwall_model::ZoneName;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::health::HealthTracker;
use crate::placement::UnreachableReports;

/// Zones from which this node seems to be partitioned.
#[derive(Debug, Default)]
pub struct UnreachableZones {
    zones: ArcSwap<HashSet<ZoneName>>,
}

impl UnreachableZones {
    /// Whether this node seems to be partitioned from a zone.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.load().contains(zone)
    }

    /// Updates the set from the silent zones, from which this node receives no messages. An unreachable zone
    /// stays so until a node of it is heard from again. Returns the zones newly found unreachable.
    pub fn update(
        &self,
        silent: &HashSet<ZoneName>,
        directory: &Directory,
        health: &HealthTracker,
        reports: &UnreachableReports,
        now: Instant,
    ) -> Vec<ZoneName> {
        let before = self.zones.load();
        let is_unreachable = |zone: &ZoneName| {
            let mut in_zone = directory.backends().filter(|backend| &backend.zone == zone);
            in_zone.any(|backend| {
                health.view(&backend.id, now).unreachable || reports.is_confirmed(&backend.id, now)
            })
        };
        let is_cut_off = |zone: &&ZoneName| before.contains(*zone) || is_unreachable(zone);
        let unreachable_now: HashSet<ZoneName> = silent.iter().filter(is_cut_off).cloned().collect();
        let newly_unreachable: Vec<ZoneName> = unreachable_now.difference(&before).cloned().collect();
        if unreachable_now != **before {
            self.zones.store(unreachable_now.into());
        }
        newly_unreachable
    }
}
