//! How far a rollout has come, as all nodes are told.

use std::time::Duration;

/// What came of a rollout. A later one in this order replaces an earlier one, whoever tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing yet.
    #[default]
    Running,
    /// The version is bad: it gets nothing any more.
    RolledBack,
    /// The version has taken everything. Old back ends have been stopped by then, so this holds even where somebody found the
    /// version bad in the same moment.
    Succeeded,
}

impl Verdict {
    /// Whether nothing can replace it that the operator must be told.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// What nodes do with a service's requests during a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stage {
    /// Share of the requests that go to the new version, 0 to 1, until it takes all.
    pub share: f64,
    /// Back ends of the new version among which these are divided.
    pub back_ends: usize,
    /// Time from now until the new version takes all requests; `None` while that is not known.
    pub takes_all_in: Option<Duration>,
}

impl Stage {
    /// Nothing goes to the new version.
    pub const NONE: Self = Self { share: 0.0, back_ends: 0, takes_all_in: None };

    /// The same stage as it is `elapsed` later.
    pub fn after(self, elapsed: Duration) -> Self {
        Self { takes_all_in: self.takes_all_in.map(|left| left.saturating_sub(elapsed)), ..self }
    }

    /// Whether the new version takes all requests.
    pub fn takes_all(self) -> bool {
        self.takes_all_in == Some(Duration::ZERO)
    }

    /// Share of the requests that go to the new version now.
    pub fn share_now(self) -> f64 {
        if self.takes_all() { 1.0 } else { self.share }
    }
}
