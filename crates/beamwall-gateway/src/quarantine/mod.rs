//! Handles requests suspected of terminating back ends: probes whether a back end whose response was lost has
//! terminated, and admits or holds requests according to the [`QuarantineRegistry`].
//!
//! What terminates back ends may be a whole request or a part of prompts that requests share. Both are
//! suspects of the same registry. A part is no suspect while answers on it are completed ([`SoundParts`]). Back ends of one
//! software version may terminate under what those of others run, so a request may be held for some versions only.

mod admission;
mod ports;

pub use ports::{BackendLookup, ListedBackend, TrialPort};

use std::sync::Arc;
use std::time::Duration;

use beamwall_clock::Throttle;
use beamwall_engine_limits::KnownDepartures;
use beamwall_events::emit;
use beamwall_events::internal_events::{BackendEnded, EndsDisproved, RequestFreed, RequestHeld};
use beamwall_http::{Pool, Reachability};
use beamwall_model::{BackendId, EngineVersion, to_ms};
use beamwall_quarantine::limits::SURVIVAL_MARGIN;
use beamwall_quarantine::{
    Completion, CompletionBasis, Evidence, Fingerprint, OpenSuspect, QuarantineRegistry, SoundParts, Survival,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::fleet_clock::FleetClock;
use crate::hold_refusals::HoldRefusals;
use crate::lost_responses::{LostResponses, ProbeAction, ResponseLoss};

/// Delays before each probe of whether a back end with a lost response still accepts connections. A
/// terminating process may close its listener some milliseconds after its connections.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::from_millis(5), Duration::from_millis(50), Duration::from_millis(200)];
/// Interval at which a waiting request checks whether the probe has ended.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Quarantine of one node: holds requests suspected of terminating back ends.
pub struct Quarantine {
    /// Suspects and held requests.
    pub registry: Arc<QuarantineRegistry>,
    /// Notified when this node has evidence that its peers should receive.
    pub peer_notify: Notify,
    lost_responses: LostResponses,
    sound_parts: SoundParts,
    hold_refusals: HoldRefusals,
    pool: Pool,
    backends: Arc<dyn BackendLookup>,
    /// Back ends that announced in a response that they leave.
    departures: Arc<KnownDepartures>,
    clock: Arc<FleetClock>,
    trials: Arc<dyn TrialPort>,
    /// Limits how often this node requests a trial.
    trial_throttle: Throttle,
}

impl Quarantine {
    /// Creates the quarantine of one node.
    pub fn new(
        registry: Arc<QuarantineRegistry>,
        pool: Pool,
        backends: Arc<dyn BackendLookup>,
        clock: Arc<FleetClock>,
        trials: Arc<dyn TrialPort>,
    ) -> Self {
        let (lost_responses, sound_parts) = (LostResponses::default(), SoundParts::default());
        let (peer_notify, trial_throttle) = (Notify::new(), Throttle::default());
        Self {
            registry,
            peer_notify,
            lost_responses,
            sound_parts,
            hold_refusals: HoldRefusals::default(),
            pool,
            backends,
            departures: Arc::default(),
            clock,
            trials,
            trial_throttle,
        }
    }

    /// Sets the departures that back ends announced in their responses.
    pub fn with_departures(self, departures: Arc<KnownDepartures>) -> Self {
        Self { departures, ..self }
    }

    /// Whether a back end has announced that it leaves. Such a back end terminates for reasons of its own.
    fn has_announced_departure(&self, backend: &BackendId) -> bool {
        let is_listed_leaving = || self.backends.find(backend).is_some_and(|listed| listed.is_leaving);
        self.departures.is_leaving(backend) || is_listed_leaving()
    }

    /// The time used in evidence, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records that a back end of a version, if that is known, wrote a whole answer on the parts of a prompt, the last one
    /// included.
    pub fn note_parts_completed(
        &self,
        parts: impl Iterator<Item = u64> + Clone,
        version: Option<&EngineVersion>,
    ) {
        self.sound_parts.note_completed(parts.clone(), version, self.now_ms());
        if self.registry.suspects() > 0 {
            parts.for_each(|part| self.note_completed(&Fingerprint::of_part(part), version));
        }
    }

    /// Records that a back end of a version, if that is known, has survived a request so far. `parts`: those of its prompt,
    /// the last one included. It has survived what the request or a part of its prompt may be suspected of.
    pub fn note_survival(
        &self,
        request: &Fingerprint,
        parts: impl Iterator<Item = u64> + Clone,
        version: Option<&EngineVersion>,
        survival: Survival,
    ) {
        if let Survival::Writing(written_ms) = survival
            && written_ms >= to_ms(SURVIVAL_MARGIN)
        {
            self.sound_parts.note_written(parts.clone(), version, written_ms, self.now_ms());
        }
        if self.registry.suspects() == 0 {
            return;
        }
        let now_ms = self.now_ms();
        let survived = std::iter::once(*request).chain(parts.map(Fingerprint::of_part));
        for suspect in survived {
            if self.registry.note_survival(&suspect, version, survival, now_ms) {
                emit(&EndsDisproved {
                    fingerprint: suspect.to_string(),
                    version: name_of(version),
                    survived_ms: survival.time_ms().to_string(),
                    writes: matches!(survival, Survival::Writing(_)).to_string(),
                });
                self.publish_changes();
            }
        }
    }

    /// Records that a back end of a version, if that is known, completed a request and is therefore alive.
    pub fn note_completed(&self, request: &Fingerprint, version: Option<&EngineVersion>) {
        if self.registry.is_suspected(request)
            && self.registry.note_completion(request, version, self.now_ms())
        {
            self.publish_changes();
        }
    }

    /// Records that the response of a back end to a request was lost because the connection closed or went
    /// silent. `suspects`: the request and the shared parts of its prompt.
    pub fn note_lost(self: &Arc<Self>, suspects: &[Fingerprint], loss: ResponseLoss, backend: &BackendId) {
        if self.has_announced_departure(backend) {
            return;
        }
        // A back end that is no longer listed terminates for reasons of its own as well.
        let Some(listed) = self.backends.find(backend) else { return };
        match self.lost_responses.note(backend, suspects, loss, Instant::now()) {
            ProbeAction::Count => {
                let exposure_ms = to_ms(loss.exposure);
                let to_open = |suspect: &Fingerprint| OpenSuspect { suspect: *suspect, exposure_ms };
                let open = suspects.iter().map(to_open).collect();
                self.record_termination(backend, listed.version, open, self.now_ms());
            }
            ProbeAction::Probe => {
                tokio::spawn(self.clone().probe(listed));
            }
            ProbeAction::Wait => {}
        }
    }

    /// Records a lost response like [`Self::note_lost`]. If the request is already suspected of a
    /// termination, also waits until the probe of this back end has ended; otherwise the next back end would
    /// be sent the request in the meantime.
    pub async fn note_lost_and_wait(
        self: &Arc<Self>,
        request: Fingerprint,
        backend: &BackendId,
        loss: ResponseLoss,
    ) {
        let was_suspected = self.registry.is_suspected(&request);
        self.note_lost(&[request], loss, backend);
        while was_suspected && self.lost_responses.is_probed(backend) && !self.is_held(&request) {
            tokio::time::sleep(PROBE_POLL_INTERVAL).await;
        }
    }

    /// Probes whether a back end with a lost response has terminated, in which case it refuses connections.
    async fn probe(self: Arc<Self>, backend: ListedBackend) {
        for pause in PROBE_DELAYS {
            tokio::time::sleep(pause).await;
            if self.pool.probe(backend.address).await == Reachability::Refuses {
                self.note_terminated(&backend.id);
                break;
            }
        }
        self.lost_responses.finish_probe(&backend.id);
    }

    /// Records that a back end terminated: it refuses connections.
    pub fn note_terminated(&self, backend: &BackendId) {
        let version = self.backends.find(backend).and_then(|listed| listed.version);
        self.note_terminated_of_version(backend, version);
    }

    fn note_terminated_of_version(&self, backend: &BackendId, version: Option<EngineVersion>) {
        let open = self.lost_responses.mark_terminated(backend);
        if self.has_announced_departure(backend) {
            return;
        }
        if open.is_empty() {
            self.registry.note_unattributed_termination(backend, self.now_ms());
        } else {
            let lost_ms = to_ms(self.lost_responses.lost_for(backend, Instant::now()));
            self.record_termination(backend, version, open, self.now_ms().saturating_sub(lost_ms));
        }
    }

    /// Records back ends of an earlier list that restarted under the same name in a later list.
    pub fn detect_restarts(&self, before: &Directory, after: &Directory) {
        // A back end that has announced that it is leaving terminates for reasons of its own.
        let restarted =
            before.backends().filter(|known| !known.draining && after.has_newer_generation(known));
        for backend in restarted {
            self.note_terminated_of_version(&backend.id, Some(backend.version.clone()));
        }
    }

    /// Waits until this node has evidence that was not sent to its peers, and returns it.
    pub async fn next_unpublished(&self) -> Evidence {
        loop {
            self.peer_notify.notified().await;
            let unsent = self.registry.take_unsent();
            if !unsent.is_empty() {
                return unsent;
            }
        }
    }

    /// Merges evidence received from peers; returns the part that was new to this node. What is suspected by
    /// peers and sound here is told to them.
    pub fn merge_evidence(&self, evidence: Evidence) -> Evidence {
        let now_ms = self.now_ms();
        for completion in &evidence.completions {
            self.note_sound(completion, now_ms);
        }
        let new = self.registry.merge_evidence(evidence, now_ms);
        for exposures in &new.exposures {
            let listed = self.backends.find(&exposures.backend);
            let version = listed.and_then(|listed| listed.version);
            self.forget_written(&exposures.suspects, version.as_ref());
        }
        let ended = new.endings.iter().flat_map(|termination| &termination.open);
        ended.for_each(|suspect| self.note_sound_versions(suspect, now_ms));
        self.log_changes();
        new
    }

    /// Records the versions whose back ends completed answers on a suspected part lately, as far as this node knows.
    fn note_sound_versions(&self, suspect: &Fingerprint, now_ms: u64) {
        let Some(part) = suspect.part() else { return };
        let known = self.backends.versions();
        let versions = known.iter().map(Some).chain(known.is_empty().then_some(None));
        for version in versions.filter(|version| self.sound_parts.is_sound(part, *version, now_ms)) {
            self.note_completed(suspect, version);
        }
    }

    /// A back end of a version that terminated with these suspects open has survived none of them.
    fn forget_written(&self, open: &[OpenSuspect], version: Option<&EngineVersion>) {
        for exposed in open {
            if let Some(part) = exposed.suspect.part() {
                self.sound_parts.note_terminated(part, version, exposed.exposure_ms);
            }
        }
    }

    /// Takes a part for as sound as a peer tells: one that back ends wrote on for some time has proved less than one with a whole
    /// answer, and one that they may not have begun has proved nothing.
    fn note_sound(&self, completion: &Completion, now_ms: u64) {
        let (part, version) = (completion.request.part().into_iter(), completion.version.as_ref());
        match completion.basis {
            CompletionBasis::Completed => self.sound_parts.note_completed(part, version, now_ms),
            CompletionBasis::Survived(Survival::Writing(written_ms)) => {
                self.sound_parts.note_written(part, version, written_ms, now_ms);
            }
            CompletionBasis::Survived(Survival::Running(_)) | CompletionBasis::Recorded => {}
        }
    }

    /// Removes expired evidence.
    pub fn remove_expired(&self) {
        self.registry.remove_expired(self.now_ms());
        self.log_changes();
    }

    fn record_termination(
        &self,
        backend: &BackendId,
        version: Option<EngineVersion>,
        mut open: Vec<OpenSuspect>,
        at_ms: u64,
    ) {
        open.retain(|open| {
            let outlives = |part| self.sound_parts.outlives(part, version.as_ref(), open.exposure_ms, at_ms);
            !open.suspect.part().is_some_and(outlives)
        });
        self.forget_written(&open, version.as_ref());
        let join = |field: fn(&OpenSuspect) -> String| open.iter().map(field).collect::<Vec<_>>().join(",");
        emit(&BackendEnded {
            backend: backend.to_string(),
            version: name_of(version.as_ref()),
            open: join(|open| open.suspect.to_string()),
            exposure_ms: join(|open| open.exposure_ms.to_string()),
        });
        self.registry.note_termination_after(backend, version, &open, at_ms);
        open.iter().for_each(|open| self.note_sound_versions(&open.suspect, at_ms));
        self.publish_changes();
    }

    fn publish_changes(&self) {
        self.log_changes();
        self.peer_notify.notify_one();
    }

    /// Logs which requests became held and which were released.
    pub fn log_changes(&self) {
        let changes = self.registry.take_changes();
        for (request, held) in changes.held {
            emit(&RequestHeld {
                fingerprint: request.to_string(),
                endings: held.endings.to_string(),
                independent: held.independent_endings.to_string(),
                exposures_ms: format!("{}-{}", held.shortest_exposure_ms, held.longest_exposure_ms),
                in_doubt: held.is_in_doubt.to_string(),
                trials: held.trials.to_string(),
            });
        }
        for request in changes.freed {
            let refused = self.hold_refusals.note_freed(&request);
            emit(&RequestFreed { fingerprint: request.to_string(), refused: refused.to_string() });
        }
    }
}

/// The name of a version, empty if it is unknown.
fn name_of(version: Option<&EngineVersion>) -> String {
    version.map(EngineVersion::to_string).unwrap_or_default()
}
