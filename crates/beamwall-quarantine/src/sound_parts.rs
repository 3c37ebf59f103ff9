//! Parts of prompts on which back ends wrote whole answers lately.
//!
//! A part that terminates each back end which begins to write an answer on it is never among them, while the
//! parts that a tenant's requests share are.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::to_ms;

/// Number of parts that are remembered. A part may displace another one, which is then known again at its
/// next completion.
const SLOTS: usize = 1 << SLOT_BITS;
const SLOT_BITS: u32 = 14;
/// Odd constant close to 2^64 divided by the golden ratio, which spreads similar identifiers over the slots.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time after a whole answer for which its parts are taken for sound. A part that becomes deadly with another
/// version of the back ends is suspected after this time.
const SOUND_FOR: Duration = Duration::from_secs(60);

/// The remembered parts. They take 256 KB.
pub struct SoundParts {
    slots: Mutex<Box<[Slot]>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    part: u64,
    /// When an answer on it was completed last, in milliseconds since 1970; 0 if never.
    completed_ms: u64,
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
        let mut slots = self.lock();
        for part in parts {
            slots[slot_of(part)] = Slot { part, completed_ms: now_ms };
        }
    }

    /// Whether an answer on a part was completed lately.
    pub fn is_sound(&self, part: u64, now_ms: u64) -> bool {
        let slot = self.lock()[slot_of(part)];
        slot.part == part && now_ms <= slot.completed_ms.saturating_add(to_ms(SOUND_FOR))
    }
}

fn slot_of(part: u64) -> usize {
    (part.wrapping_mul(SPREAD) >> (u64::BITS - SLOT_BITS)) as usize
}
