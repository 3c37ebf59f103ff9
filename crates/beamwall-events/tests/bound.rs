//! Log lines stay bounded, failures are kept, and what was dropped is told.

use beamwall_events::bound::{LineBound, QUEUE_LIMIT, ROUTINE_LINES_PER_SECOND, ROUTINE_QUEUE_LIMIT};

fn active() -> LineBound {
    let bound = LineBound::new();
    bound.activate();
    bound
}

#[test]
fn routine_lines_are_bounded_in_each_second_and_failures_are_not() {
    let bound = active();
    let admitted = |second| {
        let lines = (0..10 * ROUTINE_LINES_PER_SECOND).filter(|_| {
            let is_admitted = bound.admit(true, second);
            if is_admitted {
                bound.note_written();
            }
            is_admitted
        });
        lines.count() as u64
    };
    assert_eq!(admitted(1), ROUTINE_LINES_PER_SECOND);
    assert_eq!(admitted(2), ROUTINE_LINES_PER_SECOND);
    assert!(bound.admit(false, 2), "a failure is told in any second");
}

#[test]
fn a_writer_that_stands_still_keeps_room_for_failures() {
    let bound = active();
    for second in 0..100 {
        for _ in 0..ROUTINE_LINES_PER_SECOND {
            bound.admit(true, second);
        }
    }
    assert_eq!(bound.waiting(), ROUTINE_QUEUE_LIMIT);
    let failures = (0..2 * QUEUE_LIMIT).filter(|_| bound.admit(false, 200)).count() as u64;
    assert_eq!(failures, QUEUE_LIMIT - ROUTINE_QUEUE_LIMIT);
    assert_eq!(bound.waiting(), QUEUE_LIMIT);
}

#[test]
fn what_was_dropped_is_told_once_there_is_room() {
    let bound = active();
    for second in 0..6 {
        for _ in 0..ROUTINE_LINES_PER_SECOND {
            bound.admit(true, second);
        }
    }
    let dropped = bound.dropped();
    assert!(dropped > 0);
    assert_eq!(bound.take_untold(), None, "no room yet");
    while bound.waiting() > 0 {
        bound.note_written();
    }
    assert_eq!(bound.take_untold(), Some(dropped));
    assert_eq!(bound.take_untold(), None);
}
