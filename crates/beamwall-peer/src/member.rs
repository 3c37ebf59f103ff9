//! One node's view of another node.

use std::net::SocketAddr;

use beamwall_model::{NodeId, ZoneName};
use tokio::time::Instant;

/// State of a node in the view of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Seen recently, directly or in a report of another node.
    Alive,
    /// Has not answered probes for some time.
    Suspect,
    /// Remained suspect and answered no indirect probes either.
    Dead,
    /// Announced that it stops.
    Left,
}

impl MemberState {
    /// Returns the number that represents this state in messages.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the state that a number in a message represents; unknown numbers are read as alive.
    pub fn from_number(number: u32) -> Self {
        match number {
            1 => Self::Suspect,
            2 => Self::Dead,
            3 => Self::Left,
            _ => Self::Alive,
        }
    }

    /// Returns the name of this state on status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// A node in the view of another.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name.
    pub node: NodeId,
    /// Zone.
    pub zone: ZoneName,
    /// Address for peers.
    pub address: SocketAddr,
    /// Incarnation: rises at each start and each refuted suspicion.
    pub incarnation: u64,
    /// State of the node.
    pub state: MemberState,
    /// When the state was entered.
    pub since: Instant,
    /// When a message last arrived directly from the node; `None` if it is only known through other nodes.
    pub last_received: Option<Instant>,
    /// Settings revision in force on the node.
    pub revision: u64,
    /// Digest of the node's resolved settings.
    pub digest: u64,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether the node is draining.
    pub draining: bool,
    /// Capacity of the node's network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Whether the node has reported that its calls to the store fail.
    pub store_lost: bool,
}

/// Returns the weight with which a node is selected to carry traffic for others over its link: the fourth
/// power of the link's capacity. Beside two fast nodes, each of many slow nodes whose links have a twentieth
/// of the capacity is selected once in 100,000 times (with the square: once in 270), while nodes whose links
/// differ by a tenth still share the work.
pub fn link_weight(link_mbps: u32) -> f64 {
    f64::from(link_mbps).powi(4)
}

impl Member {
    /// Updates the capacity of the node's link, unless the reported one is unknown.
    pub(crate) fn update_link(&mut self, link_mbps: u32) {
        if link_mbps > 0 {
            self.link_mbps = link_mbps;
        }
    }

    /// Returns whether the node may be given work.
    pub fn is_usable(&self) -> bool {
        self.state == MemberState::Alive && self.ready && !self.draining
    }
}
