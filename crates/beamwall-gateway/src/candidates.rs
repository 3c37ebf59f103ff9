//! Gathers the candidates of one request from what this node knows.

use std::collections::HashSet;
use std::sync::Arc;

use beamwall_clock::running;
use beamwall_engine_model::{EngineModels, PrefillWork, ServiceEstimates};
use beamwall_model::{BackendId, ServiceName, ZoneName};
use beamwall_rollout::{VersionChoice, VersionRule};
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::choice::Candidate;
use crate::cut_zones::CutZones;
use crate::directory::{Backend, Directory};
use crate::health::HealthBook;
use crate::health::HealthView;
use crate::list_doubts::ListDoubts;
use crate::load::{LoadBook, OpenLoad};
use crate::placement::{ReadingQueues, UnreachableReports};
use crate::placement_groups::EngineGroup;
use crate::ports::Prompt;
use crate::prefix::{self, PrefixBelief};
use crate::reporter::Reporter;

/// Back ends drawn at random for each request that a node chooses for itself, beside those that keep parts of
/// its prompt. Nodes that all looked at all back ends would all choose the one that was idle at the last
/// heartbeat.
const SAMPLED: usize = 10;
/// The same for a request placed for all nodes: more are not compared, so that the time for it is bounded.
const SAMPLED_FOR_ALL: usize = 128;

/// What a back end is looked for.
#[derive(Debug, Clone, Copy)]
pub struct Search<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The zone of the node that sends the request.
    pub zone: &'a ZoneName,
    /// The prompt, for model engines.
    pub prompt: Option<&'a Prompt>,
    /// The back ends of the service that are looked at.
    pub group: EngineGroup,
    /// Back ends that are left out.
    pub avoided: &'a [BackendId],
    /// Which versions may take it, during a rollout.
    pub versions: Option<&'a VersionRule>,
    /// Who chooses, which tells how well unread prompts are known.
    pub by: ChosenBy,
}

/// Who chooses a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChosenBy {
    /// The node that sends the request: it knows its own open work and what others told.
    Sender,
    /// The node that places the requests of all: it knows the prompts placed a moment ago.
    Placer,
    /// The node that sends the request, by a baseline that compares all.
    Baseline,
}

/// What a node knows of back ends beside the directory.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// Open work.
    pub loads: Arc<LoadBook>,
    /// Recent failures.
    pub health: HealthBook,
    /// Kept prompt parts.
    pub prefixes: PrefixBelief,
    /// Prompts that this node placed for all.
    pub queues: ReadingQueues,
    /// What speaks against the list of back ends.
    pub doubts: ListDoubts,
    /// Engines that those could not reach for whom this node places.
    pub reports: UnreachableReports,
    /// Zones from which this node seems to be cut off.
    pub cut_zones: CutZones,
    /// What back ends can do.
    pub models: EngineModels<Reporter>,
}

impl Knowledge {
    /// Forgets back ends that the directory does not hold.
    pub fn follow(&self, directory: &Directory) {
        self.health.retain(|backend| directory.get(backend).is_some());
        self.doubts.retain(|backend| directory.get(backend).is_some());
        self.prefixes.retain(|backend| directory.get(backend).is_some());
        self.queues.retain(|backend| directory.get(backend).is_some());
        self.reports.retain(|backend| directory.get(backend).is_some());
        self.models.retain_backends(|backend| directory.get(backend).is_some());
    }

