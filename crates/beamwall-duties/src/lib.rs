//! Rules of the duties that one node does for all, without a network: which window of usage is reported next
//! ([`usage_windows`]), and what the holder of the duties keeps for whoever holds them next ([`checkpoint`]).

pub mod checkpoint;
pub mod usage_windows;

pub use checkpoint::DutyCheckpoint;
pub use usage_windows::{UsageTiming, WindowClock, WindowProgress};
