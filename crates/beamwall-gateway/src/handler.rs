//! Handles callers' requests: the decisions made on arrival, and the final response.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_events::emit;
use beamwall_events::internal_events::{
    CallerConnectionEvicted, CallerConnectionFailed, GatewayAnswered, GatewayRefused,
};
use beamwall_http::body::ReadError;
use beamwall_http::caller_budget::{CallerBudget, CallerConnection, Shortage};
use beamwall_http::pool::CONNECTION_BUFFER_BYTES;
use beamwall_http::{Body, ConnectionFailure, Handler, read_request};
use beamwall_model::EngineVersion;
use beamwall_policy::{PolicyIndex, Route, RouteKind, TenantRef};
use beamwall_quarantine::{Fingerprint, FingerprintHasher};
use beamwall_stream_origin::StreamOrigin;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::call::suspects;
use crate::forward::{Call, Forwarder};
use crate::planned_stop::PlannedStop;
use crate::ports::{CallHead, DelegationMark, Prompt};
use crate::quota::{Charge, QuotaLimiter};
use crate::refusal::Refusal;
use crate::send_record::SendRecord;
use crate::stream_origins::ResumedStream;
use crate::{delegation, startup, stream, unary};

/// Time limit for receiving a caller's request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a report of this node's quota usage to its peers: the heartbeat interval in the largest
/// zone whose nodes all report to each other directly.
const REPORT_WAIT_LIMIT: Duration = Duration::from_millis(350);
/// Largest request head while the operator's limit is not known, in bytes.
const HEAD_BYTES_WITHOUT_POLICY: usize = 64 << 10;
/// Label of a kind of route in metrics.
const fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
        RouteKind::ResumableStream => "resumable_stream",
    }
}

/// State needed to handle callers' requests.
pub struct Gateway {
    /// The policy in force.
    pub policy: Arc<ArcSwap<PolicyIndex>>,
    /// Quotas of the tenants.
    pub quotas: QuotaLimiter,
    /// Forwards requests to back ends.
    pub forwarder: Arc<Forwarder>,
    /// What all callers of this node hold.
    pub caller_budget: CallerBudget,
    /// Notified when peers should be sent this node's state immediately.
    pub peer_notify: Arc<Notify>,
    /// Whether this node stops, and until when it answers.
    pub planned_stop: PlannedStop,
}

/// HTTP handler for callers.
pub struct GatewayHandler {
    gateway: Arc<Gateway>,
}

impl GatewayHandler {
    /// Creates a handler for a gateway.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        Arc::new(Self { gateway })
    }
}

impl Handler for GatewayHandler {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let received = Instant::now();
        let gateway = &self.gateway;
        let mut head = gateway.forwarder.dialect.read_call(request.headers());
        head.delegation = gateway.own_delegation(head.delegation);
        let delegation = head.delegation;
        let request_id = head.request_id.clone();
        startup::wait_until_ready(|| gateway.has_policy_and_back_ends(), head.caller_timeout).await;
        let policy = gateway.policy.load_full();
        let has_earned = delegation.is_some_and(|mark| mark.has_earned);
        let mut context = ResponseLogContext::new(policy.version(), SendRecord::of_delegated(has_earned));
        let result = gateway.handle_request(request, head, &policy, received, &mut context).await;
        match result {
            Ok(response) => {
                context.log_response(gateway, request_id.as_deref(), &response, received);
                response
            }
            Err(refusal) => {
                context.log_refusal(gateway, request_id.as_deref(), &refusal, received);
                let dialect = gateway.forwarder.dialect.as_ref();
                let mut response = refusal.response(dialect, request_id.as_deref());
                if delegation.is_some() {
                    dialect.mark_sent(response.headers_mut(), context.sends.sent());
                }
                response
            }
        }
    }

    /// The operator's limits, since callers reuse connections that have been idle for almost as long.
    fn request_head_timeout(&self) -> Duration {
        let policy = self.gateway.policy.load();
        let limits = &policy.policy().caller_limits;
        Duration::from_millis(limits.idle_ms.max(limits.head_ms))
    }

    fn max_request_head_bytes(&self) -> usize {
        let policy = self.gateway.policy.load();
        match policy.version() {
            0 => HEAD_BYTES_WITHOUT_POLICY,
            _ => policy.policy().caller_limits.head_bytes,
        }
    }

    fn connection_evicted(&self, shortage: Shortage) {
        let shortage = shortage.as_str();
        self.gateway.forwarder.metrics.caller_connections_evicted.with_label_values(&[shortage]).inc();
        emit(&CallerConnectionEvicted { shortage: shortage.to_owned() });
    }

    fn connection_failed(&self, failure: ConnectionFailure, error: &hyper::Error) {
        let kind = failure.as_str();
        self.gateway.forwarder.metrics.caller_connections_failed.with_label_values(&[kind]).inc();
        emit(&CallerConnectionFailed { kind: kind.to_owned(), reason: error.to_string() });
    }
}

