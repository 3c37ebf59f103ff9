//! Parts of prompts on which back ends wrote whole answers lately, or wrote for some time without terminating.
//!
//! A part that terminates each back end which begins to write an answer on it is never among them, while the
//! parts that a tenant's requests share are. A part may be sound for one software version and terminate back ends of
//! another, so what is known is known of a version.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{EngineVersion, to_ms};
use xxhash_rust::xxh3::xxh3_64;

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

/// The remembered parts. They take 512 KB.
pub struct SoundParts {
    slots: Mutex<Box<[Slot]>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    key: Key,
    /// When that was observed, in milliseconds since 1970; 0 if never.
    at_ms: u64,
    /// How long a back end wrote on it without terminating, in milliseconds; [`COMPLETED`] after a whole answer.
    written_ms: u64,
}

/// A part at a software version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Key {
    part: u64,
    /// Hash of the version's name; [`UNKNOWN_VERSION`] if it is unknown.
    version: u64,
}

/// Stands for a version that is unknown.
const UNKNOWN_VERSION: u64 = 0;

impl Key {
    fn new(part: u64, version: Option<&EngineVersion>) -> Self {
        let version = version.map_or(UNKNOWN_VERSION, |version| xxh3_64(version.as_str().as_bytes()));
        Self { part, version }
    }

    fn slot(self) -> usize {
        let mixed = (self.part ^ self.version.rotate_left(SLOT_BITS)).wrapping_mul(SPREAD);
        (mixed >> (u64::BITS - SLOT_BITS)) as usize
    }
}

/// Written time that stands for a whole answer: it proves more than any part of one.
const COMPLETED: u64 = u64::MAX;

impl Slot {
    fn is_fresh(&self, key: Key, now_ms: u64) -> bool {
        self.key == key && now_ms <= self.at_ms.saturating_add(to_ms(SOUND_FOR))
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

    /// Records that back ends of a version completed answers on these parts.
    pub fn note_completed(
        &self,
        parts: impl Iterator<Item = u64>,
        version: Option<&EngineVersion>,
        now_ms: u64,
    ) {
        self.note_written(parts, version, COMPLETED, now_ms);
    }

    /// Records that a back end of a version has been writing on these parts for `written_ms` and writes on.
    pub fn note_written(
        &self,
        parts: impl Iterator<Item = u64>,
        version: Option<&EngineVersion>,
        written_ms: u64,
        now_ms: u64,
    ) {
        let mut slots = self.lock();
        for key in parts.map(|part| Key::new(part, version)) {
            let slot = &mut slots[key.slot()];
            if written_ms >= slot.written_ms || !slot.is_fresh(key, now_ms) {
                *slot = Slot { key, at_ms: now_ms, written_ms };
            }
        }
    }

    /// Records that a back end of a version terminated that had been running a part for `exposure_ms`: what it, or one of an
    /// unknown version, wrote on the part before proves nothing. What a longer exposure elsewhere has proved stands, and so does a whole answer.
    pub fn note_terminated(&self, part: u64, version: Option<&EngineVersion>, exposure_ms: u64) {
        let mut slots = self.lock();
        for key in [Key::new(part, version), Key::new(part, None)] {
            let slot = &mut slots[key.slot()];
            if slot.key == key && slot.written_ms <= exposure_ms {
                *slot = Slot::default();
            }
        }
    }

    /// Whether a back end of a version, or of an unknown one, completed an answer on a part lately.
    pub fn is_sound(&self, part: u64, version: Option<&EngineVersion>, now_ms: u64) -> bool {
        self.longest_written_ms(part, version, now_ms) == Some(COMPLETED)
    }

    /// Whether the termination of a back end that had been running a part for `exposure_ms` proves nothing against the
    /// part at a version, since a back end of this version, or of an unknown one, wrote on it for longer lately, or a whole
    /// answer.
    pub fn outlives(
        &self,
        part: u64,
        version: Option<&EngineVersion>,
        exposure_ms: u64,
        now_ms: u64,
    ) -> bool {
        let written_ms = self.longest_written_ms(part, version, now_ms);
        written_ms.is_some_and(|written_ms| outlives(written_ms, exposure_ms))
    }

    fn longest_written_ms(&self, part: u64, version: Option<&EngineVersion>, now_ms: u64) -> Option<u64> {
        let slots = self.lock();
        let keys = [Key::new(part, version), Key::new(part, None)];
        let fresh = keys.into_iter().map(|key| (key, slots[key.slot()]));
        fresh.filter(|(key, slot)| slot.is_fresh(*key, now_ms)).map(|(_, slot)| slot.written_ms).max()
    }
}
