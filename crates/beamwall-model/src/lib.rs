//! Identifiers, units, service classes and outcomes shared by every package.
//!
//! This is the innermost package: it performs no I/O and depends on no other package of the workspace. Other
//! packages use its identifier types instead of strings, so that a tenant name can never be passed where an
//! engine name is expected.

pub mod class;
pub mod generations;
pub mod identifiers;
pub mod milliseconds;
pub mod outcome;
pub mod rendezvous;
pub mod store_revision;
pub mod strategy;

pub use class::ServiceClass;
pub use generations::{GenerationSet, generation_hash};
pub use identifiers::{
    AttemptId, BackendId, EngineVersion, InstanceName, NodeId, RequestId, ServiceName, TenantName, ZoneName,
};
pub use milliseconds::{since_1970_ms, to_ms};
pub use outcome::Outcome;
pub use store_revision::StoreRevision;
pub use strategy::ChoiceStrategy;
