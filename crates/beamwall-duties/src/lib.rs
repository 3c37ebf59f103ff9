//! Rules of the duties that one node does for all, without a network: which window of usage is reported next
//! ([`usage_windows`]), what was ordered of back ends ([`orders`]), and what the holder of the duties keeps for whoever holds them next ([`checkpoint`]).

pub mod checkpoint;
pub mod orders;
pub mod usage_windows;

pub use checkpoint::DutyCheckpoint;
pub use orders::{OrderTracker, SavedOrder};
pub use usage_windows::{UsageTiming, WindowClock, WindowProgress};
