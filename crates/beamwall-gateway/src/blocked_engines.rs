//! Which engines a call may be sent to now, by what the engines say of themselves, and by what is known of those that
//! ended under it.

use std::collections::BTreeSet;

use beamwall_model::{BackendId, EngineVersion, ServiceName};
use beamwall_policy::RouteKind;
use beamwall_quarantine::{Admission, HeldVersions};

use crate::call::Call;
use crate::engine_gate::{Blocked, SendPermit};
use crate::forward::{Forwarder, NoBackEnd};

impl Forwarder {
    /// Asks for a permit to send a call of this rank to a back end.
    pub(crate) async fn admit(
        &self,
        call: &Call,
        rank: u8,
        backend: &BackendId,
    ) -> Result<SendPermit, Blocked> {
        let admitted = self.gate.admit(backend, rank).await;
        if matches!(admitted, Err(Blocked::LimitReached(_))) {
            self.metrics.permits_denied.with_label_values(&[call.service.as_str()]).inc();
        }
        admitted
    }

    /// Engines of the call's service to which calls of this rank may not be sent now.
    pub(crate) fn blocked_engines(&self, call: &Call, rank: u8) -> Vec<BackendId> {
        let mut blocked = self.gate.blocked(rank);
        if !blocked.is_empty() {
            let directory = self.directory.load();
            blocked.retain(|backend| {
                directory.get(backend).is_some_and(|listed| listed.service == call.service)
            });
        }
        blocked
    }

    /// Engines of the call's service whose versions it is held for; for a trial, those of all other versions, where it
    /// would show nothing.
    pub(crate) fn held_engines(&self, call: &Call) -> Vec<BackendId> {
        // What is held for all versions is refused on arrival, or tried at any.
        let Some(HeldVersions::These(versions)) = self.quarantine.held_versions(call.suspects()) else {
            return Vec::new();
        };
        let is_trial = call.admission == Admission::Trial;
        let directory = self.directory.load();
        let of_service = directory.usable(&call.service);
        let held = of_service.filter(|backend| versions.contains(&backend.version) != is_trial);
        held.map(|backend| backend.id.clone()).collect()
    }

    /// Engines at which a call may not begin its stream, since gateways that all start anew would not know of their
    /// version.
    pub(crate) fn unstored_engines(
        &self,
        call: &Call,
        stream_version: Option<&EngineVersion>,
    ) -> Vec<BackendId> {
        if stream_version.is_some() || call.route.kind != RouteKind::ResumableStream {
            return Vec::new();
        }
        self.origins.unstored_back_ends(&self.directory.load(), &call.service)
    }

    /// Whether a call is held for the version that began its stream, or for all that serve it.
    pub(crate) fn is_held(&self, call: &Call, stream_version: Option<&EngineVersion>) -> bool {
        if call.admission == Admission::Trial {
            return false;
        }
        let Some(held) = self.quarantine.held_versions(call.suspects()) else { return false };
        match stream_version {
            Some(version) => held.contains(version),
            None => self.serving_versions(&call.service).iter().all(|version| held.contains(version)),
        }
    }

    /// The versions of the back ends of a service that accept requests.
    pub(crate) fn serving_versions(&self, service: &ServiceName) -> BTreeSet<EngineVersion> {
        let directory = self.directory.load();
        directory.usable(service).map(|backend| backend.version.clone()).collect()
    }

    /// Why no back end outside `avoided` takes a call: because of what the engines say of themselves, if their limits
    /// or rests will allow it later.
    pub(crate) fn no_back_end(&self, call: &Call, rank: u8, avoided: &[BackendId]) -> NoBackEnd {
        let engines = self.blocked_engines(call, rank);
        // As long as another engine takes requests, the caller may return to that one at once.
        let is_each_blocked =
            self.directory.load().usable(&call.service).all(|listed| engines.contains(&listed.id));
        let blocked = engines.into_iter().filter_map(|backend| {
            let reason = self.gate.blocking(&backend, rank)?;
            let is_awaited = match reason {
                Blocked::Unavailable(_) => is_each_blocked,
                Blocked::LimitReached(_) => !avoided.contains(&backend),
            };
            is_awaited.then_some(reason)
        });
        let first = blocked.filter(|blocked| blocked.wait().is_some()).min_by_key(Blocked::wait);
        first.map_or(NoBackEnd::Unavailable, NoBackEnd::Blocked)
    }
}
