//! One node as seen by another.

use std::net::SocketAddr;

use beamwall_model::{NodeId, ZoneName};
use tokio::time::Instant;

/// Whether a node is believed to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Heard of lately.
    Alive,
    /// Silent for a while.
    Suspect,
    /// Silent for longer, also to indirect probes.
    Dead,
    /// Said that it stops.
    Left,
}

impl MemberState {
    /// The number used in messages.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Reads the number used in messages; unknown numbers count as alive.
    pub fn from_number(number: u32) -> Self {
        match number {
            1 => Self::Suspect,
            2 => Self::Dead,
            3 => Self::Left,
            _ => Self::Alive,
        }
    }

    /// The word used in status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// One node as seen by another.
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
    /// Whether it is believed to run.
    pub state: MemberState,
    /// When the state was entered.
    pub since: Instant,
    /// When it was last heard directly; `None` when only others spoke of it.
    pub last_received: Option<Instant>,
    /// Settings revision in force there.
    pub revision: u64,
    /// Digest of its resolved settings.
    pub digest: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Capacity of its network link in Mbit/s; 0 where it is not known.
    pub link_mbps: u32,
}

/// The weight by which a node is chosen for what passes over its link on behalf of others: the fourth power of its
/// capacity. With a link of a twentieth, each of many slow nodes beside two fast ones is chosen once in 100,000 times (by the
/// square once in 270), while links that differ by a tenth still share the work.
pub fn link_weight(link_mbps: u32) -> f64 {
    f64::from(link_mbps).powi(4)
}

impl Member {
    /// Takes the capacity of its link, where others told one.
    pub(crate) fn update_link(&mut self, link_mbps: u32) {
        if link_mbps > 0 {
            self.link_mbps = link_mbps;
        }
    }

    /// Whether work may be given to it.
    pub fn is_usable(&self) -> bool {
        self.state == MemberState::Alive && self.ready && !self.draining
    }
}
