//! Applies paces to one choice among servers.

/// Factor by which the best server without a pace must cost more than a paced one before the pace gives way. Twice as
/// much covers a server that is cold.
const YIELD_FACTOR: f64 = 2.0;
/// Cost difference in milliseconds, beyond the factor, below which the pace still holds, so that it also applies among
/// idle servers.
const YIELD_MARGIN_MS: f64 = 50.0;
/// Factor by which a paced server may cost more than the best other one and still be asked on purpose. The caller whose
/// request shows its response time should not be late for it.
const TRIAL_FACTOR: f64 = 1.5;
/// Cost difference in milliseconds that is tolerated beside that factor.
const TRIAL_MARGIN_MS: f64 = 5.0;

/// What a selection needs to know of a candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacedCandidate {
    /// Share that its pace allows, 0 to 1; 1 without a pace.
    pub share: f64,
    /// Cost of choosing it, in milliseconds.
    pub cost_ms: f64,
}

impl PacedCandidate {
    fn is_paced(&self) -> bool {
        self.share < 1.0
    }
}

/// Which candidates may be chosen for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// All of them.
    All,
    /// Those without a pace.
    Unpaced,
    /// The one at this position, so that its response times become known.
    Only(usize),
}

/// Selects for one request. `random` is uniform in [0, 1).
///
/// Each paced candidate is chosen for its share of the requests that a server without a pace gets, also when it is not
/// the cheapest. For all other requests it is passed over, unless the others are so busy that even a cold
/// server would serve the request sooner.
pub fn select(candidates: &[PacedCandidate], random: f64) -> Selection {
    let cheapest = |is_paced: bool| {
        let of_kind = candidates.iter().filter(|candidate| candidate.is_paced() == is_paced);
        of_kind.map(|candidate| candidate.cost_ms).min_by(f64::total_cmp)
    };
    let (Some(paced_ms), Some(unpaced_ms)) = (cheapest(true), cheapest(false)) else { return Selection::All };
    let must_yield = unpaced_ms > paced_ms * YIELD_FACTOR + YIELD_MARGIN_MS;
    if must_yield {
        return Selection::All;
    }
    let limit_ms = unpaced_ms * TRIAL_FACTOR + TRIAL_MARGIN_MS;
    drawn(candidates, limit_ms, random).map_or(Selection::Unpaced, Selection::Only)
}

/// The paced candidate on whose part of [0, 1) `random` falls. One that costs more than `limit_ms`, for example since it
/// can't be reached, is not asked on purpose.
fn drawn(candidates: &[PacedCandidate], limit_ms: f64, random: f64) -> Option<usize> {
    let shares: f64 = candidates.iter().map(|candidate| candidate.share).sum();
    let mut upper = 0.0;
    for (position, candidate) in candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_paced()) {
        upper += candidate.share / shares;
        if random < upper {
            return (candidate.cost_ms <= limit_ms).then_some(position);
        }
    }
    None
}
