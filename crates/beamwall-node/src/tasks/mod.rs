//! Periodic duties of a node, one task each.

pub mod asynchronous;
pub mod claims;
pub mod cloud_watch;
pub mod control;
pub mod drain;
pub mod heartbeat;
pub mod inbox;
pub mod limits;
pub mod polling;
pub mod quarantine;
pub mod report_message;
pub mod tree_spread;
pub mod tree_watch;
pub mod upkeep;
