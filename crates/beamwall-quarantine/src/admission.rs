//! What may be done with a request.

use std::time::Duration;

/// How a request that is let pass may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As its route or service allows.
    Normal,
    /// To one back end.
    Trial,
}

/// Why a request is not let pass: back ends ended under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// How many.
    pub endings: usize,
    /// When it is tried again; `None` where it shall not come again.
    pub retry_after: Option<Duration>,
}

impl HeldRequest {
    /// What its caller is told.
    pub fn reason(&self) -> String {
        let endings = self.endings;
        match self.retry_after {
            None => format!("not run: {endings} back ends ended under this request; do not send it again"),
            Some(_) => format!("not run: {endings} back ends ended under this request or others beside it"),
        }
    }
}