/// Request data for logging the response.
struct ResponseLogContext {
    route: Option<Arc<Route>>,
    tenant: Option<TenantRef>,
    /// Equal for all tries of one request; known once its body has been received.
    fingerprint: Option<Fingerprint>,
    sends: SendRecord,
    version: u64,
}

impl ResponseLogContext {
    fn new(version: u64, sends: SendRecord) -> Self {
        Self { route: None, tenant: None, fingerprint: None, sends, version }
    }

    fn route_name(&self) -> String {
        self.route.as_ref().map(|route| route.name.clone()).unwrap_or_default()
    }

    fn tenant_name(&self) -> String {
        self.tenant.as_ref().map(|tenant| tenant.name.to_string()).unwrap_or_default()
    }

    fn count(&self, gateway: &Gateway, status: &str, received: Instant) {
        let kind = self.route.as_ref().map_or("none", |route| kind_name(route.kind));
        let tenant = self.tenant_name();
        let metrics = &gateway.forwarder.metrics;
        metrics.requests.with_label_values(&[kind, &tenant, status]).inc();
        metrics.latency.with_label_values(&[kind, &tenant]).observe(received.elapsed().as_secs_f64());
    }

    fn log_response(
        &self,
        gateway: &Gateway,
        request_id: Option<&str>,
        response: &Response<Body>,
        received: Instant,
    ) {
        self.count(gateway, response.status().as_str(), received);
        emit(&GatewayAnswered {
            request: request_id.unwrap_or_default().to_owned(),
            route: self.route_name(),
            tenant: self.tenant_name(),
            status: response.status().as_u16().to_string(),
            policy_version: self.version.to_string(),
            elapsed_ms: received.elapsed().as_millis().to_string(),
        });
    }

    fn log_refusal(&self, gateway: &Gateway, request_id: Option<&str>, refusal: &Refusal, received: Instant) {
        self.count(gateway, refusal.status().as_str(), received);
        if let Refusal::QuotaExceeded(exceeded) = refusal {
            let labels = [self.tenant_name(), exceeded.cause.name().to_owned()];
            gateway.forwarder.metrics.quota_refusals.with_label_values(&labels).inc();
        }
        emit(&GatewayRefused {
            request: request_id.unwrap_or_default().to_owned(),
            fingerprint: self.fingerprint.map(|known| known.to_string()).unwrap_or_default(),
            route: self.route_name(),
            tenant: self.tenant_name(),
            status: refusal.status().as_u16().to_string(),
            reason: refusal.reason(),
            quota_cause: refusal.quota_cause().to_owned(),
            policy_version: self.version.to_string(),
            elapsed_ms: received.elapsed().as_millis().to_string(),
        });
    }
}

impl Gateway {
    /// The mark of a request that a peer delegated to this node; `None` for any other, whatever its caller claims.
    fn own_delegation(&self, mark: Option<DelegationMark>) -> Option<DelegationMark> {
        mark.filter(|mark| self.forwarder.delegation.is_own_token(mark.token))
    }

    /// The versions of the back ends of all services to which a route leads.
    fn serving_versions(&self, route: &Route) -> Vec<EngineVersion> {
        let services = route.targets.iter().map(|target| &target.service);
        services.flat_map(|service| self.forwarder.serving_versions(service)).collect()
    }

