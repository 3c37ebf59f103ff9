//! A caller's request, with the decisions made on its arrival.

use std::sync::Arc;
use std::time::Duration;

use beamwall_admission::CapacityClaim;
use beamwall_clock::timers;
use beamwall_http::caller_budget::{CallerConnection, MemoryHold};
use beamwall_model::{EngineVersion, ServiceName};
use beamwall_policy::{EngineTraits, Route, TenantRef};
use beamwall_quarantine::{Admission, Fingerprint};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::ports::{MAX_SHARED_PARTS, Prompt};
use crate::send_record::SendRecord;

pub use beamwall_admission::LOWEST_PRIORITY_RANK;

/// Number of route ranks within one tenant rank.
const RANKS_PER_TENANT_RANK: u8 = 3;

/// Fraction of the route's objective within which a prompt must be prefilled to count as short.
const SHORT_PREFILL_SHARE: f64 = 0.04;

/// What may terminate a back end that runs a request: the request itself and the shared parts of its prompt.
pub fn suspects(request: Fingerprint, prompt: Option<&Prompt>) -> impl Iterator<Item = Fingerprint> {
    let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
    std::iter::once(request).chain(parts.map(Fingerprint::of_part))
}

/// A caller's request, completely received, with the decisions made on arrival.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's identifier of this try of the request.
    pub request_id: Option<String>,
    /// Identifies the request across its retries by the caller.
    pub fingerprint: Fingerprint,
    /// The caller's connection, for which its bodies are held.
    pub caller: CallerConnection,
    /// Memory for what the connection to a back end holds of a response that the caller doesn't take yet.
    pub response_buffers: Arc<MemoryHold>,
    /// Whether a peer that can't reach the engines delegated it to this node.
    pub is_delegated: bool,
    /// What counts of it for the retry budgets.
    pub sends: SendRecord,
    /// Whether it may be sent normally or only as a trial.
    pub admission: Admission,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen among the route's.
    pub service: ServiceName,
    /// The tenant; `None` on public routes.
    pub tenant: Option<TenantRef>,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// The last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The caller's identifier of the try that brought the stream's first event, when it resumes a stream.
    pub resumes: Option<String>,
    /// The version that began the stream, when it resumes a stream.
    pub stream_version: Option<EngineVersion>,
    /// Capacity of the service's model engines; `None` for plain services.
    pub engine: Option<EngineTraits>,
    /// When it arrived.
    pub received: Instant,
    /// Total time for which the machine had been suspended when the request arrived.
    pub suspended_before: Duration,
    /// Deadline: the caller's timeout or the route's limit, whichever is earlier.
    pub deadline: Instant,
    /// The policy version that was in force on arrival.
    pub policy_version: u64,
}

impl Call {
    /// What may terminate a back end that runs it: the request itself and the shared parts of its prompt.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        suspects(self.fingerprint, self.prompt.as_ref())
    }

    /// The parts of its prompt that may be known for sound, the last one included: it may be shared in other prompts.
    pub(crate) fn known_parts(&self) -> impl Iterator<Item = u64> + Clone {
        let parts = self.prompt.iter().flat_map(|prompt| prompt.parts.iter().take(MAX_SHARED_PARTS + 1));
        parts.map(|part| part.id)
    }

    /// The parts of its prompt that other requests may share, for logs: identifiers separated by commas.
    pub fn shared_part_names(&self) -> String {
        let parts = self.prompt.iter().flat_map(Prompt::shared_parts);
        parts.map(|part| format!("{part:x}")).collect::<Vec<_>>().join(",")
    }

    /// The identifier for logs.
    pub fn log_id(&self) -> String {
        self.request_id.clone().unwrap_or_default()
    }

    /// Time left until the deadline. It is sent to engines, so it keeps running while the machine is
    /// suspended.
    pub fn remaining(&self) -> Duration {
        let suspended = beamwall_clock::suspended_time().saturating_sub(self.suspended_before);
        self.deadline.saturating_duration_since(Instant::now()).saturating_sub(suspended)
    }

    /// Waits until the deadline, also across a suspension of the machine: a caller that still waits gets a
    /// response soon after the machine resumes.
    pub async fn deadline_elapsed(&self) {
        timers::sleep(self.remaining()).await;
    }

    /// Maximum number of back ends to which it may be sent.
    pub fn attempt_limit(&self) -> u32 {
        match self.admission {
            Admission::Normal => self.route.attempt_limit.max(1),
            Admission::Trial => 1,
        }
    }

    /// Whether it may fail over to another back end after it was sent `sent` times, although one of these
    /// back ends may have executed it.
    pub fn may_fail_over(&self, sent: u32) -> bool {
        self.route.kind.is_idempotent() && sent < self.attempt_limit()
    }

    /// What it claims of the capacity of a group of engines. `prefill_ms` is the time to prefill the whole
    /// prompt, if known.
    pub fn capacity_claim(&self, prefill_ms: Option<f64>) -> CapacityClaim {
        CapacityClaim {
            tenant: self.tenant.as_ref().map(|tenant| tenant.name.clone()),
            rank: self.rank(prefill_ms),
            objective: Duration::from_millis(self.route.objective_ms),
            fingerprint: self.fingerprint,
        }
    }

    /// Orders the groups of engines for this request. All tries of its caller get the same number, so that a
    /// return asks the groups that expect it.
    pub fn group_key(&self) -> u64 {
        let fingerprint = u128::from_be_bytes(*self.fingerprint.as_bytes());
        (fingerprint >> u64::BITS) as u64
    }

    /// The tenant for logs and metrics.
    pub fn tenant_name(&self) -> String {
        self.tenant.as_ref().map(|tenant| tenant.name.to_string()).unwrap_or_default()
    }

    /// The rank sent to back ends: the tenant's rank first, then the route's. A short prompt is moved up to
    /// the next more urgent route rank, but never above it: it delays others by a few milliseconds, while it
    /// would otherwise wait for seconds behind long prompts of its own rank. `prefill_ms` is the time to
    /// prefill the whole prompt, if known.
    pub fn rank(&self, prefill_ms: Option<f64>) -> u8 {
        let tenant = self.tenant.as_ref().and_then(|tenant| tenant.rank).unwrap_or(0);
        let short_ms = self.route.objective_ms as f64 * SHORT_PREFILL_SHARE;
        let is_short = prefill_ms.is_some_and(|prefill_ms| prefill_ms < short_ms);
        let route = self.route.rank.min(RANKS_PER_TENANT_RANK - 1).saturating_sub(u8::from(is_short));
        tenant.saturating_mul(RANKS_PER_TENANT_RANK).saturating_add(route).min(LOWEST_PRIORITY_RANK)
    }
}
