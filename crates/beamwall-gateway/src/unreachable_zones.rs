//! Zones from which this node seems to be cut off.
//!
//! When a zone is cut off, each of its engines would otherwise be found unreachable by a request of its own that
//! waits for a connection. Two signs together tell it of all: no node of the zone is heard, and an engine there
//! could not be reached. Either alone says little: a zone's nodes may all be down while its engines serve, and a
//! single engine may crash.

use std::collections::HashSet;

use arc_swap::ArcSwap;
use beamwall_model::ZoneName;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::health::HealthTracker;
use crate::placement::UnreachableReports;

/// Zones from which this node seems to be cut off.
#[derive(Debug, Default)]
pub struct UnreachableZones {
    zones: ArcSwap<HashSet<ZoneName>>,
}

impl UnreachableZones {
    /// Whether a zone seems to be cut off.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.load().contains(zone)
    }

    /// Takes the zones of which no node is heard. One that was taken for cut off stays so until a node of it is
    /// heard; gives those that are found cut off only now.
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