    /// Whether a policy and back ends are known. No request can be served without both.
    fn has_policy_and_back_ends(&self) -> bool {
        self.policy.load().version() > 0 && self.forwarder.directory.load().is_known()
    }

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        head: CallHead,
        policy: &PolicyIndex,
        received: Instant,
        context: &mut ResponseLogContext,
    ) -> Result<Response<Body>, Refusal> {
        let suspended_before = beamwall_clock::suspended_time();
        if policy.version() == 0 {
            return Err(Refusal::NotReady);
        }
        let host = host_of(request.uri().host(), request.headers());
        let route = policy.route(&host, request.uri().path()).cloned().ok_or(Refusal::NoRoute)?;
        context.route = Some(route.clone());
        let tenant = admit_key(policy, &route, &head)?;
        context.tenant = tenant.clone();
        let (parts, body) = request.into_parts();
        let body_limit = policy.policy().caller_limits.body_bytes;
        let tenant_name = tenant.as_ref().map(|tenant| tenant.name.as_str());
        let path_and_query = parts.uri.path_and_query().map_or("", |target| target.as_str());
        let mut fingerprint = FingerprintHasher::new(tenant_name, &host, path_and_query);
        let hash_body_part = |part: &[u8]| fingerprint.update(part);
        let caller = parts.extensions.get().cloned().unwrap_or_else(CallerConnection::unlimited);
        let read = read_request(body, &caller, body_limit, BODY_READ_TIMEOUT, hash_body_part).await;
        let body = read.map_err(refusal_from_read_error)?;
        let deadline = deadline(&route, &head, received);
        if !self.planned_stop.leaves_time_until(deadline) {
            return Err(Refusal::Stopping);
        }
        caller.begin_serving().map_err(Refusal::NoRoom)?;
        let mut response_buffers = caller.hold();
        response_buffers.grow(CONNECTION_BUFFER_BYTES).map_err(Refusal::NoRoom)?;
        let fingerprint = fingerprint.finish();
        context.fingerprint = Some(fingerprint);
        let suspects = suspects(fingerprint, head.prompt.as_ref());
        let admission =
            self.forwarder.quarantine.admit_all(suspects, || self.serving_versions(&route)).await?;
        let service = route.service_for(rand::random()).ok_or(Refusal::NoRoute)?;
        let stream = ResumedStream { route: &route, service, tenant: tenant_name, head: &head };
        let origin = self.find_origin(stream).await?;
        let service = origin.as_ref().map_or(service, |origin| &origin.service).clone();
        let call = Call {
            engine: policy.service(&service).and_then(|service| service.engine),
            service,
            deadline,
            request_id: head.request_id,
            fingerprint,
            caller,
            response_buffers: Arc::new(response_buffers),
            is_delegated: head.delegation.is_some(),
            sends: context.sends.clone(),
            admission,
            method: parts.method,
            target: parts.uri,
            headers: parts.headers,
            body,
            route,
            tenant,
            prompt: head.prompt,
            last_event: head.last_event,
            resumes: head.resumes,
            stream_version: origin.map(|origin| origin.version),
            received,
            suspended_before,
            policy_version: policy.version(),
        };
        self.forward(Arc::new(call)).await
    }

    /// Where a request that continues a stream must go: to the version that began it, in the service that
    /// began it if the route still leads there. `None` for a request that continues none.
    async fn find_origin(&self, stream: ResumedStream<'_>) -> Result<Option<StreamOrigin>, Refusal> {
        if stream.route.kind != RouteKind::ResumableStream || stream.head.last_event.is_none() {
            return Ok(None);
        }
        let result = self.find_available_origin(stream).await;
        let outcome = match &result {
            Ok(_) => "bound",
            Err(Refusal::VersionUnavailable(_)) => "version_unavailable",
            Err(_) => "unknown",
        };
        self.forwarder.metrics.streams_resumed.with_label_values(&[outcome]).inc();
        result.map(Some)
    }

    async fn find_available_origin(&self, stream: ResumedStream<'_>) -> Result<StreamOrigin, Refusal> {
        let directory = self.forwarder.directory.load_full();
        let found = self.forwarder.origins.find(stream).await.map_err(Refusal::UnknownOrigin)?;
        let is_target = stream.route.targets.iter().any(|target| target.service == found.service);
        let service = if is_target { found.service } else { stream.service.clone() };
        let origin = StreamOrigin { service, version: found.version };
        if !directory.usable(&origin.service).any(|backend| backend.version == origin.version) {
            return Err(Refusal::VersionUnavailable(origin.version));
        }
        Ok(origin)
    }

    async fn forward(&self, call: Arc<Call>) -> Result<Response<Body>, Refusal> {
        if self.forwarder.reachability.is_unreachable(&call.service)
            && let Some(result) = delegation::delegate(&self.forwarder, &call).await
        {
            return result;
        }
        let result = self.forward_to_engines(&call).await;
        if let Err(refusal) = &result
            && self.may_delegate_after(&call, refusal)
            && let Some(delegated) = delegation::delegate(&self.forwarder, &call).await
        {
            return delegated;
        }
        result
    }

    /// Whether a call that got no response from an engine may be passed to a peer: if it was not sent, or if
    /// it may run again while no engine is reached.
    fn may_delegate_after(&self, call: &Call, refusal: &Refusal) -> bool {
        match refusal {
            Refusal::Unreachable(_) => true,
            Refusal::ResponseLost(_) => {
                call.route.kind.is_idempotent() && self.forwarder.reachability.is_unreachable(&call.service)
            }
            _ => false,
        }
    }

    async fn forward_to_engines(&self, call: &Arc<Call>) -> Result<Response<Body>, Refusal> {
        let charge = self.charge(call).await?;
        if call.sends.note_earned() {
            self.forwarder.retries.earn(&call.service, Instant::now());
        }
        self.forwarder.rollouts.note_request(&call.service);
        let result = if call.route.kind.is_stream() {
            stream::forward(&self.forwarder, call).await
        } else {
            unary::forward(&self.forwarder, call).await
        };
        if let (Err(refusal), Some(charge)) = (&result, &charge)
            && refusal.returns_quota()
        {
            self.quotas.refund(charge);
        }
        result
    }

    /// Charges the tenant's quota. Work that would fit after the next report to the peers waits for that
    /// report.
    async fn charge(&self, call: &Call) -> Result<Option<Charge>, Refusal> {
        let Some(tenant) = &call.tenant else { return Ok(None) };
        let amount = match (tenant.counts_tokens, &call.prompt) {
            (false, _) => 1.0,
            (true, Some(prompt)) => work_tokens(prompt),
            (true, None) => f64::from(tenant.plain_tokens),
        };
        let charge_deadline = Instant::now() + REPORT_WAIT_LIMIT;
        let charged = loop {
            let report_sent = self.quotas.next_report();
            let charged = self.quotas.charge(tenant, amount, Instant::now());
            let waits_for_report = matches!(charged, Err(exceeded) if exceeded.fits_after_report);
            if !waits_for_report || Instant::now() >= charge_deadline {
                break charged;
            }
            self.peer_notify.notify_one();
            // After a report or the timeout, the next charge decides.
            let _ = timeout_at(charge_deadline, report_sent).await;
        };
        let charge = charged.map_err(Refusal::QuotaExceeded)?;
        if charge.as_ref().is_some_and(|charge| charge.is_urgent) {
            self.peer_notify.notify_one();
        }
        Ok(charge)
    }
}

