//! Bounds on log lines: how many may wait to be written, and how many routine ones a second.
//!
//! Whoever logs never waits. When there are too many lines, routine ones (level info and below) are
//! dropped first; lines that tell of failures are kept up to a higher bound. What was dropped is
//! counted and told by a line of its own.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Routine lines that may be logged in one second.
pub const ROUTINE_LINES_PER_SECOND: u64 = 1_000;
/// Lines that may wait before routine ones are dropped.
pub const ROUTINE_QUEUE_LIMIT: u64 = 4_096;
/// Lines that may wait at all.
pub const QUEUE_LIMIT: u64 = 8_192;

/// Counts lines and decides which are dropped.
#[derive(Debug, Default)]
pub struct LineBound {
    is_active: AtomicBool,
    admitted: AtomicU64,
    written: AtomicU64,
    second: AtomicU64,
    routine_in_second: AtomicU64,
    dropped: AtomicU64,
    told: AtomicU64,
}

impl LineBound {
    /// A bound that admits everything until it is activated.
    pub const fn new() -> Self {
        Self {
            is_active: AtomicBool::new(false),
            admitted: AtomicU64::new(0),
            written: AtomicU64::new(0),
            second: AtomicU64::new(0),
            routine_in_second: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            told: AtomicU64::new(0),
        }
    }

    /// Starts to count; before, nothing tells when lines are written.
    pub fn activate(&self) {
        self.is_active.store(true, Ordering::Relaxed);
    }

    /// Whether a line may be logged in `second`, a number that rises with time.
    pub fn admit(&self, is_routine: bool, second: u64) -> bool {
        if !self.is_active.load(Ordering::Relaxed) {
            return true;
        }
        let fits_queue = self.waiting() < if is_routine { ROUTINE_QUEUE_LIMIT } else { QUEUE_LIMIT };
        if fits_queue && (!is_routine || self.fits_second(second)) {
            self.admitted.fetch_add(1, Ordering::Relaxed);
            return true;
        }
        self.dropped.fetch_add(1, Ordering::Relaxed);
        false
    }

    fn fits_second(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.routine_in_second.store(0, Ordering::Relaxed);
        }
        self.routine_in_second.fetch_add(1, Ordering::Relaxed) < ROUTINE_LINES_PER_SECOND
    }

    /// Lines that wait to be written.
    pub fn waiting(&self) -> u64 {
        let written = self.written.load(Ordering::Relaxed);
        self.admitted.load(Ordering::Relaxed).saturating_sub(written)
    }

    /// Notes that a line was written.
    pub fn note_written(&self) {
        self.written.fetch_add(1, Ordering::Relaxed);
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Lines dropped since they were last told, once there is room to tell of them.
    pub fn take_untold(&self) -> Option<u64> {
        let dropped = self.dropped();
        if dropped == self.told.load(Ordering::Relaxed) || self.waiting() >= ROUTINE_QUEUE_LIMIT / 2 {
            return None;
        }
        let told = self.told.swap(dropped, Ordering::Relaxed);
        (dropped > told).then(|| dropped - told)
    }
}
