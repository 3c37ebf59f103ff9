//! The outcome of admitting a request.

use std::time::Duration;

/// How an admitted request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As its route or service allows.
    Normal,
    /// To one back end only.
    Trial,
}

/// A refusal: back ends terminated while this request was open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// Number of terminations.
    pub endings: usize,
    /// Time until the next trial; `None` if the request must not be sent again.
    pub retry_after: Option<Duration>,
}

impl HeldRequest {
    /// The reason given to the caller.
    pub fn reason(&self) -> String {
        let endings = self.endings;
        match self.retry_after {
            None => format!("not run: {endings} back ends ended under this request; do not send it again"),
            Some(_) => format!("not run: {endings} back ends ended under this request or others beside it"),
        }
    }
}
