//! Decides which requests of one group of engines are admitted.

use std::time::Duration;

use tokio::time::Instant;

use crate::claim::RANKS;
use crate::decayed_rate::DecayedRate;
use crate::decision::{Decision, Rejection, RejectionReason};
use crate::fair_shares::FairShares;
use crate::request::CapacityRequest;
use crate::reservations::{Reservation, Reservations};

/// Fraction of the tolerable wait up to which capacity is not short.
const COMFORTABLE_FRACTION: f64 = 0.5;
/// Fraction of the tolerable wait up to which new requests are admitted. The rest is left to returns.
const NEW_REQUEST_FRACTION: f64 = 0.9;
/// Fraction of the tolerable wait up to which returns are admitted after capacity has shrunk.
const RETURN_FRACTION: f64 = 1.0;
/// Smallest tolerable wait as a fraction of the objective. A prompt whose prefill alone takes longer than the
/// objective is late on an idle engine, too, and must not be rejected forever.
const MIN_TOLERABLE_FRACTION: f64 = 0.25;
/// Time for which tenants beyond their share are rejected after a request within its share had to wait.
const SHORTAGE_HOLD: Duration = Duration::from_millis(250);
/// Largest share of the engines that is assumed to be used by more urgent requests.
const MAX_URGENT_UTILIZATION: f64 = 0.75;

/// Fraction of a share or of the group that is promised to returns which can still be in time.
const RETURN_SHARE: f64 = 0.5;
/// Fraction of the longest `retry_after` that a caller honours before which no late return is promised. The
/// later it comes, the more likely the shortage is over.
const LATE_RETURN_FRACTION: f64 = 0.8;
/// Fraction of the group that is promised to returns which will be late.
const LATE_RETURN_SHARE: f64 = 0.1;
/// A reservation is honoured while at least this fraction of the engines counted when it was made is left. Less than
/// 1, since engines are blocked by their limits for moments.
const MIN_ENGINES_LEFT_FRACTION: f64 = 0.9;
/// Callers honour `Retry-After` up to their remaining time divided by this.
const RETRY_WAIT_DIVISOR: u32 = 3;
/// Shortest `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest `retry_after`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Fraction of the engines that may be used up while the wait is the longest tolerable one; it grows to 1 as the
/// wait becomes comfortable. Tenants beyond their share are held back so far that the queue becomes shorter, also
/// if the estimates promise more than the engines do.
const CAPACITY_AT_LONGEST_WAIT: f64 = 0.25;
/// Largest part of the demand that is divided among the tenants while capacity is short. The averaged demand
/// lags behind a sudden rise, and would otherwise seem to fit.
const DEMAND_SERVED_IN_SHORTAGE: f64 = 0.9;

/// Admission of requests to one group of engines.
#[derive(Debug)]
pub struct AdmissionController {
    shares: FairShares,
    reservations: Reservations,
    /// Engine time admitted by rank, in engines.
    admitted: [DecayedRate; RANKS],
    /// End of the shortage that was seen last.
    short_until: Instant,
    /// Longest wait since the shares were computed last, as a fraction of the tolerable one.
    longest_wait: f64,
    /// End of the time promised to returns within their objective.
    next_return: Instant,
    /// End of the time promised to late returns of tenants within their shares.
    next_late_return_within: Instant,
    /// End of the time promised to late returns of all other tenants.
    next_late_return_beyond: Instant,
}

/// A request's expected wait and the longest tolerable one.
#[derive(Debug, Clone, Copy)]
struct Wait {
    wait: Duration,
    tolerable: Duration,
}

impl Wait {
    fn fraction(&self) -> f64 {
        self.wait.as_secs_f64() / self.tolerable.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Time after which it will be comfortable.
    fn until_comfortable(&self) -> Duration {
        self.wait.saturating_sub(self.tolerable.mul_f64(COMFORTABLE_FRACTION))
    }
}

impl AdmissionController {
    /// A controller that has seen no request yet.
    pub fn new(now: Instant) -> Self {
        Self {
            shares: FairShares::new(now),
            reservations: Reservations::new(now),
            admitted: [DecayedRate::new(now); RANKS],
            short_until: now,
            longest_wait: 0.0,
            next_return: now,
            next_late_return_within: now,
            next_late_return_beyond: now,
        }
    }

    /// Fair shares of the group's tenants.
    pub const fn shares(&self) -> &FairShares {
        &self.shares
    }

