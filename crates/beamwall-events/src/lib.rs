//! Numbered log events and the set-up of structured logging.
//!
//! Every line the system logs is a typed struct of [`internal_events`] with a fixed number, so an
//! operator can look it up in docs/EVENTS.md and an alarm can match on it. The catalogue page is
//! checked against [`internal_events::CATALOGUE`] by a test in both directions.

pub mod internal_events;
pub mod logging;

pub use logging::{LogFormat, LoggingError, finish_logging, start_logging};

use log::Level;

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

/// Logs one event.
pub fn emit<E: Event>(event: &E) {
    if E::LEVEL > log::max_level() {
        return;
    }
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
