//! Carries one request through its attempts.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use beamwall_clock::timers;
use beamwall_engine_model::{PrefillWork, ServiceEstimates};
use beamwall_events::emit;
use beamwall_events::internal_events::AttemptSent;
use beamwall_http::Pool;
use beamwall_model::{BackendId, NodeId, ServiceName, ZoneName};
use beamwall_policy::{Route, TenantRef};
use beamwall_quarantine::{Admission, Fingerprint};
use beamwall_rollout::{RolloutRegistry, VersionChoice, VersionRule};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::admission;
use crate::candidates::{ChosenBy, Knowledge, Search};
use crate::choice::{Chooser, Expectation};
use crate::demand::DemandBook;
use crate::directory::Directory;
use crate::fleet_clock::FleetClock;
use crate::metrics::GatewayMetrics;
use crate::placement::{Choice, PlacementAnswer, PlacementPort, PlacementQuestion};
use crate::placement_groups::{EngineGroup, EngineGroups};
use crate::ports::{Dialect, Prompt};
use crate::quarantine::Quarantine;
use crate::retries::RetryBudgets;
use crate::usage::UsageLedger;

/// Highest rank that is told to back ends.
const LOWEST_URGENCY: u8 = 9;
/// Ranks of routes within one rank of a tenant.
const RANKS_PER_TENANT_RANK: u8 = 3;

/// Groups of engines that are asked for a request: a second one where the first can't begin soon or does not answer.
const GROUPS_ASKED: usize = 2;
/// Part of its route's objective within which a request begins soon enough in the first group.
const ENOUGH_SHARE: f64 = 0.5;

/// Part of its route's objective within which an engine reads a short prompt.
const SHORT_READING_SHARE: f64 = 0.04;

/// A caller's request, read whole, with what was decided on arrival.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's identifier of this try.
    pub request_id: Option<String>,
    /// What all tries of this request have in common.
    pub fingerprint: Fingerprint,
    /// How it may be sent.
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
    /// The tenant; absent on public routes.
    pub tenant: Option<TenantRef>,
    /// The prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event: Option<u64>,
    /// When it arrived.
    pub received: Instant,
    /// Time for which the machine had been suspended when it arrived.
    pub asleep_before: Duration,
    /// When its time is up: the caller's patience or the route's limit, whichever is first.
    pub deadline: Instant,
    /// The version of the policy that decided.
    pub policy_version: u64,
}

impl Call {
    /// The identifier for logs.
    pub fn log_id(&self) -> String {
        self.request_id.clone().unwrap_or_default()
    }

    /// Time that is left to the caller. Engines are told it, so it runs on while the machine is suspended.
    pub fn remaining(&self) -> Duration {
        let asleep = beamwall_clock::asleep().saturating_sub(self.asleep_before);
        self.deadline.saturating_duration_since(Instant::now()).saturating_sub(asleep)
    }

    /// Waits until the caller's time is up, also where the machine sleeps meanwhile: a caller that still waits is answered soon after
    /// it wakes.
    pub async fn time_is_up(&self) {
        timers::sleep(self.remaining()).await;
    }

    /// Back ends to which it may be sent.
    pub fn attempt_limit(&self) -> u32 {
        match self.admission {
            Admission::Normal => self.route.attempt_limit.max(1),
            Admission::Trial => 1,
        }
    }

    /// Whether it may go to another back end while one of the `sent` that it was sent to may have run it.
    pub fn may_fail_over(&self, sent: u32) -> bool {
        self.route.kind.is_idempotent() && sent < self.attempt_limit()
    }

    /// The tenant for logs and metrics.
    pub fn tenant_name(&self) -> String {
        self.tenant.as_ref().map(|tenant| tenant.name.to_string()).unwrap_or_default()
    }

