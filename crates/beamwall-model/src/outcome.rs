//! The final outcome of a request, as told to the caller.

use std::fmt;

/// What is known of a request when its answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer was received from a back end.
    Completed,
    /// The request ran nowhere: no byte of it reached a back end, or the back end refused it in a
    /// way that its contract says precedes running.
    NotRun,
    /// A back end may or may not have run the request.
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
