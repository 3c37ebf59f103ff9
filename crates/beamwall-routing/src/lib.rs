//! Route choice, admission queues, tenant limits and retry budgets.
//!
//! All functions read in-memory snapshots and counters, so that routing a request never waits for an
//! actor or for a platform service.

pub mod admission;
pub mod prefix;
pub mod retry;
pub mod route;
pub mod tenant_limit;

pub use admission::{AdmissionError, AdmissionQueue, Permit};
pub use prefix::PrefixIndex;
pub use retry::RetryBudget;
pub use route::{NoRoute, Route, RouteQuery, RouteReason, choose_backend, choose_engine};
pub use tenant_limit::{LimitExceeded, TenantLimits};
