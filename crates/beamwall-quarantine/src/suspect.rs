//! What is known of one request, also as it is kept in the store.

use std::collections::BTreeMap;

use beamwall_model::{BackendId, to_ms};
use serde::{Deserialize, Serialize};

use crate::limits::{
    HOLD_RETENTION, MAX_TERMINATIONS_PER_REQUEST, SUSPECT_RETENTION, TERMINATIONS_UNTIL_HELD,
};

/// A request that was open at the end of a back end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Suspect {
    /// The back ends, and when they ended.
    pub endings: BTreeMap<BackendId, u64>,
    /// When it last ran to an end; 0: never. Ends of back ends up to then tell nothing against it.
    pub completed_ms: u64,
    /// Trials granted.
    pub trials: u32,
    /// When the last one was granted.
    pub trial_ms: u64,
}

impl Suspect {
    /// Notes an end of a back end; returns whether that is new.
    pub fn note_termination(&mut self, backend: &BackendId, at_ms: u64) -> bool {
        let is_new = match self.endings.get_mut(backend) {
            // Nodes see the same end some milliseconds apart; the earliest counts for all.
            Some(known) if at_ms < *known => {
                *known = at_ms;
                true
            }
            Some(_) => false,
            None => {
                self.endings.insert(backend.clone(), at_ms);
                true
            }
        };
        while self.endings.len() > MAX_TERMINATIONS_PER_REQUEST {
            let earliest = self.endings.iter().min_by_key(|(backend, at)| (**at, (*backend).clone()));
            let Some(earliest) = earliest.map(|(backend, _)| backend.clone()) else { break };
            self.endings.remove(&earliest);
        }
        is_new
    }

    /// Notes that it ran to an end; returns whether that is new.
    pub fn note_completion(&mut self, at_ms: u64) -> bool {
        let is_new = at_ms > self.completed_ms;
        self.completed_ms = self.completed_ms.max(at_ms);
        is_new
    }

    /// Notes a trial; returns whether that is new.
    pub fn note_trial(&mut self, number: u32, at_ms: u64) -> bool {
        let is_new = (number, at_ms) > (self.trials, self.trial_ms);
        if is_new {
            (self.trials, self.trial_ms) = (number, at_ms);
        }
        is_new
    }

    /// Ends of back ends that tell against it.
    pub fn counted_terminations(&self) -> impl Iterator<Item = (&BackendId, u64)> {
        let ended = self.endings.iter().map(|(backend, at_ms)| (backend, *at_ms));
        ended.filter(|(_, at_ms)| *at_ms > self.completed_ms)
    }

    /// Whether it was at enough ends of back ends to be held.
    pub fn reaches_hold_threshold(&self) -> bool {
        self.counted_terminations().count() >= TERMINATIONS_UNTIL_HELD
    }

    /// The last moment from which its time in the book counts.
    pub fn last_activity_ms(&self) -> u64 {
        let ended = self.endings.values().copied().max().unwrap_or(0);
        ended.max(self.trial_ms)
    }

    /// Whether its time in the book is over.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let kept = if self.reaches_hold_threshold() { HOLD_RETENTION } else { SUSPECT_RETENTION };
        now_ms > self.last_activity_ms().saturating_add(to_ms(kept))
    }

    /// What is kept first where there is not room for all: the greater, the rather.
    pub fn retention_priority(&self) -> (usize, u64) {
        (self.counted_terminations().count(), self.last_activity_ms())
    }
}
