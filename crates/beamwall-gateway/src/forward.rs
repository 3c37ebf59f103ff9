//! Chooses back ends for a request and holds the state that forwarding needs.

use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_admission::{CapacityClaim, Rejection};
use beamwall_engine_model::{PrefillWork, ServiceEstimates};
use beamwall_events::emit;
use beamwall_events::internal_events::{AttemptSent, CapacityRejected};
use beamwall_http::Pool;
use beamwall_model::{BackendId, EngineVersion, NodeId, ServiceName, ZoneName, to_ms};
use beamwall_quarantine::Survival;
use beamwall_rollout::RolloutRegistry;

use crate::allowed_versions::AllowedVersions;
pub use crate::call::Call;
use crate::candidates::{BackendState, ChosenBy, Search};
use crate::choice::{Candidate, Chooser, Expectation};
use crate::delegation::DelegationPort;
use crate::demand::DemandTracker;
use crate::directory::Directory;
use crate::engine_gate::{Blocked, EngineGate, SendPermit};
use crate::fleet_clock::FleetClock;
use crate::group_admission::GroupAdmission;
use crate::metrics::GatewayMetrics;
use crate::pacing;
use crate::placement::{Choice, PlacementPort};
use crate::placement_groups::{EngineGroup, EngineGroups};
use crate::ports::Dialect;
use crate::quarantine::Quarantine;
use crate::reachability::EngineReachability;
use crate::retries::RetryBudgets;
use crate::stream_origins::StreamOrigins;
use crate::usage::UsageLedger;

/// Rank of the most urgent requests, for choices that don't depend on the rank and for engines blocked for a peer's
/// request.
pub(crate) const MOST_URGENT_RANK: u8 = 0;

/// Permits that are requested and denied for one choice, before all engines with a limit are left out.
const MAX_DENIED_PERMITS: usize = 3;

/// A chosen back end and the permit to send one request to it.
#[derive(Debug, PartialEq)]
pub struct PermittedChoice {
    /// The choice.
    pub choice: Choice,
    /// The permit, which is spent by sending.
    pub permit: SendPermit,
}

impl Deref for PermittedChoice {
    type Target = Choice;

    fn deref(&self) -> &Choice {
        &self.choice
    }
}

/// Why no back end was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoBackEnd {
    /// None is available.
    Unavailable,
    /// All that are available take none now. This one takes requests again first.
    Blocked(Blocked),
    /// The groups of engines that were asked have no capacity for the request now.
    Rejected(Rejection),
}

/// State that forwarding needs, shared by all requests of a node.
pub struct Forwarder {
    /// This node.
    pub node: NodeId,
    /// This node's zone.
    pub zone: ZoneName,
    /// Reads and writes request and response heads.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to back ends.
    pub pool: Pool,
    /// The back ends.
    pub directory: Arc<ArcSwap<Directory>>,
    /// State of the back ends in addition to the directory.
    pub backend_state: BackendState,
    /// Chooses among back ends.
    pub chooser: Chooser,
    /// Queries the placement nodes.
    pub placement: Arc<dyn PlacementPort>,
    /// Decides which requests this node places; `None`: all.
    pub admission: Option<GroupAdmission>,
    /// Keeps the limits that engines name.
    pub gate: EngineGate,
    /// Services whose engines this node can't reach.
    pub reachability: EngineReachability,
    /// Finds peers for requests to these services.
    pub delegation: Arc<dyn DelegationPort>,
    /// Work requested by callers.
    pub demand: DemandTracker,
    /// Rollouts of new versions.
    pub rollouts: RolloutRegistry,
    /// Versions that streams are bound to.
    pub origins: StreamOrigins,
    /// Requests suspected of terminating back ends.
    pub quarantine: Arc<Quarantine>,
    /// Whether streams of engines that are reclaimed are moved with their memory.
    pub move_on_reclaim: bool,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// Requests to be billed.
    pub usage: UsageLedger,
    /// The fleet clock, by which usage is billed.
    pub clock: Arc<FleetClock>,
    /// Metrics.
    pub metrics: GatewayMetrics,
}

