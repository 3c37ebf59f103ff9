//! Clocks that include machine suspension or exclude stalls of this process.
//!
//! The monotonic clock stops while the machine is suspended: measured by it, a three-second lease still looks
//! valid after a minute of suspension. Leases and other time limits are therefore measured in
//! [`BootInstant`]s, which include suspension. Tokio's timers use the monotonic clock, so a task that a timer
//! wakes must read [`BootInstant::now`] again before it acts, as [`timers`] does. Evidence against other
//! nodes, such as their silence, is measured by [`process_clock`], which excludes stalls of this process.

pub mod process_clock;
#[cfg(feature = "simulation")]
pub mod simulation;
mod throttle;
pub mod timers;

use std::ops::Add;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::Instant;

pub use throttle::Throttle;

/// An instant on a clock that includes machine suspension. Comparable only with other boot instants, never
/// with deadlines of timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        Self(now())
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns the time from this instant to now, or zero if this instant is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

/// Returns the current time including machine suspension, for types that take the current time as a
/// parameter. It must not be used as the deadline of a timer, which would fire late by the total suspended
/// time since boot.
pub fn now() -> Instant {
    Instant::now() + suspended_time()
}

/// Returns the total time for which the machine has been suspended since boot.
pub fn suspended_time() -> Duration {
    // The monotonic clock is read first: a pause between the two readings then makes leases look older, not
    // younger.
    let monotonic = read_clock(ClockId::Monotonic);
    let suspended = read_clock(ClockId::Boottime).saturating_sub(monotonic);
    #[cfg(feature = "simulation")]
    return suspended + simulation::simulated_suspension();
    #[cfg(not(feature = "simulation"))]
    suspended
}

/// Reads a clock through the C library, as the standard library does for its monotonic clock, so that all
/// readings come from the same source.
fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    Duration::new(u64::try_from(tv_sec).unwrap_or(0), u32::try_from(tv_nsec).unwrap_or(0))
}
