//! The progress of a rollout, as sent to all nodes.

use std::time::Duration;

/// The result of a rollout. A greater verdict in this order replaces a smaller one, whichever node sends
/// it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// No result yet.
    #[default]
    Running,
    /// The version is bad and receives no more requests.
    RolledBack,
    /// The version receives all requests. The old back ends have been stopped by then, so this verdict
    /// stays even if a node finds the version bad at the same time.
    Succeeded,
}

impl Verdict {
    /// Whether no later verdict that must be reported to the operator can replace this one.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// How nodes distribute a service's requests during a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stage {
    /// Share of the requests that go to the new version, 0 to 1, until it receives all.
    pub share: f64,
    /// Number of back ends of the new version that share these requests.
    pub back_ends: usize,
    /// Time from now until the new version receives all requests; `None` if not known yet.
    pub takes_all_in: Option<Duration>,
}

impl Stage {
    /// No requests go to the new version.
    pub const NONE: Self = Self { share: 0.0, back_ends: 0, takes_all_in: None };

    /// The stage as it applies after `elapsed`.
    pub fn after(self, elapsed: Duration) -> Self {
        Self { takes_all_in: self.takes_all_in.map(|left| left.saturating_sub(elapsed)), ..self }
    }

    /// Whether the new version receives all requests.
    pub fn takes_all(self) -> bool {
        self.takes_all_in == Some(Duration::ZERO)
    }

    /// Share of the requests that go to the new version now.
    pub fn share_now(self) -> f64 {
        if self.takes_all() { 1.0 } else { self.share }
    }
}
