//! Reports of how long a back end has been writing.

use std::time::{Duration, Instant};

use beamwall_quarantine::WritingProgress;
use beamwall_quarantine::writing_progress::WRITING_REPORT_INTERVAL;

/// Guards against: a back end that has stopped writing is taken for one that writes on, or is reported with each event.
#[test]
fn a_report_is_due_after_each_interval_in_which_something_was_written() {
    let start = Instant::now();
    let mut progress = WritingProgress::begun_at(start);
    assert_eq!(progress.take_report(), None);
    progress.note(start + WRITING_REPORT_INTERVAL - Duration::from_millis(1));
    assert_eq!(progress.take_report(), None);
    progress.note(start + WRITING_REPORT_INTERVAL);
    assert_eq!(progress.take_report(), Some(WRITING_REPORT_INTERVAL));
    assert_eq!(progress.take_report(), None, "nothing was written since");
    progress.note(start + WRITING_REPORT_INTERVAL * 3);
    assert_eq!(progress.take_report(), Some(WRITING_REPORT_INTERVAL * 3));
}