impl Forwarder {
    /// Chooses a back end for the next attempt that is not in `avoided` and whose limit allows it, and logs
    /// the decision. The engine of a model request is chosen by the placement nodes of the service's groups,
    /// as long as one of them responds. `stream_version` is the version that began the stream that goes on.
    pub async fn choose(
        &self,
        call: &Call,
        avoided: &[BackendId],
        stream_version: Option<&EngineVersion>,
    ) -> Result<PermittedChoice, NoBackEnd> {
        let versions = self.allowed_versions(&call.service, call.request_id.as_deref(), stream_version);
        let mut claim = self.capacity_claim(call, avoided, stream_version);
        let rank = claim.rank;
        let unstored = self.unstored_engines(call, stream_version);
        let mut blocked = [self.blocked_engines(call, rank), self.held_engines(call), unstored].concat();
        let mut denials = 0;
        loop {
            let excluded = [avoided, &blocked].concat();
            let chosen = self.choose_among(call, &claim, &excluded, &versions).await;
            let chosen = chosen.map_err(|rejection| self.note_rejected(call, rank, rejection))?;
            let Some(choice) = chosen else {
                return Err(self.no_back_end(call, rank, avoided));
            };
            let Ok(permit) = self.admit(call, rank, &choice.backend).await else {
                denials += 1;
                blocked.push(choice.backend);
                claim = claim.admitted();
                if denials == MAX_DENIED_PERMITS {
                    blocked.extend(self.gate.restricted());
                }
                continue;
            };
            self.note_chosen(call, &choice, blocked.len());
            return Ok(PermittedChoice { choice, permit });
        }
    }

    /// What a request claims of a group's capacity. A retry inside the system and the continuation of a stream
    /// are not rejected, which is told by an objective of zero.
    fn capacity_claim(
        &self,
        call: &Call,
        tried: &[BackendId],
        stream_version: Option<&EngineVersion>,
    ) -> CapacityClaim {
        let claim = call.capacity_claim(self.call_prefill_ms(call));
        if tried.is_empty() && stream_version.is_none() {
            return claim;
        }
        claim.admitted()
    }

    /// Logs that no group has capacity for a request, and counts its work as demand of a caller that may return.
    fn note_rejected(&self, call: &Call, rank: u8, rejection: Rejection) -> NoBackEnd {
        let prefill = self.least_prefill(call);
        self.demand.note_request(&call.service, &call.route.name, prefill);
        self.demand.note_refusal(&call.service, &call.route.name, prefill, rejection.retry_after);
        emit(&CapacityRejected {
            request: call.log_id(),
            tenant: call.tenant_name(),
            rank: rank.to_string(),
            reason: rejection.reason.as_str().to_owned(),
            expected_ms: rejection.expected.as_millis().to_string(),
            objective_ms: call.route.objective_ms.to_string(),
            retry_after_ms: rejection.retry_after.as_millis().to_string(),
        });
        NoBackEnd::Rejected(rejection)
    }

    /// Least prefill work of a call's prompt at any of a few engines, as far as this node knows their caches.
    fn least_prefill(&self, call: &Call) -> PrefillWork {
        let search = Search {
            service: &call.service,
            zone: &self.zone,
            prompt: call.prompt.as_ref(),
            group: self.preferred_group(call),
            rank: MOST_URGENT_RANK,
            avoided: &[],
            versions: &AllowedVersions::All,
            by: ChosenBy::Sender,
        };
        let candidates = self.backend_state.candidates(&self.directory.load(), search);
        let prefills = candidates.iter().filter_map(|candidate| candidate.prefill);
        prefills.min_by_key(|prefill| prefill.tokens).unwrap_or_default()
    }

    /// The versions that may serve a request: the one that began its stream, or those that a rollout allows.
    pub(crate) fn allowed_versions(
        &self,
        service: &ServiceName,
        request: Option<&str>,
        stream_version: Option<&EngineVersion>,
    ) -> AllowedVersions {
        if let Some(version) = stream_version {
            let is_rolled_back = self.rollouts.is_rolled_back(service, version);
            return if is_rolled_back {
                AllowedVersions::Nothing
            } else {
                AllowedVersions::Only(version.clone())
            };
        }
        let rule = self.rollouts.rule(service, request, beamwall_clock::now());
        rule.map_or(AllowedVersions::All, AllowedVersions::Rollout)
    }

