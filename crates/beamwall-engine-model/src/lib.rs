//! Latency models of a service's back ends, learnt from the requests that they answer.
//!
//! Engine speeds are not configured. Each node measures the time to the first event and the time between
//! events of its requests and keeps [`ServiceStatistics`]: sums to which a linear model is fitted by least
//! squares. The sums of several nodes add up, so all nodes share one model and a new node has it after the
//! first heartbeat it receives. [`ServiceEstimates`] are the fitted models: expected times for a request,
//! with their uncertainty. [`SlownessTracker`] finds individual back ends that are slower than is usual for
//! their service at the moment, [`LastingSpeedTracker`] the speed that they keep.

pub mod estimates;
pub mod lasting_factors;
mod lasting_reports;
pub mod lasting_speed;
mod learnt_speeds;
pub mod models;
pub mod observation;
pub mod regression;
pub mod slowness;
pub mod statistics;
pub mod workload;

pub use estimates::{Occupancy, ServiceEstimates};
pub use lasting_factors::{BackendKind, FactorSpread, LastingFactors};
pub use lasting_speed::{LastingObservation, LastingSpeedTracker};
pub use models::EngineModels;
pub use observation::EngineObservation;
pub use regression::{Fit, Regression};
pub use slowness::{SlownessFactors, SlownessObservation, SlownessTracker};
pub use statistics::{FirstEventInputs, PrefillWork, ServiceStatistics};
pub use workload::Workload;
