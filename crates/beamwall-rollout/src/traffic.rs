//! Which requests go to the new version, and to which of its back ends.
//!
//! Each node decides by a hash of the request, so the share holds over all nodes without a word between them, however unevenly
//! callers are divided. The first back ends by rendezvous hash take the share: few of them, as full as the old ones, show
//! what is bad only under load.

use beamwall_model::{BackendId, rendezvous};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::order::OrderId;
use crate::stage::Stage;

/// Whether a request goes to the new version. `request` identifies the try; `None` where it has no identifier goes to the old
/// one until the new version takes all.
pub fn selects_new_version(order: &OrderId, stage: Stage, request: Option<&str>) -> bool {
    let share = stage.share_now();
    if share >= 1.0 {
        return true;
    }
    let Some(request) = request else { return false };
    // A hash as a number from 0 to below 1.
    let place = xxh3_64_with_seed(request.as_bytes(), order.seed()) as f64 / (u64::MAX as f64 + 1.0);
    place < share
}

/// The back ends of the new version that take requests in a stage.
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
