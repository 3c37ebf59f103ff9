//! Every window is reported, whichever node holds the duties lease when it is due.

use std::time::Duration;

use beamwall_duties::{UsageTiming, WindowClock, WindowProgress};

const SECOND: Duration = Duration::from_secs(1);
const TIMING: UsageTiming = UsageTiming {
    window: Duration::from_secs(6),
    settle_delay: SECOND,
    silent_node_wait: Duration::from_secs(8),
    max_age: Duration::from_secs(30),
};

fn at(current: u64, elapsed_s: u64) -> WindowClock {
    WindowClock { current, elapsed: SECOND * u32::try_from(elapsed_s).expect("seconds fit into u32") }
}

fn progress(first: u64) -> WindowProgress {
    WindowProgress { reported_through: None, newest_fixed: None, first }
}

fn due(progress: WindowProgress, clock: WindowClock, is_complete: bool) -> Option<u64> {
    progress.due(&clock, &TIMING, is_complete, |window| progress.newest_fixed == Some(window))
}

#[test]
fn a_window_is_due_when_all_nodes_have_sent_their_counts() {
    assert_eq!(due(progress(40), at(40, 5), true), None, "the window has not ended");
    assert_eq!(due(progress(40), at(41, 0), true), None, "counts are still arriving");
    assert_eq!(due(progress(40), at(41, 1), true), Some(40));
    assert_eq!(due(progress(40), at(41, 1), false), None, "a silent node may still have counts");
    assert_eq!(due(progress(40), at(42, 2), false), Some(40), "the wait for silent nodes is bounded");
}

/// Guards against a window that is never reported because each lease holder began with the window of its own
/// start.
#[test]
fn a_window_left_open_by_the_previous_holder_is_due() {
    let taken_over = WindowProgress { first: 39, ..progress(41) };
    assert_eq!(due(taken_over, at(41, 1), true), Some(39));
    let reported = WindowProgress { reported_through: Some(39), ..taken_over };
    assert_eq!(due(reported, at(41, 1), true), Some(40));
}

#[test]
fn a_successor_repeats_the_last_fixed_window_and_goes_on() {
    let fixed = WindowProgress { newest_fixed: Some(40), ..progress(44) };
    assert_eq!(due(fixed, at(44, 0), false), Some(40), "fixed counts need no further wait");
    assert_eq!(fixed.first_open(), 41);
    let repeated = WindowProgress { reported_through: Some(40), ..fixed };
    assert_eq!(due(repeated, at(44, 0), true), Some(41));
}

#[test]
fn windows_that_ended_long_ago_are_not_reported() {
    assert_eq!(due(progress(1), at(100, 0), true), Some(95));
}

#[test]
fn open_windows_begin_after_the_last_one_that_is_fixed() {
    assert_eq!(progress(40).first_open(), 40);
    let reported = WindowProgress { reported_through: Some(42), newest_fixed: Some(41), first: 40 };
    assert_eq!(reported.first_open(), 43);
}
