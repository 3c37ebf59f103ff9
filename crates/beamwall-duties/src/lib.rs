//! Rules of the cluster-wide duties that one node performs, without I/O: which usage window is reported next
//! ([`usage_windows`]), which capacity orders were placed ([`orders`]) and which are due ahead of need
//! ([`ahead`], [`demand_forecast`]), and what the duties lease holder saves for its successor
//! ([`checkpoint`]).

pub mod ahead;
pub mod checkpoint;
pub mod demand_forecast;
pub mod orders;
pub mod usage_windows;

pub use checkpoint::DutyCheckpoint;
pub use demand_forecast::DemandForecast;
pub use orders::{OrderTracker, SavedOrder};
pub use usage_windows::{UsageTiming, WindowClock, WindowProgress};
