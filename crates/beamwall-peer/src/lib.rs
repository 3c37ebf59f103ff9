//! Messages, sessions and membership between the nodes.
//!
//! Nodes exchange tagged-field messages over TCP, one connection and task for each peer that is sent to.
//! [`Membership`] decides from them who is alive; it never uses the platform's machine list as
//! proof of life or death.

pub mod compressed;
mod frame;
pub mod gateway_message;
pub mod member;
pub mod membership;
pub mod message;
pub mod network;
pub mod outbox;
pub mod quarantine_message;
pub mod rollout_message;
mod session;
pub mod transfer;

pub use member::{Member, MemberState, link_weight};
pub use membership::{Membership, MembershipChange, MembershipTiming, Target};
pub use message::{Body, Envelope};
pub use network::{PeerError, PeerNetwork};
pub use transfer::TransferPacer;