    /// Number of reservations.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// Decides about a request. One that is admitted and placed is to be recorded by [`Self::note_placed`].
    pub fn decide(&mut self, request: &CapacityRequest<'_>, now: Instant) -> Decision {
        let reservation = self.reservations.get(&request.claim.fingerprint, now);
        let tenant = request.claim.tenant.as_ref();
        if reservation.is_none() && !request.is_exempt {
            self.shares.note_demand(tenant, request.weight, request.work, now);
        }
        self.compute_shares(request, now);
        let due = reservation.filter(|reservation| reservation.is_due(now));
        if request.is_exempt || request.is_idle {
            return Decision::Admitted { is_return: due.is_some() };
        }
        let first_seen = reservation.map_or(now, |reservation| reservation.first_seen);
        // A response that is late at any rate may wait as long as one to a new request.
        let is_late = reservation.is_some_and(|reservation| !reservation.is_in_time);
        let wait = self.wait(request, if is_late { now } else { first_seen }, now);
        self.longest_wait = self.longest_wait.max(wait.fraction());
        let is_within = self.shares.is_within(tenant, request.work, now);
        let is_promised = |reservation: &Reservation| reservation.is_in_time || is_within;
        match due.filter(is_promised) {
            Some(reservation) => self.decide_return(request, reservation, wait, now),
            None => self.decide_new(request, wait, first_seen, due.is_some(), now),
        }
    }

    /// Records that an admitted request was placed at an engine.
    pub fn note_placed(&mut self, request: &CapacityRequest<'_>, now: Instant) {
        let rank = usize::from(request.claim.rank).min(RANKS - 1);
        self.admitted[rank].add(request.work.as_secs_f64(), now);
        self.shares.note_admitted(request.claim.tenant.as_ref(), request.work, now);
        self.reservations.remove(&request.claim.fingerprint);
    }

    /// Decides about the return to a reservation that was made to be in time, or of a tenant within its share,
    /// whose long prompts would never be admitted otherwise. It is kept unless the group has fewer engines than
    /// when it was made.
    fn decide_return(
        &mut self,
        request: &CapacityRequest<'_>,
        reservation: Reservation,
        wait: Wait,
        now: Instant,
    ) -> Decision {
        let engines_expected = f64::from(reservation.engines) * MIN_ENGINES_LEFT_FRACTION;
        let is_honoured =
            f64::from(request.engines) >= engines_expected && request.expected <= request.remaining;
        if is_honoured || wait.fraction() <= RETURN_FRACTION {
            return Decision::Admitted { is_return: true };
        }
        let rejection = self.reject(request, RejectionReason::NoCapacity, wait, reservation.first_seen, now);
        Decision::Rejected { rejection, is_return: true }
    }

    /// Decides about a new request, or about the late return of a tenant beyond its share.
    fn decide_new(
        &mut self,
        request: &CapacityRequest<'_>,
        wait: Wait,
        first_seen: Instant,
        is_return: bool,
        now: Instant,
    ) -> Decision {
        let tenant = request.claim.tenant.as_ref();
        if wait.fraction() > COMFORTABLE_FRACTION && self.shares.is_within(tenant, request.work, now) {
            self.short_until = now + SHORTAGE_HOLD;
        }
        let reason = if now < self.short_until && self.shares.is_over(tenant, request.work, now) {
            RejectionReason::OverFairShare
        } else if wait.fraction() > NEW_REQUEST_FRACTION {
            RejectionReason::NoCapacity
        } else {
            return Decision::Admitted { is_return };
        };
        let rejection = self.reject(request, reason, wait, first_seen, now);
        Decision::Rejected { rejection, is_return }
    }

    fn compute_shares(&mut self, request: &CapacityRequest<'_>, now: Instant) {
        if !self.shares.is_level_due(now) {
            return;
        }
        let longest_wait = std::mem::take(&mut self.longest_wait);
        let capacity = f64::from(request.engines);
        let is_short = longest_wait > COMFORTABLE_FRACTION || now < self.short_until;
        let served =
            if is_short { self.shares.demand(now) * DEMAND_SERVED_IN_SHORTAGE } else { f64::INFINITY };
        self.shares.compute_level(capacity.min(served), allowed_fraction(longest_wait), now);
    }

    /// The wait of a request, with the more urgent requests that will overtake it, and the wait at which its
    /// response would start within the objective.
    fn wait(&self, request: &CapacityRequest<'_>, first_seen: Instant, now: Instant) -> Wait {
        let more_urgent = &self.admitted[..usize::from(request.claim.rank).min(RANKS - 1)];
        let urgent_engines: f64 = more_urgent.iter().map(|rate| rate.get(now)).sum();
        let utilization = (urgent_engines / f64::from(request.engines.max(1))).min(MAX_URGENT_UTILIZATION);
        let objective = request.claim.objective;
        let left = objective.saturating_sub(now.saturating_duration_since(first_seen));
        let tolerable = left.saturating_sub(request.service_time());
        Wait {
            wait: request.wait.div_f64(1.0 - utilization),
            tolerable: tolerable.max(objective.mul_f64(MIN_TOLERABLE_FRACTION)),
        }
    }

