//! Starts logging to standard error as JSON or text.

use log::LevelFilter;
use logforth::append::Stderr;
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

/// Starts logging for the whole process.
pub fn start_logging(format: LogFormat, level: LevelFilter) -> Result<(), LoggingError> {
    let builder = logforth::starter_log::builder();
    let builder = match format {
        LogFormat::Json => {
            builder.dispatch(|dispatch| dispatch.append(Stderr::default().with_layout(JsonLayout::default())))
        }
        LogFormat::Text => builder.dispatch(|dispatch| {
            dispatch.append(Stderr::default().with_layout(TextLayout::default().no_color()))
        }),
    };
    builder.try_apply().map_err(|_| LoggingError::AlreadyStarted)?;
    log::set_max_level(level);
    Ok(())
}
