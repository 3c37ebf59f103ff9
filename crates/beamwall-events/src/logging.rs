//! Starts logging to standard output as JSON or text.
//!
//! Lines go through a queue to a thread that writes them: whoever logs never waits. How many may wait
//! is bounded by [`crate::bound`].

use log::LevelFilter;
use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::diagnostic::StaticDiagnostic;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use quick_error::quick_error;

use crate::BOUND;
use crate::bound::QUEUE_LIMIT;

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

/// Writes lines and counts them.
#[derive(Debug)]
struct CountedOutput(Stdout);

impl Append for CountedOutput {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let result = self.0.append(record, diagnostics);
        BOUND.note_written();
        result
    }

    fn flush(&self) -> Result<(), Error> {
        self.0.flush()
    }
}

/// Starts logging for the whole process; every line names `node`.
pub fn start_logging(format: LogFormat, level: LevelFilter, node: &str) -> Result<(), LoggingError> {
    let output = match format {
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
    };
    let queue = AsyncBuilder::new("log")
        .buffered_lines_limit(usize::try_from(2 * QUEUE_LIMIT).ok())
        .overflow_drop_incoming()
        .append(CountedOutput(output))
        .build();
    let mut names = StaticDiagnostic::default();
    names.insert("node", node);
    let builder =
        logforth::starter_log::builder().dispatch(|dispatch| dispatch.diagnostic(names).append(queue));
    builder.try_apply().map_err(|_| LoggingError::AlreadyStarted)?;
    BOUND.activate();
    log::set_max_level(level);
    Ok(())
}

/// Waits until all lines are written: at the end of a process.
pub fn finish_logging() {
    log::logger().flush();
}
