//! Orders to back ends: desired states, fenced by the epoch of the lease under which they were issued.

use quick_error::quick_error;

/// Desired state of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// The model and version are loaded.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// It is leaving and accepts no new work.
    Leave,
    /// It accepts work.
    Stay,
}

impl OrderKind {
    /// Name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Load { .. } => "load",
            Self::Leave => "leave",
            Self::Stay => "stay",
        }
    }
}

/// An order to one back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Epoch of the lease under which the order was issued.
    pub epoch: u64,
    /// Revision of the settings that the order implements.
    pub plan_revision: u64,
    /// Desired state of the back end.
    pub kind: OrderKind,
}

quick_error! {
    /// Why an order failed or its effect is unknown.
    #[derive(Debug)]
    pub enum OrderError {
        /// The back end has received an order with a newer epoch.
        Outdated(reason: String) {
            display("order refused as outdated: {}", reason)
        }
        /// The request was not sent, so the order had no effect.
        NotSent(reason: String) {
            display("order not sent: {}", reason)
        }
        /// The response was lost or unexpected; the order may have taken effect.
        Unknown(reason: String) {
            display("order may have taken effect: {}", reason)
        }
    }
}
