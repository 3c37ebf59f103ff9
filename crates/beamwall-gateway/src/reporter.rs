//! Who told a figure that this node did not measure itself.

use beamwall_model::{NodeId, ZoneName};

/// The origin of a told figure. A small deployment's nodes all tell each other; in a large one the nodes
/// of a zone do, and other zones are known by their sums.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reporter {
    /// A node, of its own work.
    Node(NodeId),
    /// A relay, of the work of all nodes of its zone.
    Zone(ZoneName),
    /// The store, of what was observed before this node started.
    Store,
}
