//! Parts of prompts on which back ends wrote whole answers lately, or wrote for some time without terminating.
//!
//! A part that terminates each back end which begins to write an answer on it is never among them, while the
//! parts that a tenant's requests share are.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::to_ms;

use crate::common_cause::outlives;

/// Number of parts that are remembered. A part may displace another one, which is then known again at its
/// next completion.
const SLOTS: usize = 1 << SLOT_BITS;
const SLOT_BITS: u32 = 14;
/// Odd constant close to 2^64 divided by the golden ratio, which spreads similar identifiers over the slots.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time after a whole answer for which its parts are taken for sound. A part that becomes deadly with another
/// version of the back ends is suspected after this time.
const SOUND_FOR: Duration = Duration::from_secs(60);

/// The remembered parts. They take 384 KB.
pub struct SoundParts {
    slots: Mutex<Box<[Slot]>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    part: u64,
    /// When that was observed, in milliseconds since 1970; 0 if never.
    at_ms: u64,
    /// How long a back end wrote on it without terminating, in milliseconds; [`COMPLETED`] after a whole answer.
    written_ms: u64,
}

/// Written time that stands for a whole answer: it proves more than any part of one.
const COMPLETED: u64 = u64::MAX;

impl Slot {
    fn is_fresh(&self, part: u64, now_ms: u64) -> bool {
        self.part == part && now_ms <= self.at_ms.saturating_add(to_ms(SOUND_FOR))
    }
}

impl Default for SoundParts {
    fn default() -> Self {
        Self { slots: Mutex::new(vec![Slot::default(); SLOTS].into_boxed_slice()) }
    }
}

impl SoundParts {
    fn lock(&self) -> MutexGuard<'_, Box<[Slot]>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that answers on these parts were completed.
    pub fn note_completed(&self, parts: impl Iterator<Item = u64>, now_ms: u64) {
        self.note_written(parts, COMPLETED, now_ms);
    }

    /// Records that a back end has been writing on these parts for `written_ms` and writes on.
    pub fn note_written(&self, parts: impl Iterator<Item = u64>, written_ms: u64, now_ms: u64) {
        let mut slots = self.lock();
        for part in parts {
            let slot = &mut slots[slot_of(part)];
            if written_ms >= slot.written_ms || !slot.is_fresh(part, now_ms) {
                *slot = Slot { part, at_ms: now_ms, written_ms };
            }
        }
    }

    /// Records that a back end terminated that had been running a part for `exposure_ms`: what it wrote on the part before proves
    /// nothing. What a longer exposure elsewhere has proved stands, and so does a whole answer.
    pub fn note_terminated(&self, part: u64, exposure_ms: u64) {
        let mut slots = self.lock();
        let slot = &mut slots[slot_of(part)];
        if slot.part == part && slot.written_ms <= exposure_ms {
            *slot = Slot::default();
        }
    }

    /// Whether an answer on a part was completed lately.
    pub fn is_sound(&self, part: u64, now_ms: u64) -> bool {
        let slot = self.lock()[slot_of(part)];
        slot.is_fresh(part, now_ms) && slot.written_ms == COMPLETED
    }

    /// Whether the termination of a back end that had been running a part for `exposure_ms` proves nothing against the
    /// part, since a back end wrote on it for longer lately, or a whole answer.
    pub fn outlives(&self, part: u64, exposure_ms: u64, now_ms: u64) -> bool {
        let slot = self.lock()[slot_of(part)];
        slot.is_fresh(part, now_ms) && outlives(slot.written_ms, exposure_ms)
    }
}

fn slot_of(part: u64) -> usize {
    (part.wrapping_mul(SPREAD) >> (u64::BITS - SLOT_BITS)) as usize
}
