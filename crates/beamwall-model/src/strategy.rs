//! How a back end is chosen among those that may take a request.

/// How a back end is chosen. All but the first are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoiceStrategy {
    /// The one that is expected to begin to answer first.
    #[default]
    ExpectedTime,
    /// The one with the fewest open requests.
    LeastRequests,
    /// One after another.
    RoundRobin,
}

impl ChoiceStrategy {
    /// The names used in settings, in the order of the strategies.
    pub const NAMES: &[&str] = &["expected-time", "least-requests", "round-robin"];

    /// The strategy of a name used in settings; the usual one for any other text.
    pub fn from_name(name: &str) -> Self {
        match name {
            "least-requests" => Self::LeastRequests,
            "round-robin" => Self::RoundRobin,
            _ => Self::ExpectedTime,
        }
    }
}
