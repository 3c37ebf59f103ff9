//! Load balancing strategies.

/// How a back end is chosen among those that may receive a request. All but the first are baselines for
/// measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoiceStrategy {
    /// The back end with the shortest expected time to the first token.
    #[default]
    ExpectedTime,
    /// The back end with the fewest open requests.
    LeastRequests,
    /// The back ends in turn.
    RoundRobin,
}

impl ChoiceStrategy {
    /// The names used in settings, in the order of the variants.
    pub const NAMES: &[&str] = &["expected-time", "least-requests", "round-robin"];

    /// The strategy with the given name in settings; the default strategy for any other text.
    pub fn from_name(name: &str) -> Self {
        match name {
            "least-requests" => Self::LeastRequests,
            "round-robin" => Self::RoundRobin,
            _ => Self::ExpectedTime,
        }
    }
}
