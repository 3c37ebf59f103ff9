//! The gate that every request passes before it is sent to an engine: may this node send to this engine now, and
//! if not, until when.
//!
//! An engine that leaves by its own word gets nothing more, and one that wants nothing from this node for a while
//! gets nothing meanwhile. An engine that names a limit gets only requests for which its permit node granted a
//! permit, and so does a brittle engine that rejects requests.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use beamwall_clock::process_clock;
use beamwall_engine_limits::{
    Allowance, Denials, Grant, KnownLimits, KnownRejections, LimitChange, LimitNotice, LimitReport,
    PermitLedger, RejectionReport, RequestRate, UnreadableLimit,
};
use beamwall_events::emit;
use beamwall_events::internal_events::{BrittleEngineRejects, EngineLimitChanged, EngineLimitUnreadable};
use beamwall_model::BackendId;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::call::LOWEST_PRIORITY_RANK;
use crate::directory::Directory;
use crate::engine_availability::{EngineAvailability, Unavailable};
use crate::ports::ResponseHead;

/// Time for which an engine is not used after its permit node did not answer.
const UNANSWERED_WAIT: Duration = Duration::from_millis(300);

/// Time without a response after which an engine with a limit is preferred for one request, to find out
/// whether it still has the limit. Otherwise an engine that no request chooses would keep it for good.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// A request for one permit.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The engine.
    pub backend: BackendId,
    /// The engine's limit as the sender knows it.
    pub known: Option<LimitReport>,
    /// The engine's newest rejection as the sender knows it, if it is brittle.
    pub rejection: Option<RejectionReport>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// Result of asking for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The permit node granted or denied it.
    Answered(Grant),
    /// This node is the engine's permit node.
    GrantLocally,
    /// The permit node did not answer in time.
    Unanswered,
}

/// Asks the permit nodes of engines.
#[async_trait]
pub trait PermitPort: Send + Sync + 'static {
    /// Asks the engine's permit node for one permit.
    async fn request_permit(&self, request: &PermitRequest) -> PermitOutcome;
    /// Whether this node is the engine's permit node.
    fn grants(&self, backend: &BackendId) -> bool;
}

/// Proof that one request may be sent to one engine. It is spent by sending.
#[derive(Debug, PartialEq)]
#[must_use]
pub struct SendPermit {
    backend: BackendId,
}

impl SendPermit {
    /// The engine.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }
}

/// An engine's limit allows no further request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// Time until the next permit.
    pub wait: Duration,
}

/// Why no request may be sent to an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blocked {
    /// It takes none from this node.
    Unavailable(Unavailable),
    /// Its limit allows no further one.
    LimitReached(LimitReached),
}

impl Blocked {
    /// Time after which the engine may take requests; `None`: it never will.
    pub fn wait(&self) -> Option<Duration> {
        match self {
            Self::Unavailable(Unavailable::Leaving) => None,
            Self::Unavailable(Unavailable::Resting(left)) => Some(*left),
            Self::LimitReached(limit) => Some(limit.wait),
        }
    }
}

impl From<Unavailable> for Blocked {
    fn from(reason: Unavailable) -> Self {
        Self::Unavailable(reason)
    }
}

/// The limits that engines name, as one node knows and keeps them.
pub struct EngineGate {
    /// Engines that leave or rest.
    pub availability: EngineAvailability,
    limits: KnownLimits,
    rejections: KnownRejections,
    denials: Denials,
    /// Permits by the limits that engines name.
    ledger: PermitLedger,
    /// Permits by the rejections of brittle engines.
    rejection_ledger: PermitLedger,
    permits: Box<dyn PermitPort>,
    /// The part of every limit that this node and those that it reaches may use, 0 to 1.
    reachable_fraction: Mutex<f64>,
    /// Notified when a limit has changed, so that peers learn of it at once.
    changed: Arc<Notify>,
    /// When this node last preferred each engine in order to confirm its limit.
    confirmations: Mutex<HashMap<BackendId, Instant>>,
    /// Engines whose unreadable limit was logged.
    unreadable: Mutex<HashSet<BackendId>>,
}

impl EngineGate {
    /// Creates a gate of a node in a fleet of `nodes` nodes. It asks for permits by `permits` and notifies
    /// `changed` when a limit changes.
    pub fn new(permits: Box<dyn PermitPort>, nodes: usize, changed: Arc<Notify>) -> Self {
        Self {
            availability: EngineAvailability::default(),
            limits: KnownLimits::default(),
            rejections: KnownRejections::default(),
            denials: Denials::default(),
            ledger: PermitLedger::default(),
            rejection_ledger: PermitLedger::default(),
            permits,
            reachable_fraction: Mutex::new(1.0 / nodes.max(1) as f64),
            changed,
            confirmations: Mutex::default(),
            unreadable: Mutex::default(),
        }
    }

    /// An engine's limit; `None` if it has none.
    pub fn limit(&self, backend: &BackendId) -> Option<RequestRate> {
        self.limits.limit(backend)
    }