    /// The rank told to back ends: the tenant's goes before the route's. A short prompt is level with the next
    /// more urgent kind, never ahead of it: it holds others up for some milliseconds and would else wait
    /// for seconds behind their long ones. `reading_ms` is the time to read the whole prompt, where it is known.
    pub fn rank(&self, reading_ms: Option<f64>) -> u8 {
        let tenant = self.tenant.as_ref().and_then(|tenant| tenant.rank).unwrap_or(0);
        let short_ms = self.route.objective_ms as f64 * SHORT_READING_SHARE;
        let is_short = reading_ms.is_some_and(|reading_ms| reading_ms < short_ms);
        let route = self.route.rank.min(RANKS_PER_TENANT_RANK - 1).saturating_sub(u8::from(is_short));
        tenant.saturating_mul(RANKS_PER_TENANT_RANK).saturating_add(route).min(LOWEST_URGENCY)
    }
}

/// What forwarding needs; shared by all requests of a node.
pub struct Forwarder {
    /// This node.
    pub node: NodeId,
    /// This node's zone.
    pub zone: ZoneName,
    /// Reads and writes heads.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to back ends.
    pub pool: Pool,
    /// The back ends.
    pub directory: Arc<ArcSwap<Directory>>,
    /// What is known of them beside.
    pub knowledge: Knowledge,
    /// Chooses among back ends.
    pub chooser: Chooser,
    /// Asks the node that places requests for all.
    pub placement: Arc<dyn PlacementPort>,
    /// Work that callers ask for.
    pub demand: DemandBook,
    /// Rollouts of other versions.
    pub rollouts: RolloutRegistry,
    /// Requests under which back ends end.
    pub quarantine: Arc<Quarantine>,
    /// Retry budgets.
    pub retries: RetryBudgets,
    /// What is billed.
    pub usage: UsageLedger,
    /// The time of day by which it is.
    pub clock: Arc<FleetClock>,
    /// Metrics.
    pub metrics: GatewayMetrics,
}

impl Forwarder {
    /// Chooses a back end for the next attempt, but none of `avoided`, and logs the decision. The engine of a model
    /// request is chosen by the nodes that place in the groups of its service, as long as one of them answers.
    pub async fn choose(&self, call: &Call, avoided: &[BackendId]) -> Option<Choice> {
        let versions = self.rollouts.rule(&call.service, call.request_id.as_deref(), beamwall_clock::now());
        let choice = self.choose_among(call, avoided, versions.as_ref()).await?;
        self.note_chosen(call, &choice);
        Some(choice)
    }

    /// Notes and logs where the next attempt goes.
    pub(crate) fn note_chosen(&self, call: &Call, choice: &Choice) {
        self.note_sent(&call.service, &choice.backend);
        emit(&AttemptSent {
            request: call.log_id(),
            fingerprint: call.fingerprint.to_string(),
            service: call.service.to_string(),
            backend: choice.backend.to_string(),
            chosen_by: choice.chosen_by.to_string(),
            cost_ms: format!("{:.1}", choice.cost_ms),
            expected_ms: choice.expected_ms.map(|expected| format!("{expected:.1}")).unwrap_or_default(),
            unread_tokens: choice.reading.tokens.to_string(),
            tokens_ahead: choice.tokens_ahead.to_string(),
            open_requests: choice.open_requests.to_string(),
            failure_share: format!("{:.2}", choice.failure_share),
            candidates: choice.candidates.to_string(),
            directory_revision: self.directory.load().revision().to_string(),
            remaining_ms: call.remaining().as_millis().to_string(),
        });
    }

    /// Chooses among the versions that may take a request. A few back ends of a new version are known to all senders, so these
    /// choose among them by themselves; where none of them can, an old one takes the request.
    async fn choose_among(
        &self,
        call: &Call,
        avoided: &[BackendId],
        versions: Option<&VersionRule>,
    ) -> Option<Choice> {
        if let Some(rule) = versions.filter(|rule| rule.version_choice == VersionChoice::Canary) {
            let chosen = self.choose_as_sender(call, avoided, Some(rule));
            let old = rule.without_new();
            return chosen.or_else(|| self.choose_as_sender(call, avoided, Some(&old)));
        }
        let placed = match &call.prompt {
            Some(prompt) if !self.chooser.is_baseline() => {
                self.ask_for_placement(call, prompt, avoided, versions).await
            }
            _ => None,
        };
        placed.or_else(|| self.choose_as_sender(call, avoided, versions))
    }

