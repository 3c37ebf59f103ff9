//! Time that goes on while the machine is suspended, and time that stands still with this process.
//!
//! The steady clock of the system stands still while a machine is suspended: a lease of three seconds, measured by it, is still held
//! after a minute. So what holds by a term is measured in [`BootInstant`]s, which count the time asleep, too. The runtime's timers stay
//! on the steady clock: who wakes looks at the moment again before it acts, as the [`timers`] here do. What counts against others, as
//! their silence, is measured by the clock of [`process_clock`].

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

/// A moment by a clock that counts the time asleep. Moments are compared with each other only, never with times of timers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Instant);

impl BootInstant {
    /// Now.
    pub fn now() -> Self {
        Self(now())
    }

    /// Time from an earlier moment to this one; none where that is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Time since then.
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

/// Now as an instant that counts the time asleep, for aggregates that are told what time it is. It is never used for a timer, which
/// would fire late by all the time asleep since the machine started.
pub fn now() -> Instant {
    Instant::now() + suspended_time()
}

/// Time for which the machine has been suspended since it started.
pub fn suspended_time() -> Duration {
    // In this order a pause between the two readings makes terms seem older, not younger.
    let monotonic = read_clock(ClockId::Monotonic);
    let suspended = read_clock(ClockId::Boottime).saturating_sub(monotonic);
    #[cfg(feature = "simulation")]
    return suspended + simulation::simulated_suspension();
    #[cfg(not(feature = "simulation"))]
    suspended
}

/// Reads a clock through the C library, as the standard library reads the steady one, so that all come from one source.
fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    Duration::new(u64::try_from(tv_sec).unwrap_or(0), u32::try_from(tv_nsec).unwrap_or(0))
}
