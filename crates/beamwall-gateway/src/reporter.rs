//! The source of a figure that this node did not measure itself.

use beamwall_model::{NodeId, ZoneName};

/// Source of a reported figure. In a small deployment all nodes report to each other. In a large one the
/// nodes of a zone do, and other zones are known by their sums.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reporter {
    /// A node, reporting its own work.
    Node(NodeId),
    /// A relay, reporting the work of all nodes of its zone.
    Zone(ZoneName),
    /// The store, with observations from before this node started.
    Store,
}