fn work_tokens(prompt: &Prompt) -> f64 {
    f64::from(prompt.prompt_tokens) + f64::from(prompt.output_tokens)
}

fn host_of(in_target: Option<&str>, headers: &HeaderMap) -> String {
    let from_header = || headers.get(HOST).and_then(|value| value.to_str().ok());
    in_target.or_else(from_header).unwrap_or_default().to_owned()
}

fn admit_key(policy: &PolicyIndex, route: &Route, head: &CallHead) -> Result<Option<TenantRef>, Refusal> {
    if route.public || !policy.needs_keys() {
        return Ok(None);
    }
    let tenant = head.key.as_deref().and_then(|key| policy.tenant_by_key(key));
    tenant.cloned().map(Some).ok_or(Refusal::UnknownKey)
}

fn deadline(route: &Route, head: &CallHead, received: Instant) -> Instant {
    let hold_limit = Duration::from_millis(route.hold_limit_ms);
    received + head.caller_timeout.map_or(hold_limit, |timeout| timeout.min(hold_limit))
}

fn refusal_from_read_error(error: ReadError) -> Refusal {
    match error {
        ReadError::TooLarge(_) => Refusal::BodyTooLarge,
        ReadError::NoRoom(shortage) => Refusal::NoRoom(shortage),
        other => Refusal::BadBody(other.to_string()),
    }
}