    fn note_sent(&self, service: &ServiceName, backend: &BackendId) {
        if let Some(listed) = self.directory.load().get(backend) {
            self.rollouts.note_sent(service, &listed.version);
        }
    }

    /// Counts an answer for the rollout of its service, if there is one. It is bad where it failed or took several times as
    /// long as is expected.
    pub fn note_answer(&self, call: &Call, backend: &BackendId, is_bad: bool) {
        if let Some(listed) = self.directory.load().get(backend) {
            self.rollouts.note_answer(&call.service, &call.route.name, backend, &listed.version, is_bad);
        }
    }

    async fn ask_for_placement(
        &self,
        call: &Call,
        prompt: &Prompt,
        avoided: &[BackendId],
        versions: Option<&VersionRule>,
    ) -> Option<Choice> {
        let groups = self.directory.load().groups(&call.service)?.in_order(prompt, rand::random());
        let mut best: Option<Choice> = None;
        for (position, group) in groups.iter().take(GROUPS_ASKED).enumerate() {
            let is_last = position + 1 == groups.len().min(GROUPS_ASKED);
            let enough_ms = (!is_last).then_some(call.route.objective_ms as f64 * ENOUGH_SHARE);
            let question = self.placement_question(call, prompt, avoided, *group, enough_ms);
            let choice = self.ask_group(call, &question, avoided, versions).await;
            let Some(choice) = choice else { continue };
            let is_enough = question.is_enough(&choice);
            let is_better = |best: &Choice| choice.cost_ms < best.cost_ms;
            if best.as_ref().is_none_or(is_better) {
                best = Some(choice);
            }
            if is_enough {
                break;
            }
        }
        best
    }

    fn placement_question(
        &self,
        call: &Call,
        prompt: &Prompt,
        avoided: &[BackendId],
        group: EngineGroup,
        enough_ms: Option<f64>,
    ) -> PlacementQuestion {
        PlacementQuestion {
            sender: self.node.clone(),
            service: call.service.clone(),
            zone: self.zone.clone(),
            group,
            prompt: prompt.clone(),
            tried: avoided.to_vec(),
            unreachable: self.knowledge.health.unreachable(Instant::now()),
            observed: self.knowledge.models.take_unreported(|backend| group.holds(backend), Instant::now()),
            pause_objective_ms: call.route.gap_objective_ms,
            remaining: call.remaining(),
            enough_ms,
        }
    }

    /// Asks the node that places in one group of engines.
    async fn ask_group(
        &self,
        call: &Call,
        question: &PlacementQuestion,
        avoided: &[BackendId],
        versions: Option<&VersionRule>,
    ) -> Option<Choice> {
        match self.placement.place(question).await {
            PlacementAnswer::Chosen(choice) if self.may_use(call, &choice.backend, avoided, versions) => {
                Some(choice)
            }
            PlacementAnswer::PlaceHere => self.place(question),
            PlacementAnswer::Chosen(_) | PlacementAnswer::Unanswered => None,
        }
    }

    /// Whether this node, which may know more, may send a request where it was placed.
    fn may_use(
        &self,
        call: &Call,
        backend: &BackendId,
        avoided: &[BackendId],
        versions: Option<&VersionRule>,
    ) -> bool {
        let directory = self.directory.load();
        let is_usable = directory.get(backend).is_some_and(|listed| {
            let is_allowed = versions.is_none_or(|rule| rule.allows(&listed.version));
            !listed.draining && listed.service == call.service && is_allowed
        });
        is_usable && !avoided.contains(backend)
    }

