//! Places requests on behalf of any node, as the placement node of a group of engines.

use std::time::Duration;

use beamwall_admission::{CapacityRequest, Decision, LOWEST_PRIORITY_RANK, Rejection};
use beamwall_engine_model::{FirstEventInputs, ServiceEstimates};
use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::admission;
use crate::candidates::{ChosenBy, Search};
use crate::choice::Expectation;
use crate::forward::{Forwarder, MOST_URGENT_RANK};
use crate::pacing;
use crate::placement::{Choice, PlacementOutcome, PlacementQuery};

impl Forwarder {
    /// Places a request on behalf of any node, unless the group has no capacity for it. Counts its prompt as
    /// queued at the chosen engine, unless the request will be refused or another group is queried.
    pub fn place(&self, engine_query: &PlacementQuery) -> PlacementOutcome {
        let now = Instant::now();
        self.backend_state.reports.note(&engine_query.sender, &engine_query.unreachable, now);
        pacing::note_reports(&self.backend_state, engine_query, now);
        self.backend_state.models.add_report(engine_query.observed.clone(), now);
        let blocked = self.gate.blocked_for_peers(MOST_URGENT_RANK);
        let avoided = [engine_query.tried.as_slice(), &engine_query.unreachable, &blocked].concat();
        // Senders choose canary back ends themselves, so this applies to all other requests.
        let versions =
            self.allowed_versions(&engine_query.service, None, engine_query.stream_version.as_ref());
        let search = Search {
            service: &engine_query.service,
            zone: &engine_query.zone,
            prompt: Some(&engine_query.prompt),
            group: engine_query.group,
            rank: self.queue_rank(engine_query),
            avoided: &avoided,
            versions: &versions,
            by: ChosenBy::PlacementNode,
        };
        let Some(mut choice) = self.find(search, engine_query.pause_objective_ms) else {
            return PlacementOutcome::Unanswered;
        };
        let estimates = self.estimates(&engine_query.service);
        let mut capacity_request = self.capacity_request(engine_query, &choice, &estimates, &blocked);
        if capacity_request.as_ref().is_some_and(|request| !request.is_idle)
            && let Some(cheapest) = self.find_without_pace(search, engine_query.pause_objective_ms, now)
        {
            let request = self.capacity_request(engine_query, &cheapest, &estimates, &blocked);
            if request.as_ref().is_some_and(|request| request.is_idle) {
                (choice, capacity_request) = (cheapest, request);
            }
        }
        if let Some(rejection) = self.rejection(engine_query, capacity_request.as_ref(), now) {
            return PlacementOutcome::Rejected(rejection);
        }
        let is_placed = engine_query.is_good_enough(&choice)
            && !admission::is_unservable(&choice, &estimates, engine_query.remaining);
        if !is_placed {
            return PlacementOutcome::Chosen(choice);
        }
        if let (Some(admission), Some(request)) = (&self.admission, &capacity_request) {
            admission.note_placed(&engine_query.service, engine_query.group, request, now);
        }
        if let Some(prefill_ms) = estimates.prefill_ms(choice.prefill) {
            let factor = self.backend_state.models.lasting_factor(&choice.backend);
            self.backend_state.queues.add_with_rank(
                &choice.backend,
                engine_query.claim.rank,
                prefill_ms * factor,
                now,
            );
        }
        self.backend_state.prefixes.note_prefill(&choice.backend, &engine_query.prompt, now);
        PlacementOutcome::Chosen(choice)
    }

    /// Rank by which the prompts ahead of a request are counted: all of them where no admission depends on it.
    fn queue_rank(&self, engine_query: &PlacementQuery) -> u8 {
        if self.admission.is_some() { engine_query.claim.rank } else { LOWEST_PRIORITY_RANK }
    }

    /// Why a request is not placed; `None` if it is admitted.
    fn rejection(
        &self,
        engine_query: &PlacementQuery,
        request: Option<&CapacityRequest<'_>>,
        now: Instant,
    ) -> Option<Rejection> {
        let (admission, request) = (self.admission.as_ref()?, request?);
        match admission.decide(&engine_query.service, engine_query.group, request, now) {
            Decision::Admitted { .. } => None,
            Decision::Rejected { rejection, .. } => Some(rejection),
        }
    }

    /// What admission needs to know of a request and of the group's best engine; `None` without admission or
    /// while the service's model is not trained. `blocked` are engines that take no requests now.
    fn capacity_request<'a>(
        &self,
        engine_query: &'a PlacementQuery,
        choice: &Choice,
        estimates: &ServiceEstimates,
        blocked: &[BackendId],
    ) -> Option<CapacityRequest<'a>> {
        let admission = self.admission.as_ref()?;
        let claim = &engine_query.claim;
        let expected = admission::confident_wait(choice, estimates)?;
        let directory = self.directory.load();
        let usable = directory.usable_in_group(&engine_query.service, engine_query.group);
        let engines = usable.filter(|engine| !blocked.contains(&engine.id)).count();
        let has_slot =
            directory.get(&choice.backend).is_some_and(|engine| choice.open_requests < engine.slots);
        let of_engine =
            |service_ms: f64| Duration::from_secs_f64((service_ms * choice.slowness).max(0.0) / 1e3);
        let alone = FirstEventInputs { tokens_ahead: 0, ..choice.first_event() };
        let service_time = of_engine(estimates.first_event_ms(alone)?);
        Some(CapacityRequest {
            claim,
            weight: admission.weights().weight(claim.tenant.as_ref()),
            expected,
            wait: expected.saturating_sub(service_time),
            work: of_engine(estimates.prefill_ms(choice.prefill)?),
            engines: engines as u32,
            is_idle: has_slot && choice.tokens_ahead == 0,
            remaining: engine_query.remaining,
            is_exempt: engine_query.stream_version.is_some() || claim.objective.is_zero(),
        })
    }

    /// The cheapest candidate whatever the paces of back ends are, since a pace is no reason to reject a request;
    /// `None` if there are no paces.
    fn find_without_pace(
        &self,
        search: Search<'_>,
        pause_objective_ms: Option<u64>,
        now: Instant,
    ) -> Option<Choice> {
        if self.backend_state.pace.paced(now) == 0 {
            return None;
        }
        let candidates = self.backend_state.candidates(&self.directory.load(), search);
        let estimates = self.estimates(search.service);
        self.find_among(&candidates, &Expectation { estimates: &estimates, pause_objective_ms })
    }
}
