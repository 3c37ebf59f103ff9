//! Whether a request is admitted.

use std::time::Duration;

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// Capacity is short, and the tenant uses more than its fair share of it.
    OverFairShare,
    /// Capacity is short for requests of this rank: the response would start after the objective.
    NoCapacity,
}

impl RejectionReason {
    /// The value used in logs, messages and metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OverFairShare => "over_fair_share",
            Self::NoCapacity => "no_capacity",
        }
    }

    /// Parses the value used in messages.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::OverFairShare, Self::NoCapacity].into_iter().find(|reason| reason.as_str() == text)
    }
}

/// A request for which there is no capacity now. It was not sent to any engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// Expected time until its response would have started at the best engine.
    pub expected: Duration,
    /// Time after which there will be capacity for it.
    pub retry_after: Duration,
}

/// Result of an admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Admitted {
        /// Whether it is a caller's return to a reservation.
        is_return: bool,
    },
    /// It must not be sent.
    Rejected {
        /// Why, and when to retry.
        rejection: Rejection,
        /// Whether it is a caller's return to a reservation.
        is_return: bool,
    },
}

impl Decision {
    /// Whether it may be sent.
    pub const fn is_admitted(&self) -> bool {
        matches!(self, Self::Admitted { .. })
    }
}