    fn reject(
        &mut self,
        request: &CapacityRequest<'_>,
        reason: RejectionReason,
        wait: Wait,
        first_seen: Instant,
        now: Instant,
    ) -> Rejection {
        if let Some(retry_after) = self.time_until_reservation(request, now) {
            return Rejection { reason, expected: request.expected, retry_after };
        }
        let earliest = now + wait.until_comfortable().max(MIN_RETRY_AFTER);
        let at = self
            .reserve_in_time(request, reason, wait, earliest, first_seen, now)
            .unwrap_or_else(|| self.reserve_late(request, earliest, first_seen, now));
        let retry_after = at.saturating_duration_since(now).min(MAX_RETRY_AFTER);
        Rejection { reason, expected: request.expected, retry_after }
    }

    /// Time left until the reservation of a caller that returned too early. The reservation stays, and no second one is
    /// made: callers that don't wait must not use up the capacity promised to others.
    fn time_until_reservation(&self, request: &CapacityRequest<'_>, now: Instant) -> Option<Duration> {
        let reservation = self.reservations.get(&request.claim.fingerprint, now)?;
        (!reservation.is_due(now)).then(|| reservation.at.saturating_duration_since(now).max(MIN_RETRY_AFTER))
    }

    /// Reserves a return whose response starts within the objective, spaced from the others by its work.
    fn reserve_in_time(
        &mut self,
        request: &CapacityRequest<'_>,
        reason: RejectionReason,
        wait: Wait,
        earliest: Instant,
        first_seen: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let tenant = request.claim.tenant.as_ref();
        let (next, interval) = match reason {
            RejectionReason::OverFairShare => {
                self.shares.return_slot(tenant, request.work, RETURN_SHARE, now)
            }
            RejectionReason::NoCapacity => (self.next_return, return_interval(request, RETURN_SHARE)),
        };
        let backlog = next.saturating_duration_since(now);
        let at = earliest.checked_add(backlog)?;
        let latest_return = wait.tolerable.mul_f64(1.0 - COMFORTABLE_FRACTION);
        let latest = now + latest_return.min(request.remaining / RETRY_WAIT_DIVISOR);
        let reservation = Reservation { at, first_seen, engines: request.engines, is_in_time: true };
        if at > latest || !self.reservations.add(&request.claim.fingerprint, reservation, now) {
            return None;
        }
        let until = (now + backlog).checked_add(interval).unwrap_or(latest + MAX_RETRY_AFTER);
        match reason {
            RejectionReason::OverFairShare => self.shares.promise_return(tenant, until, now),
            RejectionReason::NoCapacity => self.next_return = until,
        }
        Some(at)
    }

    /// Reserves a return whose response will be late. It comes as late as its caller tolerates, since the
    /// shortage is more likely to be over by then.
    fn reserve_late(
        &mut self,
        request: &CapacityRequest<'_>,
        earliest: Instant,
        first_seen: Instant,
        now: Instant,
    ) -> Instant {
        let interval = return_interval(request, LATE_RETURN_SHARE);
        let is_within = self.shares.is_within(request.claim.tenant.as_ref(), request.work, now);
        let next =
            if is_within { &mut self.next_late_return_within } else { &mut self.next_late_return_beyond };
        let longest = request.remaining / RETRY_WAIT_DIVISOR;
        let backlog = next.saturating_duration_since(now);
        let at = earliest.max(now + longest.mul_f64(LATE_RETURN_FRACTION)) + backlog;
        let reservation = Reservation { at, first_seen, engines: request.engines, is_in_time: false };
        if at <= now + longest && self.reservations.add(&request.claim.fingerprint, reservation, now) {
            *next = now + backlog + interval;
        }
        at
    }
}

/// Time that a request's work takes on a fraction of the group's engines.
fn return_interval(request: &CapacityRequest<'_>, fraction: f64) -> Duration {
    request.work.div_f64(f64::from(request.engines.max(1)) * fraction)
}

/// Fraction of the engines that tenants may use up after such a wait.
fn allowed_fraction(longest_wait: f64) -> f64 {
    let excess = (longest_wait - COMFORTABLE_FRACTION) / (1.0 - COMFORTABLE_FRACTION);
    1.0 - excess.clamp(0.0, 1.0) * (1.0 - CAPACITY_AT_LONGEST_WAIT)
}
