//! The outcome of admitting a request.

use std::time::Duration;

use crate::fingerprint::Fingerprint;

/// How an admitted request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As its route or service allows.
    Normal,
    /// To one back end only.
    Trial,
}

/// A refusal: back ends terminated while this request was open, or others that share a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// What is held: the request or a part of its prompt.
    pub held: Fingerprint,
    /// Number of terminations.
    pub endings: usize,
    /// Time until the next trial; `None` if the request must not be sent again.
    pub retry_after: Option<Duration>,
}

impl HeldRequest {
    /// The reason given to the caller.
    pub fn reason(&self) -> String {
        let endings = self.endings;
        let what = match self.held.part() {
            Some(part) => format!("requests with part {part:x} of this prompt"),
            None => "this request".to_owned(),
        };
        match self.retry_after {
            None => format!("not run: {endings} back ends ended under {what}; do not send it again"),
            Some(_) => format!("not run: {endings} back ends ended under {what} or others beside it"),
        }
    }
}
