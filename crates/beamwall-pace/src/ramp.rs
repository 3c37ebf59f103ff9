//! The share of one server, from its start or return until it has its full part.

use std::time::Duration;

use tokio::time::Instant;

/// Share with which a ramp begins, and to which a failure sets it back: a tenth of the part of an equal server is
/// enough to learn its response times, and few callers are late if it is cold.
pub const INITIAL_SHARE: f64 = 0.1;
/// Time in which the share doubles while nothing speaks against it. From [`INITIAL_SHARE`] the full part is reached in
/// 0.83 s.
const DOUBLING_TIME: Duration = Duration::from_millis(250);
/// Longest ramp: a server that is slower for good is not starting any more, and others judge its speed.
const LONGEST_RAMP: Duration = Duration::from_secs(10);
/// Weight of the newest response in the averaged ratio.
const RESPONSE_WEIGHT: f64 = 0.3;
/// Time after which half of the averaged ratio's excess is forgotten if no response confirms it: a cold server warms
/// up, and with a small share it is seldom asked.
const EXCESS_HALF_LIFE: Duration = Duration::from_millis(800);
/// Ratio of measured to expected time up to which a response counts as expected. Response times scatter by more than a
/// tenth.
const TOLERATED_RATIO: f64 = 1.15;
/// Largest ratio that one response can show: it may have waited for something else.
const MAX_RATIO: f64 = 4.0;

/// The ramp of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    share: f64,
    /// Averaged ratio of measured to expected response times, at least 1.
    ratio: f64,
    began: Instant,
    updated: Instant,
}

impl Ramp {
    /// The ramp of a server that starts or returns now.
    pub fn new(now: Instant) -> Self {
        Self { share: INITIAL_SHARE, ratio: 1.0, began: now, updated: now }
    }

    /// Part of the requests of an equal server that this one gets, 0 to 1.
    pub fn share(&self, now: Instant) -> f64 {
        self.advanced(now).share
    }

    /// Whether the server has its full part, or has had time enough to show that it is slower for good.
    pub fn is_over(&self, now: Instant) -> bool {
        self.share(now) >= 1.0 || now.saturating_duration_since(self.began) >= LONGEST_RAMP
    }

    /// Records a response that took `ratio` times as long as expected.
    pub fn note_response(&mut self, ratio: f64, now: Instant) {
        *self = self.advanced(now);
        let ratio = ratio.clamp(1.0, MAX_RATIO);
        self.ratio += (ratio - self.ratio) * RESPONSE_WEIGHT;
        self.share = self.share.min(self.allowed_share()).max(INITIAL_SHARE);
    }

    /// Records a request that failed at the server. If the server is still resting, the ramp keeps its later
    /// start.
    pub fn note_failure(&mut self, now: Instant) {
        *self = Self { began: self.began, ..Self::new(now.max(self.updated)) };
    }

    /// A server that takes twice as long as expected does half of an equal server's work in the same time.
    fn allowed_share(&self) -> f64 {
        if self.ratio <= TOLERATED_RATIO { 1.0 } else { 1.0 / self.ratio }
    }

    fn advanced(&self, now: Instant) -> Self {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept_excess = 0.5_f64.powf(passed / EXCESS_HALF_LIFE.as_secs_f64());
        let faded = Self { ratio: 1.0 + (self.ratio - 1.0) * kept_excess, ..*self };
        let grown = self.share * 2.0_f64.powf(passed / DOUBLING_TIME.as_secs_f64());
        let share = grown.min(faded.allowed_share()).max(self.share.min(1.0));
        Self { share, updated: now.max(self.updated), ..faded }
    }
}
