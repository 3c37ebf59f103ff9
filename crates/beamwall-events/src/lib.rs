//! Numbered log events and the set-up of structured logging.
//!
//! Every line the system logs is a typed struct of [`internal_events`] with a fixed number, so an
//! operator can look it up in docs/EVENTS.md and an alarm can match on it. The catalogue page is
//! checked against [`internal_events::CATALOGUE`] by a test in both directions.

pub mod bound;
pub mod internal_events;
pub mod logging;

pub use logging::{LogFormat, LoggingError, finish_logging, start_logging};

use std::time::{SystemTime, UNIX_EPOCH};

use log::Level;

use crate::bound::LineBound;
use crate::internal_events::LogLinesDropped;

/// A numbered event.
pub trait Event {
    /// The fixed number, printed as `BW-<number>`.
    const NUMBER: u16;
    /// The level at which the event is logged.
    const LEVEL: Level;
    /// What happened, in one line.
    const MESSAGE: &'static str;

    /// The event's fields in order.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

/// The bound on this process's log lines.
static BOUND: LineBound = LineBound::new();

/// Log lines of this process that were dropped because there were too many.
pub fn dropped_lines() -> u64 {
    BOUND.dropped()
}

/// Logs one event, unless there are too many lines.
pub fn emit<E: Event>(event: &E) {
    if E::LEVEL > log::max_level() || !BOUND.admit(E::LEVEL >= Level::Info, second_now()) {
        return;
    }
    write(event);
    if let Some(lines) = BOUND.take_untold() {
        emit(&LogLinesDropped { lines: lines.to_string() });
    }
}

fn second_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn write<E: Event>(event: &E) {
    let fields = event.fields();
    log::logger().log(
        &log::Record::builder()
            .level(E::LEVEL)
            .target("beamwall")
            .args(format_args!("BW-{} {}", E::NUMBER, E::MESSAGE))
            .key_values(&fields)
            .build(),
    );
}
