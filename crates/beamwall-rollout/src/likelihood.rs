//! Log-likelihood ratios of answer counts: how much more likely they are with a larger than usual share
//! of bad answers.

use crate::evidence::AnswerCounts;

/// Largest share of bad answers assumed possible.
pub const MAX_BAD_SHARE: f64 = 0.95;
/// Smallest share of bad answers assumed for any version.
pub const MIN_BAD_SHARE: f64 = 0.01;

/// Weighted counts of all answers and of the bad ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Answers {
    /// All answers.
    pub all: f64,
    /// The bad answers.
    pub bad: f64,
}

impl Answers {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }

    /// Returns the counts multiplied by `weight`.
    pub fn scaled(self, weight: f64) -> Self {
        Self { all: self.all * weight, bad: self.bad * weight }
    }

    /// Share of bad answers; 0 if there are no answers.
    pub fn share(self) -> f64 {
        if self.all > 0.0 { self.bad / self.all } else { 0.0 }
    }
}

impl From<AnswerCounts> for Answers {
    fn from(counts: AnswerCounts) -> Self {
        Self { all: counts.answers as f64, bad: counts.bad as f64 }
    }
}

/// Logarithm of how much more likely the answers are if `degradation` is added to the `usual` share of
/// bad answers.
pub fn ratio(answers: Answers, usual: f64, degradation: f64) -> f64 {
    let worse = (usual + degradation).min(MAX_BAD_SHARE);
    let good = answers.all - answers.bad;
    answers.bad * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
}