    /// The candidates for a request, in random order so that equal ones share the load; of many back ends
    /// a sample.
    pub fn candidates(&self, directory: &Directory, search: Search<'_>) -> Vec<Candidate> {
        let now = Instant::now();
        let estimates = self.models.estimates(search.service);
        let factors = self.models.factors();
        let usable = allowed_by(search.versions, directory.usable_in_group(search.service, search.group));
        let names = usable.iter().map(|backend| &backend.id);
        let home = search.prompt.and_then(|prompt| prefix::home(prompt, names));
        let mut allowed: Vec<&Backend> =
            usable.into_iter().filter(|backend| !search.avoided.contains(&backend.id)).collect();
        allowed.shuffle(&mut rand::rng());
        let sampled = if search.by == ChosenBy::Sender { SAMPLED } else { SAMPLED_FOR_ALL };
        let considered = allowed.iter().enumerate().filter(|(position, backend)| {
            let is_kept =
                || search.prompt.is_some_and(|prompt| self.prefixes.keeps_any(&backend.id, prompt, now));
            *position < sampled || home == Some(&backend.id) || is_kept()
        });
        considered
            .map(|(_, backend)| Candidate {
                backend: backend.id.clone(),
                same_zone: &backend.zone == search.zone,
                slots: backend.slots,
                load: self.load(&backend.id, search.by, &estimates, now),
                reading: search.prompt.map(|prompt| self.reading(&backend.id, home, prompt, now)),
                slowness: factors.for_backend(&backend.id),
                health: self.health(backend, search.by, now),
            })
            .collect()
    }

    fn health(&self, backend: &Backend, by: ChosenBy, now: Instant) -> HealthView {
        let own = self.health.view(&backend.id, now);
        let is_reported = || by == ChosenBy::Placer && self.reports.is_confirmed(&backend.id, now);
        let is_cut_off =
            || self.cut_zones.contains(&backend.zone) && !self.health.is_heard(&backend.id, running::now());
        HealthView { unreachable: own.unreachable || is_reported() || is_cut_off(), ..own }
    }

    /// Back ends that would hardly take over a request now: they refused one a moment ago, could not be reached, or owe
    /// events to this node's streams and are silent themselves.
    pub(crate) fn not_taking(&self) -> Vec<BackendId> {
        let now = Instant::now();
        let mut found = self.health.refusing(now);
        found.extend(self.health.unreachable(now));
        let owing = self.loads.back_ends_answering().into_iter();
        found.extend(owing.filter(|backend| !self.health.is_heard(backend, running::now())));
        found
    }

    /// Takes the zones of which no node is heard; gives those that are found cut off only now.
    pub fn note_silent_zones(&self, silent: &HashSet<ZoneName>, directory: &Directory) -> Vec<ZoneName> {
        self.cut_zones.update(silent, directory, &self.health, &self.reports, Instant::now())
    }

    fn load(
        &self,
        backend: &BackendId,
        by: ChosenBy,
        estimates: &ServiceEstimates,
        now: Instant,
    ) -> OpenLoad {
        let told = self.loads.total(backend);
        match (by, estimates.tokens_per_ms()) {
            (ChosenBy::Placer, Some(speed)) => {
                let prompt_tokens = (self.queues.left_ms(backend, now) * speed) as u64;
                OpenLoad { prompt_tokens, requests: told.requests + self.queues.untold(backend, now) }
            }
            _ => told,
        }
    }

    fn reading(
        &self,
        backend: &BackendId,
        home: Option<&BackendId>,
        prompt: &Prompt,
        now: Instant,
    ) -> PrefillWork {
        let kept = self.prefixes.kept_tokens(backend, prompt, now);
        let assumed = if home == Some(backend) { prefix::shared_tokens(prompt) } else { 0 };
        let kept = kept.max(assumed).min(u64::from(prompt.prompt_tokens));
        PrefillWork::of_uncached(kept, u64::from(prompt.prompt_tokens) - kept)
    }
}

/// The back ends that a rollout lets take a request.
fn allowed_by<'a>(
    versions: Option<&VersionRule>,
    back_ends: impl Iterator<Item = &'a Backend>,
) -> Vec<&'a Backend> {
    let Some(rule) = versions else { return back_ends.collect() };
    let allowed: Vec<&Backend> = back_ends.filter(|backend| rule.allows(&backend.version)).collect();
    if rule.version_choice != VersionChoice::Canary {
        return allowed;
    }
    let ids: Vec<&BackendId> = allowed.iter().map(|backend| &backend.id).collect();
    let in_use = rule.active_back_ends(&ids);
    allowed.into_iter().filter(|backend| in_use.contains(&&backend.id)).collect()
}
