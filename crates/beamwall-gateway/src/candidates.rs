//! Collects the candidate back ends of one request from this node's state.

use std::collections::HashSet;
use std::sync::Arc;

use beamwall_clock::process_clock;
use beamwall_engine_model::{BackendKind, EngineModels, LastingFactors, PrefillWork, ServiceEstimates};
use beamwall_model::{BackendId, ServiceName, ZoneName};
use beamwall_pace::PaceTracker;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::allowed_versions::AllowedVersions;
use crate::choice::Candidate;
use crate::directory::{Backend, Directory};
use crate::directory_staleness::StalenessTracker;
use crate::engine_reclaims::EngineReclaims;
use crate::health::HealthTracker;
use crate::health::HealthView;
use crate::load::{LoadTracker, OpenLoad};
use crate::placement::{PrefillQueues, UnreachableReports};
use crate::placement_groups::EngineGroup;
use crate::ports::Prompt;
use crate::prefix_cache::{self, PrefixCacheIndex};
use crate::reporter::Reporter;
use crate::unreachable_zones::UnreachableZones;

/// Back ends sampled at random when a node chooses for its own request, in addition to those that cache parts
/// of the prompt. If all nodes compared all back ends, all of them would choose the one that was idle at the
/// last heartbeat.
const SENDER_SAMPLE_SIZE: usize = 10;
/// Sample size for a request placed on behalf of another node. The limit bounds the time of a placement.
const PLACEMENT_NODE_SAMPLE_SIZE: usize = 128;

/// Search criteria for a back end.
#[derive(Debug, Clone, Copy)]
pub struct Search<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The zone of the node that sends the request.
    pub zone: &'a ZoneName,
    /// The prompt, for model engines.
    pub prompt: Option<&'a Prompt>,
    /// The group of the service's back ends that is searched.
    pub group: EngineGroup,
    /// Back ends that are excluded.
    pub avoided: &'a [BackendId],
    /// Rank of the request among those of an engine; 0 is the most urgent.
    pub rank: u8,
    /// Versions that may serve the request.
    pub versions: &'a AllowedVersions,
    /// Who chooses, which determines how precisely the queued prompts are known.
    pub by: ChosenBy,
}

/// Who chooses a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChosenBy {
    /// The node that sends the request. It knows its own open requests and what its peers reported.
    Sender,
    /// The placement node. It also knows the prompts that it placed a moment ago and that are not reported
    /// yet.
    PlacementNode,
    /// The node that sends the request, using a baseline strategy that compares all back ends.
    Baseline,
}

/// State of the back ends at one node, in addition to the directory.
#[derive(Debug, Default)]
pub struct BackendState {
    /// Open requests.
    pub loads: Arc<LoadTracker>,
    /// Recent failures.
    pub health: HealthTracker,
    /// Cached prompt parts.
    pub prefixes: PrefixCacheIndex,
    /// Prompts that this node placed on behalf of all nodes.
    pub queues: PrefillQueues,
    /// Evidence that the list of back ends is stale.
    pub staleness: StalenessTracker,
    /// Engines that the nodes for which this node places could not reach.
    pub reports: UnreachableReports,
    /// Zones that seem to be unreachable from this node.
    pub unreachable_zones: UnreachableZones,
    /// Back ends that announced when they will be gone.
    pub reclaims: EngineReclaims,
    /// Performance models of the back ends.
    pub models: EngineModels<Reporter>,
    /// Paces of back ends that have just started or recovered.
    pub pace: PaceTracker,
}

impl BackendState {
    /// Empty state; `learn_speeds` tells whether the lasting speed of each engine is learnt.
    pub fn new(learn_speeds: bool) -> Self {
        let models = if learn_speeds { EngineModels::learning_speeds() } else { EngineModels::default() };
        Self { models, ..Self::default() }
    }

    /// Removes the state of back ends that are not in the directory.
    pub fn retain_listed(&self, directory: &Directory) {
        self.health.retain(|backend| directory.get(backend).is_some());
        self.staleness.retain(|backend| directory.get(backend).is_some());
        self.prefixes.retain(|backend| directory.get(backend).is_some());
        self.queues.retain(|backend| directory.get(backend).is_some());
        self.reclaims.retain(|backend| directory.get(backend).is_some());
        self.reports.retain(|backend| directory.get(backend).is_some());
        self.models.retain_backends(|backend| directory.get(backend).is_some());
        self.models.set_listed(directory.known().map(|backend| (backend.id.clone(), kind_of(backend))));
    }

