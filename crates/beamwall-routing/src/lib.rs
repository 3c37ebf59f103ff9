//! Route choice, admission queues, tenant limits and retry budgets.
//!
//! Everything here works on snapshots and counters in memory: a request never waits for an actor
//! or for the platform to be routed.

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