    /// Records and logs the back end of the next attempt. `passed_over` is the number of back ends that were
    /// left out because they leave, rest, or have used up their limit.
    pub(crate) fn note_chosen(&self, call: &Call, choice: &Choice, passed_over: usize) {
        self.note_sent(&call.service, &choice.backend);
        let directory = self.directory.load();
        let version = directory.get(&choice.backend).map(|listed| listed.version.to_string());
        emit(&AttemptSent {
            request: call.log_id(),
            resumes: call.resumes.clone().unwrap_or_default(),
            fingerprint: call.fingerprint.to_string(),
            service: call.service.to_string(),
            backend: choice.backend.to_string(),
            version: version.unwrap_or_default(),
            chosen_by: choice.chosen_by.to_string(),
            cost_ms: format!("{:.1}", choice.cost_ms),
            expected_ms: choice.expected_ms.map(|expected| format!("{expected:.1}")).unwrap_or_default(),
            unread_tokens: choice.prefill.tokens.to_string(),
            tokens_ahead: choice.tokens_ahead.to_string(),
            open_requests: choice.open_requests.to_string(),
            failure_share: format!("{:.2}", choice.failure_share),
            candidates: choice.candidates.to_string(),
            directory_revision: directory.revision().to_string(),
            remaining_ms: call.remaining().as_millis().to_string(),
            limit_per_s: self.gate.limit(&choice.backend).map(|limit| limit.to_string()).unwrap_or_default(),
            passed_over: passed_over.to_string(),
            sent_before: call.sends.sent().to_string(),
        });
    }

    /// Chooses among the versions that may serve a request. A canary's few back ends are known to all
    /// senders, so the senders choose among them directly; if none of them is available, the old version
    /// serves the request.
    async fn choose_among(
        &self,
        call: &Call,
        claim: &CapacityClaim,
        avoided: &[BackendId],
        versions: &AllowedVersions,
    ) -> Result<Option<Choice>, Rejection> {
        if let Some(rule) = versions.canary() {
            let chosen = self.choose_as_sender(call, avoided, versions);
            let old = AllowedVersions::Rollout(rule.without_new());
            return Ok(chosen.or_else(|| self.choose_as_sender(call, avoided, &old)));
        }
        let placement = match &call.prompt {
            Some(prompt) if !self.chooser.is_baseline() => {
                self.request_placement(call, claim, prompt, avoided, versions).await?
            }
            _ => None,
        };
        Ok(placement.or_else(|| self.choose_as_sender(call, avoided, versions)))
    }

    fn note_sent(&self, service: &ServiceName, backend: &BackendId) {
        if let Some(listed) = self.directory.load().get(backend) {
            self.rollouts.note_sent(service, &listed.version);
        }
    }

    /// Counts a response for the rollout of its service, if there is one. It is bad if the request failed or
    /// took several times as long as expected.
    pub fn record_response(&self, call: &Call, backend: &BackendId, is_bad: bool) {
        if is_bad && self.gate.is_leaving(backend) {
            // An engine that ends breaks off what it runs, whatever its version.
            return;
        }
        if let Some(listed) = self.directory.load().get(backend) {
            self.rollouts.note_answer(&call.service, &call.route.name, backend, &listed.version, is_bad);
        }
    }

    /// Counts a response of an attempt for the rollout of its service, unless the attempt continues a stream
    /// after `continued_after`: the version of such an attempt was not chosen for it.
    pub(crate) fn record_stream_response(
        &self,
        call: &Call,
        backend: &BackendId,
        continued_after: Option<u64>,
        is_bad: bool,
    ) {
        if continued_after.is_none() {
            self.record_response(call, backend, is_bad);
        }
    }

    fn choose_as_sender(
        &self,
        call: &Call,
        avoided: &[BackendId],
        versions: &AllowedVersions,
    ) -> Option<Choice> {
        let search = Search {
            service: &call.service,
            zone: &self.zone,
            prompt: call.prompt.as_ref(),
            group: EngineGroup::WHOLE,
            rank: MOST_URGENT_RANK,
            avoided,
            versions,
            by: if self.chooser.is_baseline() { ChosenBy::Baseline } else { ChosenBy::Sender },
        };
        self.find(search, call.route.gap_objective_ms)
    }