    /// The candidates for a request, in random order so that candidates of equal cost share the load. If
    /// there are many back ends, this is a sample.
    pub fn candidates(&self, directory: &Directory, search: Search<'_>) -> Vec<Candidate> {
        let now = Instant::now();
        let estimates = self.models.estimates(search.service);
        let factors = self.models.factors();
        let usable = search.versions.select(directory.usable_in_group(search.service, search.group));
        let names = usable.iter().map(|backend| &backend.id);
        let preferred_back_end =
            search.prompt.and_then(|prompt| prefix_cache::preferred_back_end(prompt, names));
        let mut allowed: Vec<&Backend> =
            usable.into_iter().filter(|backend| !search.avoided.contains(&backend.id)).collect();
        allowed.shuffle(&mut rand::rng());
        let sample_size =
            if search.by == ChosenBy::Sender { SENDER_SAMPLE_SIZE } else { PLACEMENT_NODE_SAMPLE_SIZE };
        let considered = allowed.iter().enumerate().filter(|(position, backend)| {
            let caches_part = || {
                search.prompt.is_some_and(|prompt| self.prefixes.caches_shared_part(&backend.id, prompt, now))
            };
            *position < sample_size || preferred_back_end == Some(&backend.id) || caches_part()
        });
        considered
            .map(|(_, backend)| Candidate {
                backend: backend.id.clone(),
                same_zone: &backend.zone == search.zone,
                slots: backend.slots,
                load: self.load(&backend.id, search, &estimates, factors.lasting(), now),
                prefill: search
                    .prompt
                    .map(|prompt| self.prefill_work(&backend.id, preferred_back_end, prompt, now)),
                slowness: factors.for_backend(&backend.id),
                health: self.health(backend, search.by, now),
            })
            .collect()
    }

    fn health(&self, backend: &Backend, by: ChosenBy, now: Instant) -> HealthView {
        let own = self.health.view(&backend.id, now);
        let is_reported = || by == ChosenBy::PlacementNode && self.reports.is_confirmed(&backend.id, now);
        let is_cut_off = || {
            self.unreachable_zones.contains(&backend.zone)
                && !self.health.is_responsive(&backend.id, process_clock::now())
        };
        HealthView { unreachable: own.unreachable || is_reported() || is_cut_off(), ..own }
    }

    /// Back ends that probably would not accept another request now: they refused one recently, could not be
    /// reached, or are silent while events of this node's streams are outstanding.
    pub(crate) fn unlikely_to_accept(&self) -> Vec<BackendId> {
        let now = Instant::now();
        let mut found = self.health.refusing(now);
        found.extend(self.health.unreachable(now));
        let with_pending_events = self.loads.back_ends_responding().into_iter();
        found.extend(
            with_pending_events.filter(|backend| !self.health.is_responsive(backend, process_clock::now())),
        );
        found
    }

    /// Updates the unreachable zones from the silent ones, from which this node receives no messages. Returns
    /// those newly found unreachable.
    pub fn note_silent_zones(&self, silent: &HashSet<ZoneName>, directory: &Directory) -> Vec<ZoneName> {
        self.unreachable_zones.update(silent, directory, &self.health, &self.reports, Instant::now())
    }

    fn load(
        &self,
        backend: &BackendId,
        search: Search<'_>,
        estimates: &ServiceEstimates,
        lasting: &LastingFactors,
        now: Instant,
    ) -> OpenLoad {
        let reported_load = self.loads.total(backend);
        match (search.by, estimates.tokens_per_ms()) {
            (ChosenBy::PlacementNode, Some(speed)) => {
                let ahead_ms = self.queues.prefill_ahead_ms(backend, search.rank, now);
                let prompt_tokens = (ahead_ms * speed / lasting.for_backend(backend)) as u64;
                OpenLoad {
                    prompt_tokens,
                    requests: reported_load.requests + self.queues.unreported_requests(backend, now),
                }
            }
            _ => reported_load,
        }
    }

    fn prefill_work(
        &self,
        backend: &BackendId,
        preferred_back_end: Option<&BackendId>,
        prompt: &Prompt,
        now: Instant,
    ) -> PrefillWork {
        let cached = self.prefixes.estimated_cached_tokens(backend, prompt, now);
        let assumed =
            if preferred_back_end == Some(backend) { prefix_cache::shared_tokens(prompt) } else { 0 };
        let cached = cached.max(assumed).min(u64::from(prompt.prompt_tokens));
        PrefillWork::of_uncached(cached, u64::from(prompt.prompt_tokens) - cached)
    }
}

/// The kind of back ends that one is assumed to be like while its speed is not known.
fn kind_of(backend: &Backend) -> BackendKind {
    BackendKind { service: backend.service.clone(), reclaimable: backend.reclaimable }
}
