//! Rules of the cluster-wide duties that one node performs, without I/O: which usage window is reported next
//! ([`usage_windows`]), which capacity orders were placed ([`orders`]), and what the duties lease holder
//! saves for its successor ([`checkpoint`]).

pub mod checkpoint;
pub mod orders;
pub mod usage_windows;

pub use checkpoint::DutyCheckpoint;
pub use orders::{OrderTracker, SavedOrder};
pub use usage_windows::{UsageTiming, WindowClock, WindowProgress};
