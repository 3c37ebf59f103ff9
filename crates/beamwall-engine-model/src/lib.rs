//! What the back ends of a service can do, learnt from the requests that they answer.
//!
//! Nothing is written down of how fast an engine reads or writes. Each node observes how long its requests
//! waited for their first event and how far apart events came, and keeps [`ServiceStatistics`]: sums from
//! which a line is fitted by least squares. Sums of several nodes are added, so that all nodes have one model
//! and a new node has it with the first heartbeat that it hears. [`ServiceEstimates`] are what the sums say:
//! expected times for a request, with their uncertainty. [`SlownessTracker`] tells which single back ends are slower
//! than their service.

pub mod estimates;
pub mod models;
pub mod regression;
pub mod slowness;
pub mod statistics;
pub mod workload;

pub use estimates::{Occupancy, ServiceEstimates};
pub use models::EngineModels;
pub use regression::{Fit, Regression};
pub use slowness::{SlownessFactors, SlownessObservation, SlownessTracker};
pub use statistics::{FirstEventInputs, PrefillWork, ServiceStatistics};
pub use workload::Workload;