    /// Number of requests that run at a back end. `known_when_chosen` is the number known to the node that
    /// chose it. If engines are divided into groups, this node receives reports only from its own zone, so
    /// the larger number is more accurate.
    pub fn running_requests(
        &self,
        service: &ServiceName,
        backend: &BackendId,
        known_when_chosen: u32,
    ) -> u32 {
        let reported = self.backend_state.loads.total(backend).requests;
        let is_divided = self.directory.load().groups(service).is_some_and(EngineGroups::is_divided);
        if is_divided { reported.max(known_when_chosen) } else { reported }
    }

    /// Removes the state of back ends that are not in the directory.
    pub fn retain_listed(&self, directory: &Directory) {
        self.backend_state.retain_listed(directory);
        self.gate.retain_listed(directory);
        pacing::note_listed(&self.backend_state.pace, directory);
        if let Some(admission) = &self.admission {
            admission.retain(|service| directory.groups(service).is_some());
        }
    }

    /// Model estimates for a service's back ends.
    pub fn estimates(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.backend_state.models.estimates(service)
    }

    pub(crate) fn find(&self, search: Search<'_>, pause_objective_ms: Option<u64>) -> Option<Choice> {
        let mut candidates = self.backend_state.candidates(&self.directory.load(), search);
        self.prefer_unconfirmed(&mut candidates);
        let estimates = self.estimates(search.service);
        let expectation = Expectation { estimates: &estimates, pause_objective_ms };
        let candidates = pacing::apply(&self.backend_state.pace, candidates, &expectation);
        self.find_among(&candidates, &expectation)
    }

    pub(crate) fn find_among(
        &self,
        candidates: &[Candidate],
        expectation: &Expectation<'_>,
    ) -> Option<Choice> {
        let (chosen, cost_ms) = self.chooser.choose(candidates, expectation)?;
        Some(Choice {
            backend: chosen.backend.clone(),
            cost_ms,
            expected_ms: chosen.expected_ms(expectation),
            slowness: chosen.slowness,
            prefill: chosen.prefill.unwrap_or_default(),
            tokens_ahead: chosen.load.prompt_tokens,
            open_requests: chosen.load.requests,
            failure_share: chosen.health.failure_share,
            candidates: candidates.len(),
            chosen_by: self.node.clone(),
        })
    }

    /// Leaves only an engine whose limit is to be confirmed by this request, if there is one.
    fn prefer_unconfirmed(&self, candidates: &mut Vec<Candidate>) {
        let mut reachable = candidates.iter().filter(|candidate| !candidate.health.unreachable);
        let preferred = reachable.find(|candidate| self.gate.take_confirmation(&candidate.backend)).cloned();
        if let Some(preferred) = preferred {
            *candidates = vec![preferred];
        }
    }

    /// Time to prefill a call's whole prompt, if it has one and the service's model is trained.
    pub fn call_prefill_ms(&self, call: &Call) -> Option<f64> {
        let prompt = call.prompt.as_ref()?;
        let whole = PrefillWork::of_uncached(0, u64::from(prompt.prompt_tokens));
        self.estimates(&call.service).prefill_ms(whole)
    }

    /// Records that a back end of a version completed a call. `proves_parts`: it wrote a whole answer on the call's prompt.
    pub(crate) fn note_completed(&self, call: &Call, version: &EngineVersion, proves_parts: bool) {
        self.quarantine.note_completed(&call.fingerprint, Some(version));
        if proves_parts {
            self.quarantine.note_parts_completed(call.known_parts(), Some(version));
        }
    }

    /// Records that a back end of a version has been writing a call's answer for a time and writes on.
    pub(crate) fn note_writing(&self, call: &Call, version: &EngineVersion, written_for: Duration) {
        let survival = Survival::Writing(to_ms(written_for));
        self.quarantine.note_survival(&call.fingerprint, call.known_parts(), Some(version), survival);
    }

    /// Records that a back end has been running a call for a time and has not terminated.
    pub(crate) fn note_running(&self, call: &Call, backend: &BackendId, ran_for: Duration) {
        let directory = self.directory.load();
        let Some(listed) = directory.get(backend) else { return };
        let survival = Survival::Running(to_ms(ran_for));
        let version = Some(&listed.version);
        self.quarantine.note_survival(&call.fingerprint, call.known_parts(), version, survival);
    }

    /// Counts a request that a back end started to execute.
    pub fn record_usage(&self, call: &Call) {
        if let Some(tenant) = &call.tenant {
            self.usage.record(&tenant.name, self.clock.now());
        }
    }
}
