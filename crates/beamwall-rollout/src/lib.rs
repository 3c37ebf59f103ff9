//! Moves a service's traffic to back ends of another version, which run beside those of the old one.
//!
//! An operator's [`RolloutOrder`] names the version and how long the move may take. A version may be bad: a part of its
//! answers fails or takes several times as long, from the start or later, under load or on one route only. So
//!
//! - few requests go to the new version until nearly the end ([`schedule`]): had it turned bad at any moment, it would have
//!   got no more of them than the bounds allow;
//! - they go to few of its back ends, which are as full as the old ones ([`traffic`]);
//! - its answers are compared with those of the old version at the same time, by route and back end ([`detector`]), over all
//!   nodes ([`evidence`]);
//! - of either version, back ends in trouble of their own say nothing ([`history`], [`trouble`]);
//! - what came of it is a [`Verdict`], which is final ([`rollout`]).
//!
//! This package performs no input or output. Who holds the lease on duties runs the [`Rollout`]; every node routes by the
//! [`Stage`] that it tells, and judges its own answers.

pub mod bounds;
pub mod detector;
pub mod evidence;
pub mod history;
pub mod likelihood;
pub mod order;
pub mod outliers;
pub mod registry;
pub mod rollout;
pub mod schedule;
pub mod stage;
pub mod traffic;

pub use bounds::Bounds;
pub use detector::{Detector, Finding};
pub use evidence::{AnswerCounts, CountsByBackEnd, Evidence};
pub use order::{OrderId, RolloutOrder};
pub use registry::{OrderUpdate, RolloutRegistry, StageUpdate, VersionChoice, VersionRule};
pub use rollout::{Rollout, VersionCapacity};
pub use stage::{Stage, Verdict};
