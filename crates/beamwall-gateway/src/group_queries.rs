//! Queries the placement nodes of a service's groups of engines for one request.

use beamwall_admission::{CapacityClaim, Rejection};
use beamwall_model::{BackendId, EngineVersion};
use tokio::time::Instant;

use crate::allowed_versions::AllowedVersions;
use crate::forward::{Call, Forwarder};
use crate::placement::{Choice, PlacementOutcome, PlacementQuery};
use crate::placement_groups::EngineGroup;
use crate::ports::Prompt;

/// Groups preferred for a prompt that are queried: the second one if the first can't start the request soon, rejects
/// it or does not respond. If both reject it, one more group is queried.
const MAX_GROUPS_QUERIED: usize = 2;
/// Fraction of the route's objective within which a start in the first group is acceptable.
const ACCEPTABLE_DELAY_SHARE: f64 = 0.5;

impl Forwarder {
    /// Queries the groups for a request. `Ok(None)`: no placement node answered. An error: none of them has
    /// capacity; it names the earliest time to retry.
    pub(crate) async fn request_placement(
        &self,
        call: &Call,
        claim: &CapacityClaim,
        prompt: &Prompt,
        avoided: &[BackendId],
        versions: &AllowedVersions,
    ) -> Result<Option<Choice>, Rejection> {
        let Some(groups) = self.groups_in_order(call, prompt) else { return Ok(None) };
        let mut best: Option<Choice> = None;
        let mut rejected: Option<Rejection> = None;
        let mut not_placed: Option<PlacementQuery> = None;
        for (position, group) in groups.iter().take(MAX_GROUPS_QUERIED).enumerate() {
            let is_last = position + 1 == groups.len().min(MAX_GROUPS_QUERIED);
            let enough_ms = (!is_last).then_some(call.route.objective_ms as f64 * ACCEPTABLE_DELAY_SHARE);
            let engine_query = self.placement_query(call, claim, avoided, versions.only(), *group, enough_ms);
            let choice = match self.query_group(call, &engine_query, avoided, versions).await {
                Ok(Some(choice)) => choice,
                Ok(None) => continue,
                Err(rejection) => {
                    rejected = Some(earlier_retry(rejected, rejection));
                    continue;
                }
            };
            let is_enough = engine_query.is_good_enough(&choice);
            let is_better = |best: &Choice| choice.cost_ms < best.cost_ms;
            if best.as_ref().is_none_or(is_better) {
                best = Some(choice);
            }
            if is_enough {
                break;
            }
            not_placed = Some(engine_query);
        }
        match (best, rejected, not_placed) {
            (None, Some(rejection), _) => {
                self.request_further_placement(call, claim, &groups, avoided, versions, rejection).await
            }
            // The engine's queue must contain the prompt, or it would be taken for shorter than it is. The first
            // group has admitted it already.
            (Some(choice), Some(_), Some(query)) => {
                let claim = query.claim.admitted();
                let engine_query = PlacementQuery { enough_ms: None, claim, ..query };
                let placed = self.query_group(call, &engine_query, avoided, versions).await?;
                Ok(placed.or(Some(choice)))
            }
            (best, ..) => Ok(best),
        }
    }

    /// Queries one more group after those preferred for the prompt's shared parts have rejected the request: many
    /// requests may share these parts, while the engines of other groups are free. All tries of one request query
    /// the same one.
    async fn request_further_placement(
        &self,
        call: &Call,
        claim: &CapacityClaim,
        preferred: &[EngineGroup],
        avoided: &[BackendId],
        versions: &AllowedVersions,
        rejection: Rejection,
    ) -> Result<Option<Choice>, Rejection> {
        let asked = &preferred[..preferred.len().min(MAX_GROUPS_QUERIED)];
        let others = self.groups_in_order(call, &Prompt::default()).unwrap_or_default();
        let Some(group) = others.into_iter().find(|group| !asked.contains(group)) else {
            return Err(rejection);
        };
        let engine_query = self.placement_query(call, claim, avoided, versions.only(), group, None);
        match self.query_group(call, &engine_query, avoided, versions).await {
            Ok(Some(choice)) => Ok(Some(choice)),
            Ok(None) => Err(rejection),
            Err(further) => Err(earlier_retry(Some(rejection), further)),
        }
    }

    /// The group that is queried first for a request.
    pub(crate) fn preferred_group(&self, call: &Call) -> EngineGroup {
        let groups = call.prompt.as_ref().and_then(|prompt| self.groups_in_order(call, prompt));
        groups.and_then(|groups| groups.first().copied()).unwrap_or(EngineGroup::WHOLE)
    }

    /// The groups in the order in which they are queried. With admission, all tries of one request ask the same
    /// groups, since one of them may expect its return.
    fn groups_in_order(&self, call: &Call, prompt: &Prompt) -> Option<Vec<EngineGroup>> {
        let key = if self.admission.is_some() { call.group_key() } else { rand::random() };
        Some(self.directory.load().groups(&call.service)?.in_order(prompt, key))
    }

    fn placement_query(
        &self,
        call: &Call,
        claim: &CapacityClaim,
        avoided: &[BackendId],
        stream_version: Option<&EngineVersion>,
        group: EngineGroup,
        enough_ms: Option<f64>,
    ) -> PlacementQuery {
        PlacementQuery {
            sender: self.node.clone(),
            service: call.service.clone(),
            zone: self.zone.clone(),
            group,
            prompt: call.prompt.clone().unwrap_or_default(),
            tried: avoided.to_vec(),
            stream_version: stream_version.cloned(),
            unreachable: self.backend_state.health.unreachable(Instant::now()),
            observed: self
                .backend_state
                .models
                .take_unreported(|backend| group.contains_engine(backend), Instant::now()),
            pause_objective_ms: call.route.gap_objective_ms,
            remaining: call.remaining(),
            enough_ms,
            claim: claim.clone(),
        }
    }

    /// Queries the placement node of one group of engines.
    async fn query_group(
        &self,
        call: &Call,
        engine_query: &PlacementQuery,
        avoided: &[BackendId],
        versions: &AllowedVersions,
    ) -> Result<Option<Choice>, Rejection> {
        let outcome = match self.placement.place(engine_query).await {
            PlacementOutcome::PlaceLocally => self.place(engine_query),
            PlacementOutcome::Chosen(choice)
                if !self.accepts_placement(call, &choice.backend, avoided, versions) =>
            {
                PlacementOutcome::Unanswered
            }
            answered => answered,
        };
        match outcome {
            PlacementOutcome::Chosen(choice) => Ok(Some(choice)),
            PlacementOutcome::Rejected(rejection) => Err(rejection),
            PlacementOutcome::PlaceLocally | PlacementOutcome::Unanswered => Ok(None),
        }
    }

    /// Whether a placed request may be sent there. This node may have newer information than the placement
    /// node.
    fn accepts_placement(
        &self,
        call: &Call,
        backend: &BackendId,
        avoided: &[BackendId],
        versions: &AllowedVersions,
    ) -> bool {
        let directory = self.directory.load();
        let is_usable = directory.get(backend).is_some_and(|listed| {
            !listed.draining && listed.service == call.service && versions.allows(&listed.version)
        });
        is_usable && !avoided.contains(backend)
    }
}

/// The rejection after which the caller may retry first.
fn earlier_retry(first: Option<Rejection>, second: Rejection) -> Rejection {
    first.filter(|first| first.retry_after <= second.retry_after).unwrap_or(second)
}
