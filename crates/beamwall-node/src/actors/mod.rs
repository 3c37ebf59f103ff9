//! Actors: the owners of state that changes by message. Each publishes a snapshot for the request
//! path after every change.

pub mod directory;
pub mod fleet;
pub mod membership;
pub mod policy;
pub mod tree;
