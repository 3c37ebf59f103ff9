//! Starts logging to standard output as JSON or text.
//!
//! Lines go through a bounded queue to a thread that writes them: whoever logs never waits. When the
//! queue is full, newer lines are dropped.

use log::LevelFilter;
use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use quick_error::quick_error;

quick_error! {
    /// Why logging could not be started.
    #[derive(Debug)]
    pub enum LoggingError {
        /// Logging was started before in this process.
        AlreadyStarted {
            display("logging was already started in this process")
        }
    }
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text for a terminal.
    Text,
}

/// Lines that wait to be written.
const QUEUE_CAPACITY: usize = 8_192;

/// Starts logging for the whole process.
pub fn start_logging(format: LogFormat, level: LevelFilter) -> Result<(), LoggingError> {
    let output = match format {
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
    };
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(QUEUE_CAPACITY))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(queue));
    builder.try_apply().map_err(|_| LoggingError::AlreadyStarted)?;
    log::set_max_level(level);
    Ok(())
}

/// Waits until all lines are written: at the end of a process.
pub fn finish_logging() {
    log::logger().flush();
}
