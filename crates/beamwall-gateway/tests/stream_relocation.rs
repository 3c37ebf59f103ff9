//! What becomes of a stream whose engine will soon be gone.

use std::time::Duration;

use beamwall_gateway::stream::relocation::{Relocation, RunningStream, decide, move_time};
use beamwall_policy::MemoryMoves;
use beamwall_seeds::on_seeds;

const MOVES: MemoryMoves = MemoryMoves { token_bytes: 35_000, link_mbps: 260_000.0, copy_lifetime_ms: 5_000 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A stream with 40 of its usual 100 events, one each 50 ms, at an engine that is gone in 2.5 s.
fn stream() -> RunningStream {
    RunningStream {
        time_left: ms(2_500),
        events: 40,
        usual_events: 100.0,
        maximum_events: None,
        event_gap: ms(50),
        memory_tokens: 2_000,
        running: 60,
    }
}

/// Guards against: a stream that can't end in time is left at its engine and breaks off.
#[test]
fn a_stream_that_cannot_end_in_time_is_moved() {
    assert!(matches!(decide(&stream(), &MOVES), Relocation::Move { .. }));
    let overdue = RunningStream { events: 300, ..stream() };
    assert!(matches!(
        decide(&RunningStream { time_left: ms(1_500), ..overdue }, &MOVES),
        Relocation::Move { .. }
    ));
}

/// Guards against: the memory of streams that end by themselves takes room on the links and at the targets.
#[test]
fn a_stream_about_to_end_is_left_alone() {
    let last_events = RunningStream { events: 96, usual_events: 97.0, maximum_events: Some(100), ..stream() };
    assert!(matches!(decide(&last_events, &MOVES), Relocation::LetFinish(Some(_))));
    let without_time = RunningStream { time_left: ms(300), ..last_events };
    assert_eq!(decide(&without_time, &MOVES), Relocation::LetFinish(None));
}

/// Guards against: a stream longer than expected, which was left at its engine, is looked at too late.
#[test]
fn a_stream_that_was_left_and_has_not_ended_is_moved_in_time() {
    let expected_to_end = RunningStream { events: 90, ..stream() };
    let Relocation::LetFinish(Some(review_in)) = decide(&expected_to_end, &MOVES) else {
        panic!("it ends in time");
    };
    let later = RunningStream { time_left: ms(2_500) - review_in, events: 110, ..expected_to_end };
    assert!(matches!(decide(&later, &MOVES), Relocation::Move { .. }));
}

/// Guards against: a large memory on a slow link is copied while its stream stands still.
#[test]
fn a_long_copy_is_made_ahead() {
    let short = RunningStream { running: 1, ..stream() };
    assert_eq!(decide(&short, &MOVES), Relocation::Move { copies_ahead: false });
    let slow = MemoryMoves { link_mbps: 10_000.0, ..MOVES };
    assert_eq!(decide(&short, &slow), Relocation::Move { copies_ahead: true });
}

/// Guards against: a link of no or unknown capacity, or memory of unknown size, makes the arithmetic fail.
#[test]
fn traits_without_values_do_not_move_anything_in_no_time() {
    let unknown = MemoryMoves { token_bytes: 0, link_mbps: 0.0, copy_lifetime_ms: 0 };
    assert_eq!(decide(&stream(), &unknown), Relocation::TooLate);
    let no_link = MemoryMoves { link_mbps: 0.0, ..MOVES };
    assert_eq!(decide(&stream(), &no_link), Relocation::TooLate);
}

/// Guards against: a stream whose expected end exceeds what a duration holds ends its relay.
#[test]
fn a_stream_without_an_expected_end_is_moved() {
    for usual_events in [1e300, f64::INFINITY] {
        let endless = RunningStream { usual_events, ..stream() };
        assert!(matches!(decide(&endless, &MOVES), Relocation::Move { .. }), "{usual_events}");
    }
}

/// Guards against: a move that can't end in time, or a second look without time for one, on any input.
#[test]
fn no_move_is_begun_that_cannot_end_in_time() {
    on_seeds(300, |input| {
        let stream = RunningStream {
            time_left: ms(input.int_in_range(0..=10_000)?),
            events: input.int_in_range(0..=500)?,
            usual_events: f64::from(input.int_in_range(0..=500u32)?),
            maximum_events: input.arbitrary::<Option<u16>>()?.map(u64::from),
            event_gap: ms(input.int_in_range(0..=500)?),
            memory_tokens: input.int_in_range(0..=200_000)?,
            running: input.int_in_range(0..=200)?,
        };
        let moves = MemoryMoves { link_mbps: f64::from(input.int_in_range(100..=400_000u32)?), ..MOVES };
        match decide(&stream, &moves) {
            Relocation::Move { .. } => assert!(move_time(&stream, &moves) <= stream.time_left),
            Relocation::LetFinish(Some(review_in)) => {
                assert!(!review_in.is_zero(), "a second look at once would repeat for ever");
                assert!(review_in + move_time(&stream, &moves) <= stream.time_left);
            }
            Relocation::TooLate => assert!(move_time(&stream, &moves) > stream.time_left),
            Relocation::LetFinish(None) => {}
        }
        Ok(())
    });
}

/// A stream of the engine and the time at which it really ends.
struct DrawnStream {
    stream: RunningStream,
    ends_in: Duration,
}

/// What became of the streams of one engine.
#[derive(Debug, Default)]
struct Outcome {
    moved: usize,
    broken: usize,
}

/// Follows one stream to its end, its move or the end of the engine.
fn follow(drawn: &DrawnStream, outcome: &mut Outcome) {
    let mut elapsed = Duration::ZERO;
    loop {
        let events = drawn.stream.events + (elapsed.as_millis() / drawn.stream.event_gap.as_millis()) as u64;
        let now = RunningStream { events, time_left: drawn.stream.time_left - elapsed, ..drawn.stream };
        match decide(&now, &MOVES) {
            Relocation::Move { .. } => {
                outcome.moved += 1;
                return;
            }
            Relocation::LetFinish(Some(review_in)) if drawn.ends_in > elapsed + review_in => {
                elapsed += review_in
            }
            Relocation::LetFinish(_) | Relocation::TooLate => {
                outcome.broken += usize::from(drawn.ends_in > drawn.stream.time_left);
                return;
            }
        }
    }
}

/// Guards against: all streams of an engine are moved at once, or so late that some break off. Moving all at once
/// moves every stream; leaving all breaks off those that end after the engine.
#[test]
fn fewer_streams_are_moved_than_there_are_and_none_breaks_off() {
    let (mut moved, mut followed) = (0, 0);
    on_seeds(100, |input| {
        let mut outcome = Outcome::default();
        let mut ends_late = 0;
        let streams = 60;
        for _ in 0..streams {
            let total_events = input.int_in_range(20..=180u64)?;
            let events = input.int_in_range(1..=total_events)?;
            let ends_in = ms(50) * (total_events - events) as u32;
            ends_late += usize::from(ends_in > stream().time_left);
            follow(&DrawnStream { stream: RunningStream { events, ..stream() }, ends_in }, &mut outcome);
        }
        assert!(outcome.moved >= ends_late, "{outcome:?}");
        assert_eq!(outcome.broken, 0, "{outcome:?}, {ends_late} end after the engine");
        moved += outcome.moved;
        followed += streams;
        Ok(())
    });
    assert!(moved < followed, "{moved} of {followed} were moved");
}