    /// All engines for which permits are needed.
    pub fn restricted(&self) -> Vec<BackendId> {
        let mut restricted = self.rejections.rejecting(Instant::now());
        restricted.extend(self.limits.limited().into_iter().map(|(backend, _)| backend));
        restricted
    }

    fn is_restricted(&self, backend: &BackendId) -> bool {
        let is_rejecting = || self.rejections.allowance(backend, Instant::now()).is_some();
        self.limits.limit(backend).is_some() || is_rejecting()
    }

    /// Whether an engine leaves by its own word.
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.check(backend) == Err(Unavailable::Leaving)
    }

    /// Engines to which no request of this rank may be sent now, as far as this node knows.
    pub fn blocked(&self, rank: u8) -> Vec<BackendId> {
        let mut blocked = self.blocked_for_peers(rank);
        blocked.extend(self.availability.resting());
        blocked
    }

    /// Engines to which no request of this rank may be sent now, as far as that concerns other nodes as well.
    pub fn blocked_for_peers(&self, rank: u8) -> Vec<BackendId> {
        let mut blocked = self.denials.denied(rank, Instant::now());
        blocked.extend(self.availability.leaving());
        blocked
    }

    /// Why no request of this rank may be sent to an engine now, as far as this node knows.
    pub fn blocking(&self, backend: &BackendId, rank: u8) -> Option<Blocked> {
        let is_denied = || self.wait(backend, rank).map(|wait| Blocked::LimitReached(LimitReached { wait }));
        self.check(backend).err().map(Blocked::Unavailable).or_else(is_denied)
    }

    /// Whether an engine takes requests from this node now. It is asked once more when a permit is spent.
    pub fn check(&self, backend: &BackendId) -> Result<(), Unavailable> {
        self.availability.check(backend)
    }

    /// Time until a permit for a request of this rank at an engine may be requested again; `None`: now.
    pub fn wait(&self, backend: &BackendId, rank: u8) -> Option<Duration> {
        self.denials.wait(backend, rank, Instant::now())
    }

    /// Whether the next request should prefer an engine in order to confirm its limit. It is true once per
    /// [`CONFIRM_AFTER`], since the request may fail or be denied a permit.
    pub fn take_confirmation(&self, backend: &BackendId) -> bool {
        let now = Instant::now();
        if !self.limits.is_unconfirmed(backend, CONFIRM_AFTER, now)
            || self.wait(backend, LOWEST_PRIORITY_RANK).is_some()
        {
            return false;
        }
        let mut confirmations = self.confirmations.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = confirmations.get(backend).is_none_or(|at| now.duration_since(*at) >= CONFIRM_AFTER);
        if is_due {
            confirmations.insert(backend.clone(), now);
        }
        is_due
    }

    /// Admits one request of a rank to an engine.
    pub async fn admit(&self, backend: &BackendId, rank: u8) -> Result<SendPermit, Blocked> {
        self.check(backend)?;
        self.admit_within_limits(backend, rank).await.map_err(Blocked::LimitReached)
    }

    async fn admit_within_limits(&self, backend: &BackendId, rank: u8) -> Result<SendPermit, LimitReached> {
        let granted = || SendPermit { backend: backend.clone() };
        if !self.is_restricted(backend) {
            return Ok(granted());
        }
        if let Some(wait) = self.wait(backend, rank) {
            return Err(LimitReached { wait });
        }
        let now = Instant::now();
        let known = self.limits.report(backend, now);
        let rejection = self.rejections.report(backend, now);
        let request = PermitRequest { backend: backend.clone(), known, rejection, rank };
        let wait = match self.permits.request_permit(&request).await {
            PermitOutcome::Answered(Grant::Granted) => return Ok(granted()),
            PermitOutcome::Answered(Grant::Denied(wait)) => wait,
            PermitOutcome::GrantLocally => match self.grant(&request) {
                Grant::Granted => return Ok(granted()),
                Grant::Denied(wait) => wait,
            },
            PermitOutcome::Unanswered => UNANSWERED_WAIT,
        };
        self.denials.note(backend, rank, wait, Instant::now());
        Err(LimitReached { wait })
    }

    /// Answers a request for a permit, of this node or of a peer.
    pub fn grant(&self, request: &PermitRequest) -> Grant {
        if let Some(report) = &request.known {
            self.merge(std::slice::from_ref(report), "permit request");
        }
        if let Some(report) = &request.rejection {
            self.merge_rejections(std::slice::from_ref(report));
        }
        if !self.permits.grants(&request.backend) {
            return Grant::Denied(UNANSWERED_WAIT);
        }
        let limit = self.limits.limit(&request.backend).map(Allowance::for_limit);
        match self.grant_within(&self.ledger, limit, request) {
            Grant::Granted => {
                let allowance = self.rejections.allowance(&request.backend, Instant::now());
                self.grant_within(&self.rejection_ledger, allowance, request)
            }
            denied => denied,
        }
    }

    fn grant_within(
        &self,
        ledger: &PermitLedger,
        allowance: Option<Allowance>,
        request: &PermitRequest,
    ) -> Grant {
        let Some(allowance) = allowance else { return Grant::Granted };
        let fraction = *self.reachable_fraction.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.request(&request.backend, allowance, fraction, request.rank, process_clock::now())
    }

    /// Records that an engine rejected a request for want of room, and what its response says about the
    /// rejections that it stands.
    pub fn note_rejection(&self, backend: &BackendId, notice: &LimitNotice) {
        let LimitNotice::Limited(tolerated) = notice else { return };
        if self.rejections.note_rejection(backend, *tolerated, Instant::now()) {
            emit(&BrittleEngineRejects { backend: backend.to_string(), tolerated: tolerated.to_string() });
            self.changed.notify_one();
        }
    }

    /// Records that the response to a request sent at `sent_at` does not call its engine brittle.
    pub fn note_sound(&self, backend: &BackendId, sent_at: Instant) {
        self.rejections.note_sound(backend, sent_at);
    }

    /// Takes over the rejections that a peer observed.
    pub fn merge_rejections(&self, reports: &[RejectionReport]) {
        let now = Instant::now();
        reports.iter().for_each(|report| self.rejections.merge(report, now));
    }

    /// The rejections that this node knows of, to be reported to peers.
    pub fn rejection_reports(&self) -> Vec<RejectionReport> {
        self.rejections.reports(Instant::now())
    }

    /// Records what the response to a request sent at `sent_at` says about its engine.
    pub fn note_response(&self, backend: &BackendId, head: &ResponseHead, sent_at: Instant) {
        if self.availability.note_response(backend, head) {
            self.changed.notify_one();
        }
        self.note_limit(backend, &head.limit, sent_at);
    }

    fn note_limit(&self, backend: &BackendId, notice: &LimitNotice, sent_at: Instant) {
        let change = match notice {
            LimitNotice::Unlimited => self.limits.note_unlimited(backend, sent_at),
            LimitNotice::Limited(limit) => self.limits.note_limited(backend, *limit, Instant::now()),
            LimitNotice::Unreadable(reason) => {
                self.report_unreadable(backend, reason);
                None
            }
        };
        if let Some(change) = change {
            self.apply_change(backend, change, "response");
            self.changed.notify_one();
        }
    }

    fn report_unreadable(&self, backend: &BackendId, reason: &UnreadableLimit) {
        let is_new = self.lock_unreadable().insert(backend.clone());
        if is_new {
            emit(&EngineLimitUnreadable { backend: backend.to_string(), reason: reason.to_string() });
        }
    }

    fn lock_unreadable(&self) -> MutexGuard<'_, HashSet<BackendId>> {
        self.unreadable.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what a peer observed. `source` names the message in the log.
    pub fn merge(&self, reports: &[LimitReport], source: &str) {
        let now = Instant::now();
        for report in reports {
            if let Some(change) = self.limits.merge(report, now) {
                self.apply_change(&report.backend, change, source);
            }
        }
    }

    /// What this node knows, to be reported to peers.
    pub fn reports(&self) -> Vec<LimitReport> {
        self.limits.reports(Instant::now())
    }

    fn apply_change(&self, backend: &BackendId, change: LimitChange, source: &str) {
        self.denials.forget(backend);
        let text = |limit: Option<RequestRate>| limit.map(|limit| limit.to_string()).unwrap_or_default();
        emit(&EngineLimitChanged {
            backend: backend.to_string(),
            before: text(change.before),
            now: text(change.now),
            source: source.to_owned(),
        });
    }

    /// Sets the part of every limit that this node and those that it reaches may use, 0 to 1.
    pub fn set_reachable_fraction(&self, fraction: f64) {
        *self.reachable_fraction.lock().unwrap_or_else(PoisonError::into_inner) = fraction;
    }

    /// Discards the permits of engines whose permit node is another one now.
    pub fn discard_foreign_permits(&self) {
        self.ledger.retain(|backend| self.permits.grants(backend));
        self.rejection_ledger.retain(|backend| self.permits.grants(backend));
    }

    /// Removes the state of engines that are not in the directory.
    pub fn retain_listed(&self, directory: &Directory) {
        self.availability.retain_listed(directory);
        self.limits.retain(|backend| directory.get(backend).is_some());
        self.rejections.retain(|backend| directory.get(backend).is_some());
        self.ledger.retain(|backend| directory.get(backend).is_some());
        self.rejection_ledger.retain(|backend| directory.get(backend).is_some());
        let mut confirmations = self.confirmations.lock().unwrap_or_else(PoisonError::into_inner);
        confirmations.retain(|backend, _| directory.get(backend).is_some());
        self.lock_unreadable().retain(|backend| directory.get(backend).is_some());
    }
}
