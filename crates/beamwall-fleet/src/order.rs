//! Orders to back ends: desired states, fenced by the epoch of the lease under which they are given.

use quick_error::quick_error;

/// What a back end shall be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Have this model and version loaded.
    Load {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Take no new work.
    Leave,
    /// Take work.
    Stay,
}

impl OrderKind {
    /// The word used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Load { .. } => "load",
            Self::Leave => "leave",
            Self::Stay => "stay",
        }
    }
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Revision of the settings that the order carries out.
    pub plan_revision: u64,
    /// What the back end shall be.
    pub kind: OrderKind,
}

quick_error! {
    /// Why an order did not take effect.
    #[derive(Debug)]
    pub enum OrderError {
        /// The back end has seen a newer epoch.
        Outdated(reason: String) {
            display("order refused as outdated: {}", reason)
        }
        /// Nothing was sent.
        NotSent(reason: String) {
            display("order not sent: {}", reason)
        }
        /// The answer was lost or not understood; the order may have taken effect.
        Unknown(reason: String) {
            display("order may have taken effect: {}", reason)
        }
    }
}