    /// Places a request for any node, and counts its prompt as queued there unless it will be refused or another group is
    /// asked.
    pub fn place(&self, question: &PlacementQuestion) -> Option<Choice> {
        let now = Instant::now();
        self.knowledge.reports.note(&question.sender, &question.unreachable, now);
        self.knowledge.models.add_report(question.observed.clone(), now);
        let avoided = [question.tried.as_slice(), &question.unreachable].concat();
        // Who sends to a few back ends of a new version chooses them itself, so this is for all others.
        let versions = self.rollouts.rule(&question.service, None, beamwall_clock::now());
        let search = Search {
            service: &question.service,
            zone: &question.zone,
            prompt: Some(&question.prompt),
            group: question.group,
            avoided: &avoided,
            versions: versions.as_ref(),
            by: ChosenBy::Placer,
        };
        let choice = self.find(search, question.pause_objective_ms)?;
        let estimates = self.estimates(&question.service);
        let is_placed =
            question.is_enough(&choice) && !admission::is_unservable(&choice, &estimates, question.remaining);
        if !is_placed {
            return Some(choice);
        }
        if let Some(reading_ms) = estimates.prefill_ms(choice.reading) {
            self.knowledge.queues.add(&choice.backend, reading_ms, now);
        }
        self.knowledge.prefixes.note_read(&choice.backend, &question.prompt, now);
        Some(choice)
    }

    fn choose_as_sender(
        &self,
        call: &Call,
        avoided: &[BackendId],
        versions: Option<&VersionRule>,
    ) -> Option<Choice> {
        let search = Search {
            service: &call.service,
            zone: &self.zone,
            prompt: call.prompt.as_ref(),
            group: EngineGroup::WHOLE,
            avoided,
            versions,
            by: if self.chooser.is_baseline() { ChosenBy::Baseline } else { ChosenBy::Sender },
        };
        self.find(search, call.route.gap_objective_ms)
    }

    /// Requests that run at a back end, of which the node that chose it knew `known_when_chosen`. Of engines in groups this
    /// node hears only from its own zone, so there the larger number is nearer.
    pub fn running(&self, service: &ServiceName, backend: &BackendId, known_when_chosen: u32) -> u32 {
        let told = self.knowledge.loads.total(backend).requests;
        let is_divided = self.directory.load().groups(service).is_some_and(EngineGroups::is_divided);
        if is_divided { told.max(known_when_chosen) } else { told }
    }

    /// What is expected of a service's back ends.
    pub fn estimates(&self, service: &ServiceName) -> Arc<ServiceEstimates> {
        self.knowledge.models.estimates(service)
    }

    fn find(&self, search: Search<'_>, pause_objective_ms: Option<u64>) -> Option<Choice> {
        let candidates = self.knowledge.candidates(&self.directory.load(), search);
        let estimates = self.estimates(search.service);
        let expectation = Expectation { estimates: &estimates, pause_objective_ms };
        let (chosen, cost_ms) = self.chooser.choose(&candidates, &expectation)?;
        Some(Choice {
            backend: chosen.backend.clone(),
            cost_ms,
            expected_ms: chosen.expected_ms(&expectation),
            slowness: chosen.slowness,
            reading: chosen.reading.unwrap_or_default(),
            tokens_ahead: chosen.load.prompt_tokens,
            open_requests: chosen.load.requests,
            failure_share: chosen.health.failure_share,
            candidates: candidates.len(),
            chosen_by: self.node.clone(),
        })
    }

    /// Time to read a call's whole prompt, where it has one and the service is known.
    pub fn reading_ms(&self, call: &Call) -> Option<f64> {
        let prompt = call.prompt.as_ref()?;
        let whole = PrefillWork::of_uncached(0, u64::from(prompt.prompt_tokens));
        self.estimates(&call.service).prefill_ms(whole)
    }

    /// Counts a request that a back end began to run.
    pub fn record_run(&self, call: &Call) {
        if let Some(tenant) = &call.tenant {
            self.usage.record(&tenant.name, self.clock.now());
        }
    }
}
