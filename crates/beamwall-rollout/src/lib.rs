//! Moves a service's traffic to back ends of another version, which run beside those of the old one.
//!
//! An operator's [`RolloutOrder`] names the version and how long the rollout may take. The new version
//! may be bad: some of its answers fail or take several times as long, from the start or only later,
//! under load or on one route only. Therefore
//!
//! - few requests go to the new version until shortly before the end ([`schedule`]), so that a version
//!   that turns bad at any time receives no more requests than the bounds allow;
//! - these requests go to a few of its back ends, which are loaded as much as the old ones
//!   ([`traffic`]);
//! - its answers are compared with concurrent answers of the old version, by route and back end
//!   ([`detector`]), over all nodes ([`evidence`]);
//! - outlier back ends of either version are ignored ([`history`], [`outliers`]);
//! - the result is a [`Verdict`], which is final ([`rollout`]).
//!
//! This package performs no input or output. The node that holds the duties lease runs the
//! [`Rollout`]; every node routes by the [`Stage`] that this node sends, and classifies its own answers.

pub mod bounds;
pub mod detector;
mod ended_evidence;
pub mod evidence;
pub mod history;
mod known_evidence;
pub mod likelihood;
pub mod node_evidence;
pub mod order;
pub mod outliers;
pub mod registry;
pub mod rollout;
pub mod schedule;
pub mod stage;
pub mod traffic;
mod zone_evidence;

pub use bounds::Bounds;
pub use detector::{Detector, Finding};
pub use evidence::{AnswerCounts, CountsByBackEnd, Evidence};
pub use node_evidence::{EndedDigest, EndedGeneration, EndedReport, NodeEvidence};
pub use order::{OrderId, RolloutOrder};
pub use registry::{OrderUpdate, RolloutRegistry, StageUpdate, VersionChoice, VersionRule};
pub use rollout::{Rollout, VersionCapacity};
pub use stage::{Stage, Verdict};
