//! Messages, sessions and membership between nodes.
//!
//! Nodes exchange messages with tagged fields (Protocol Buffers) over TCP, with one connection and task for
//! each recipient. [`Membership`] derives from them which nodes are alive. It never takes the platform's
//! machine list as evidence that a node is alive or dead.

pub mod claim_message;
pub mod compressed;
pub mod engine_message;
mod frame;
pub mod gateway_message;
pub mod member;
pub mod membership;
pub mod message;
pub mod network;
pub mod outbox;
pub mod placement_message;
pub mod quarantine_message;
pub mod rollout_message;
mod session;
pub mod stream_origin_message;
pub mod transfer;

pub use member::{Member, MemberState, link_weight};
pub use membership::{KnownProcess, Membership, MembershipChange, MembershipTiming, Target};
pub use message::{Body, Envelope};
pub use network::{PeerError, PeerNetwork};
pub use transfer::TransferPacer;
