//! Work of refused callers, by the time at which they are due back.

use std::collections::VecDeque;
use std::time::Duration;

use beamwall_engine_model::Workload;

/// Length of one bucket.
const BUCKET: Duration = Duration::from_millis(250);
/// Maximum number of buckets. A caller that is due back later counts for the last one.
const MAX_BUCKETS: usize = 64;

/// Work that is due back, in slots of time from now on.
#[derive(Debug, Default)]
pub(crate) struct ExpectedReturns {
    slots: VecDeque<Workload>,
    /// Time that has passed of the first slot.
    elapsed: Duration,
}

impl ExpectedReturns {
    /// Adds the work of a caller that is due back after `delay`.
    pub(crate) fn add(&mut self, work: Workload, delay: Duration) {
        let slot = ((self.elapsed + delay).as_millis() / BUCKET.as_millis()) as usize;
        let slot = slot.min(MAX_BUCKETS - 1);
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, Workload::default());
        }
        self.slots[slot] += work;
    }

    /// Advances the time by `length` and removes the work that became due.
    pub(crate) fn take_due(&mut self, length: Duration) -> Workload {
        self.elapsed += length;
        let passed = (self.elapsed.as_millis() / BUCKET.as_millis()) as usize;
        self.elapsed -= BUCKET * u32::try_from(passed).unwrap_or(u32::MAX);
        let passed = passed.min(self.slots.len());
        self.slots.drain(..passed).fold(Workload::default(), |sum, work| sum + work)
    }
}
