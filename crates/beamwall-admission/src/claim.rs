//! What a request claims of the capacity of a group of engines.

use std::time::Duration;

use beamwall_model::TenantName;
use beamwall_quarantine::Fingerprint;

/// Highest rank sent to back ends; the least urgent. Ranks beyond it count as this one.
pub const LOWEST_PRIORITY_RANK: u8 = 9;
/// Number of ranks.
pub const RANKS: usize = LOWEST_PRIORITY_RANK as usize + 1;

/// Who asks for capacity, how urgently, and whether it is the same request as an earlier one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CapacityClaim {
    /// Tenant that sent the request; `None` on public routes.
    pub tenant: Option<TenantName>,
    /// Rank of the request among those of its engine; 0 is the most urgent.
    pub rank: u8,
    /// Time within which its response should start, counted from its arrival at the sender; zero if it is
    /// not known, or if the request is to be admitted in any case.
    pub objective: Duration,
    /// Equal for all tries of one request by its caller; the default if it is not known.
    pub fingerprint: Fingerprint,
}

impl CapacityClaim {
    /// The same claim of a request that is to be admitted in any case.
    #[must_use]
    pub fn admitted(self) -> Self {
        Self { objective: Duration::ZERO, ..self }
    }
}
