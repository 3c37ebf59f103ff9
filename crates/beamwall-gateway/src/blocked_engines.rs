//! Which engines a call may be sent to now, by what the engines say of themselves.

use beamwall_model::BackendId;

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
