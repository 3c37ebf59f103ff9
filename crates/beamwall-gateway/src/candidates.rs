//! Gathers the candidates of one request from what this node knows.

use std::sync::Arc;

use beamwall_model::{BackendId, ServiceName, ZoneName};
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::choice::Candidate;
use crate::directory::{Backend, Directory};
use crate::health::HealthBook;
use crate::load::LoadBook;
use crate::ports::Prompt;
use crate::prefix::{self, PrefixBelief};

/// Back ends drawn at random for each request, beside those that keep parts of its prompt. Nodes that
/// all looked at all back ends would all choose the one that was idle at the last heartbeat.
const SAMPLED: usize = 10;

/// What a node knows of back ends beside the directory.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// Open work.
    pub loads: Arc<LoadBook>,
    /// Recent failures.
    pub health: HealthBook,
    /// Kept prompt parts.
    pub prefixes: PrefixBelief,
}

impl Knowledge {
    /// Forgets back ends that the directory does not hold.
    pub fn follow(&self, directory: &Directory) {
        self.health.retain(|backend| directory.get(backend).is_some());
        self.prefixes.retain(|backend| directory.get(backend).is_some());
    }

    /// The candidates for a request, in random order so that equal ones share the load; of many back ends
    /// a sample. `tried` are left out.
    pub fn candidates(
        &self,
        directory: &Directory,
        service: &ServiceName,
        own_zone: &ZoneName,
        prompt: Option<&Prompt>,
        tried: &[BackendId],
    ) -> Vec<Candidate> {
        let now = Instant::now();
        let usable: Vec<&Backend> = directory.usable(service).collect();
        let names: Vec<BackendId> = usable.iter().map(|backend| backend.id.clone()).collect();
        let home = prompt.and_then(|prompt| prefix::home(prompt, &names));
        let mut untried: Vec<&Backend> =
            usable.into_iter().filter(|backend| !tried.contains(&backend.id)).collect();
        untried.shuffle(&mut rand::rng());
        let considered = untried.iter().enumerate().filter(|(position, backend)| {
            let is_kept = || prompt.is_some_and(|prompt| self.prefixes.keeps_any(&backend.id, prompt, now));
            *position < SAMPLED || home == Some(&backend.id) || is_kept()
        });
        considered
            .map(|(_, backend)| backend)
            .map(|backend| Candidate {
                backend: backend.id.clone(),
                same_zone: &backend.zone == own_zone,
                slots: backend.slots,
                load: self.loads.total(&backend.id),
                unread_tokens: prompt.map(|prompt| self.unread_tokens(&backend.id, home, prompt, now)),
                health: self.health.view(&backend.id, now),
            })
            .collect()
    }

    fn unread_tokens(
        &self,
        backend: &BackendId,
        home: Option<&BackendId>,
        prompt: &Prompt,
        now: Instant,
    ) -> u64 {
        let kept = self.prefixes.kept_tokens(backend, prompt, now);
        let assumed = if home == Some(backend) { prefix::shared_tokens(prompt) } else { 0 };
        u64::from(prompt.prompt_tokens).saturating_sub(kept.max(assumed))
    }
}
