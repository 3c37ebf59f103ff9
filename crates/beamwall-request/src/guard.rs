//! The port by which requests under which back ends end are kept away from further ones.

use std::time::Duration;

use async_trait::async_trait;
use beamwall_model::BackendId;
use beamwall_quarantine::{Admission, Fingerprint, HeldRequest};

/// Decides on requests by what became of the back ends that ran them, at all nodes.
#[async_trait]
pub trait RequestGuard: Send + Sync + 'static {
    /// Whether a request may be sent.
    async fn admit(&self, request: &Fingerprint) -> Result<Admission, HeldRequest>;

    /// Whether a request is held now, so that it is not sent once more.
    fn is_held(&self, request: &Fingerprint) -> bool;

    /// Notes that the answer of a back end to a request was lost, `exposure` after it had been sent there, and waits as long as the
    /// next try of it must.
    async fn note_lost(&self, request: &Fingerprint, backend: &BackendId, exposure: Duration);

    /// Notes that a back end has been writing the answer to a request for a time and writes on.
    fn note_writing(&self, request: &Fingerprint, written_for: Duration);

    /// Notes that a back end refuses connections.
    fn note_refused(&self, backend: &BackendId);

    /// Notes that a back end answered a request whole.
    fn note_completed(&self, request: &Fingerprint);
}
