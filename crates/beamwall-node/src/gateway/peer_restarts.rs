//! Detects how the previous processes of peers ended: after a drain, or abruptly.
//!
//! A gateway that ends abruptly can't report it, and on machines without a disk its next process does not
//! know of it either. Peers observe that a new generation follows one that had not announced that it drains.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use beamwall_events::emit;
use beamwall_events::internal_events::{PeerEndedAbruptly, PeerRestarted};
use beamwall_model::NodeId;
use beamwall_peer::{Envelope, Member, MemberState};

/// The last generation of each peer that sends its generation.
#[derive(Debug, Default)]
pub struct PeerRestarts {
    last_runs: Mutex<HashMap<NodeId, PeerRun>>,
    ended_abruptly: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct PeerRun {
    generation: u64,
    was_draining: bool,
}

/// The last known run of a peer whose first message arrives, sent in `generation`. Incarnations start at the
/// generation.
fn last_known_run(generation: u64, member: Option<Member>) -> PeerRun {
    let earlier = member.filter(|member| member.incarnation < generation);
    earlier.map_or(PeerRun { generation, was_draining: false }, |member| PeerRun {
        generation: member.incarnation,
        was_draining: member.draining || member.state == MemberState::Left,
    })
}

impl PeerRestarts {
    /// Runs of peers that ended without a drain since this node's start.
    pub fn ended_abruptly(&self) -> u64 {
        self.ended_abruptly.load(Ordering::Relaxed)
    }

    /// Records the generation in which a peer sent a message, and logs how the run before it ended. For the
    /// first message of a peer, `member` returns what others have reported of it: an earlier run may have
    /// ended before it sent anything to this node.
    pub(super) fn note(&self, envelope: &Envelope, generation: u64, member: impl FnOnce() -> Option<Member>) {
        let peer = NodeId::new(&envelope.sender);
        let mut last_runs = self.last_runs.lock().unwrap_or_else(PoisonError::into_inner);
        let current_run = last_runs.entry(peer).or_insert_with(|| last_known_run(generation, member()));
        if generation < current_run.generation {
            return;
        }
        let previous_run = (generation > current_run.generation).then_some(*current_run);
        *current_run = PeerRun { generation, was_draining: envelope.draining };
        drop(last_runs);
        if let Some(previous_run) = previous_run {
            self.log_previous_end(envelope, previous_run);
        }
    }

    fn log_previous_end(&self, envelope: &Envelope, previous_run: PeerRun) {
        let (peer, zone) = (envelope.sender.clone(), envelope.zone.clone());
        if previous_run.was_draining {
            emit(&PeerRestarted { peer, zone });
        } else {
            self.ended_abruptly.fetch_add(1, Ordering::Relaxed);
            emit(&PeerEndedAbruptly { peer, zone });
        }
    }
}
