//! What one node observed of one back end, as told to other nodes.

use crate::lasting_speed::LastingObservation;
use crate::slowness::SlownessObservation;

/// Observations of one back end by one or more nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineObservation {
    /// Recent samples, whose weight decays within seconds.
    pub recent: SlownessObservation,
    /// Samples of the lasting speed; without weight if there are none.
    pub lasting: LastingObservation,
}

impl From<SlownessObservation> for EngineObservation {
    fn from(recent: SlownessObservation) -> Self {
        Self { recent, lasting: LastingObservation::default() }
    }
}
