//! Decides what becomes of a stream whose engine will soon be gone: it ends there, it is moved with its
//! memory, or it is left to break off.

use std::time::Duration;

use beamwall_policy::MemoryMoves;

/// Time of everything but the copying: the choice of a target, two calls to the source, and the first event
/// of the continued stream.
const CALLS_TIME: Duration = Duration::from_millis(200);
/// Factor by which a copy takes longer to another zone. The target is not known when the decision is made.
const OTHER_ZONE_FACTOR: u32 = 2;
/// Multiple of the expected time to its end that a stream must have to be left at its engine. Streams of one
/// route vary in length.
const ENDING_MARGIN: f64 = 1.5;
/// Events still expected of a stream that is longer than usual, as a share of the usual number.
const OVERDUE_EVENTS_SHARE: f64 = 0.25;
/// How long before the last moment for a move a stream that was left at its engine is looked at again.
const REVIEW_MARGIN: Duration = Duration::from_millis(100);
/// Longest expected copy that is made while the stream is stopped, without copying most of it before.
const SHORT_COPY: Duration = Duration::from_millis(20);
const BITS_PER_BYTE: f64 = 8.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// What is known of a stream and its engine.
#[derive(Debug, Clone, Copy)]
pub struct RunningStream {
    /// Time until the engine is gone.
    pub time_left: Duration,
    /// Events delivered.
    pub events: u64,
    /// Events of a usual stream of its route.
    pub usual_events: f64,
    /// The most events that it may have, if the caller named a limit.
    pub maximum_events: Option<u64>,
    /// Mean time between two events.
    pub event_gap: Duration,
    /// Tokens in the engine's memory that belong to it.
    pub memory_tokens: u64,
    /// Requests that run at the engine. Their moves are made one after another.
    pub running: u32,
}

/// What becomes of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relocation {
    /// It is expected to end at its engine in time. If it has not, the decision is made again after this
    /// time; `None`: it ends too soon for that.
    LetFinish(Option<Duration>),
    /// It is moved now.
    Move {
        /// Whether most of the memory is copied while the stream goes on.
        copies_ahead: bool,
    },
    /// There is no time for a move.
    TooLate,
}

/// Decides about one stream.
pub fn decide(stream: &RunningStream, moves: &MemoryMoves) -> Relocation {
    let copy_time = copy_time(stream, moves);
    let last_start = stream.time_left.checked_sub(move_time(stream, moves));
    let expected_end = expected_time_to_end(stream);
    match last_start {
        Some(last_start) if expected_end <= last_start => {
            let review_in = last_start.saturating_sub(REVIEW_MARGIN);
            Relocation::LetFinish((!review_in.is_zero()).then_some(review_in))
        }
        Some(_) => Relocation::Move { copies_ahead: copy_time > SHORT_COPY },
        None if expected_end <= stream.time_left => Relocation::LetFinish(None),
        None => Relocation::TooLate,
    }
}

/// Longest expected time of a move, behind the moves of all other runs of the engine.
pub fn move_time(stream: &RunningStream, moves: &MemoryMoves) -> Duration {
    copy_time(stream, moves).saturating_mul(stream.running.max(1)).saturating_add(CALLS_TIME)
}

/// Time in which the memory of the stream passes the link to another zone.
fn copy_time(stream: &RunningStream, moves: &MemoryMoves) -> Duration {
    let bits = stream.memory_tokens as f64 * moves.token_bytes as f64 * BITS_PER_BYTE;
    let seconds = bits / (moves.link_mbps * BITS_PER_MEGABIT);
    let in_zone = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    in_zone.saturating_mul(OTHER_ZONE_FACTOR)
}

/// The expected time to the end of the stream, with the margin.
fn expected_time_to_end(stream: &RunningStream) -> Duration {
    let delivered = stream.events as f64;
    let overdue = stream.usual_events * OVERDUE_EVENTS_SHARE;
    let expected = (stream.usual_events - delivered).max(overdue);
    let most = stream.maximum_events.map_or(f64::INFINITY, |most| (most as f64 - delivered).max(0.0));
    let events_left = expected.min(most).max(0.0);
    let seconds = stream.event_gap.as_secs_f64() * events_left * ENDING_MARGIN;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
