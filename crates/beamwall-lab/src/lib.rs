//! Stand-ins for platform, cloud, engines, applications and balancer, with load and experiments.
//!
//! A development library: the node never links it. Every stand-in listens on loopback, answers
//! the published protocol, and records what it truly ran, so that promises can be checked from
//! outside. The timing model and its constants are described in docs/LAB.md.

pub mod application;
pub mod balancer;
pub mod caller;
pub mod cloud;
pub mod ending;
pub mod engine;
pub mod link;
pub mod load;
pub mod object_store;
pub mod report;
pub mod running;
pub mod text;
pub mod workload;

pub use running::Running;
