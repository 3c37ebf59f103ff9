//! The entry node: serves callers and operators, watches back ends, talks to its peers.
//!
//! [`node::Node::start`] assembles one node from its parts; everything else here is one concern a
//! module. Actors own the state that changes by message (settings tree, membership, fleet); each
//! connection, peer and periodic duty is one task; the request path reads snapshots only.

pub mod actors;
pub mod callers;
pub mod error;
pub mod gateway;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod shared;
pub mod tasks;
pub mod tree_store;

pub use error::NodeError;
pub use gateway::{GatewayNode, Ports};
pub use node::Node;
