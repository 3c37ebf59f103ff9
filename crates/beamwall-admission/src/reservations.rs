//! Times at which rejected callers may return, and which request is such a return.
//!
//! The state is soft: a placement node that starts anew knows no reservation and treats returns as new requests.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_quarantine::Fingerprint;
use tokio::time::Instant;

/// Largest number of reservations of a group.
pub const MAX_RESERVATIONS: usize = 4_096;
/// Time before a reservation from which its caller counts as returned: differences between timers.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// Time after a reservation until which it is kept: the way to the caller and back on a slow network.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// Shortest interval between two removals of expired reservations.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A promise of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// When the caller should return.
    pub at: Instant,
    /// When the request arrived first. Its objective is counted from then.
    pub first_seen: Instant,
    /// Engines of the group when it was made.
    pub engines: u32,
    /// Whether the response can still start within the objective.
    pub is_in_time: bool,
}

impl Reservation {
    fn is_expired(&self, now: Instant) -> bool {
        now > self.at + LATE_TOLERANCE
    }

    /// Whether a request that arrives now counts as the promised return.
    pub fn is_due(&self, now: Instant) -> bool {
        now + EARLY_TOLERANCE >= self.at && !self.is_expired(now)
    }
}

/// The reservations of a group.
#[derive(Debug)]
pub struct Reservations {
    by_request: HashMap<Fingerprint, Reservation>,
    swept: Instant,
}

impl Reservations {
    /// No reservation.
    pub fn new(now: Instant) -> Self {
        Self { by_request: HashMap::new(), swept: now }
    }

    /// Number of reservations.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// The reservation of a request.
    pub fn get(&self, request: &Fingerprint, now: Instant) -> Option<Reservation> {
        self.by_request.get(request).copied().filter(|reservation| !reservation.is_expired(now))
    }

    /// Adds a reservation; `false` if there are too many or the request can't be recognized.
    pub fn add(&mut self, request: &Fingerprint, reservation: Reservation, now: Instant) -> bool {
        self.sweep(now);
        let is_known = *request != Fingerprint::default();
        if !is_known || self.by_request.len() >= MAX_RESERVATIONS {
            return false;
        }
        self.by_request.insert(*request, reservation);
        true
    }

    /// Removes the reservation of a request.
    pub fn remove(&mut self, request: &Fingerprint) {
        self.by_request.remove(request);
    }

    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.by_request.retain(|_, reservation| !reservation.is_expired(now));
    }
}
