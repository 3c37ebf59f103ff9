//! Answers as evidence: how much more likely they are where a share of bad ones is larger than usual.

use crate::evidence::AnswerCounts;

/// Largest share of bad answers that is thought possible.
pub const MAX_BAD_SHARE: f64 = 0.95;
/// Least share of bad answers that any version is thought to have.
pub const MIN_BAD_SHARE: f64 = 0.01;

/// Answers, and the bad ones among them, with weights.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    /// Answers.
    pub all: f64,
    /// The bad ones among them.
    pub bad: f64,
}

impl Answers {
    /// Adds others.
    pub fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }

    /// The same with another weight.
    pub fn scaled(self, weight: f64) -> Self {
        Self { all: self.all * weight, bad: self.bad * weight }
    }

    /// Share of bad answers; 0 where there are no answers.
    pub fn share(self) -> f64 {
        if self.all > 0.0 { self.bad / self.all } else { 0.0 }
    }
}

impl From<AnswerCounts> for Answers {
    fn from(counts: AnswerCounts) -> Self {
        Self { all: counts.answers as f64, bad: counts.bad as f64 }
    }
}

/// Logarithm of how much more likely the answers are where `worsening` is added to the `usual` share of bad ones.
pub fn ratio(answers: Answers, usual: f64, degradation: f64) -> f64 {
    let worse = (usual + degradation).min(MAX_BAD_SHARE);
    let good = answers.all - answers.bad;
    answers.bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}
