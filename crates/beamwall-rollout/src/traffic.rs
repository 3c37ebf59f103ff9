//! Selects the requests that go to the new version, and the back ends of that version that receive them.
//!
//! Each node decides by a hash of the request, so the share holds over all nodes without coordination,
//! however unevenly callers are distributed. The first back ends by rendezvous hash receive the share: a
//! few back ends, loaded as much as the old ones, reveal faults that occur only under load.

use beamwall_model::{BackendId, rendezvous};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::order::OrderId;
use crate::stage::Stage;

/// Whether a request goes to the new version. `request` identifies the attempt; a request without an
/// identifier (`None`) goes to the old version until the new version receives all requests.
pub fn selects_new_version(order: &OrderId, stage: Stage, request: Option<&str>) -> bool {
    let share = stage.share_now();
    if share >= 1.0 {
        return true;
    }
    let Some(request) = request else { return false };
    // Maps the hash to a number in [0, 1).
    let position = xxh3_64_with_seed(request.as_bytes(), order.seed()) as f64 / (u64::MAX as f64 + 1.0);
    position < share
}

/// Returns the back ends of the new version that receive requests in a stage.
pub fn active_back_ends<'a>(
    order: &OrderId,
    stage: Stage,
    back_ends: &[&'a BackendId],
) -> Vec<&'a BackendId> {
    if stage.takes_all() {
        return back_ends.to_vec();
    }
    let key = order.seed().to_be_bytes();
    rendezvous::choose(&key, back_ends, stage.back_ends, |id| id.as_str()).into_iter().copied().collect()
}
