//! The final outcome of a request, as reported to the caller.

use std::fmt;

/// What is known about the execution of a request when its response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete response was received from a back end.
    Completed,
    /// The request was not executed: no byte of it reached a back end, or the back end rejected it in a way
    /// that its contract defines as before execution.
    NotRun,
    /// A back end may or may not have executed the request.
    Unknown,
    /// A stream ended early and can be continued at another node.
    Interrupted,
}

impl Outcome {
    /// The value of the `beamwall-outcome` response header and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Interrupted => "interrupted",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
