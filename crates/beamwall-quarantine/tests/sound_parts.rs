//! Parts of prompts on which answers were completed, and their fingerprints.

use beamwall_quarantine::{Fingerprint, FingerprintHasher, SoundParts};

const NOW_MS: u64 = 1_700_000_000_000;

#[test]
fn a_part_is_sound_for_a_minute_after_an_answer_on_it() {
    let parts = SoundParts::default();
    assert!([0, 7, u64::MAX].iter().all(|part| !parts.is_sound(*part, None, NOW_MS)));
    parts.note_completed([0, 7, u64::MAX].into_iter(), None, NOW_MS);
    assert!([0, 7, u64::MAX].iter().all(|part| parts.is_sound(*part, None, NOW_MS + 60_000)));
    assert!(!parts.is_sound(7, None, NOW_MS + 60_001) && !parts.is_sound(8, None, NOW_MS));
}

/// Guards against: parts that a tenant makes up fill the memory, or make another part sound.
#[test]
fn parts_that_are_made_up_displace_but_vouch_for_no_other() {
    let parts = SoundParts::default();
    for part in 0..100_000_u64 {
        parts.note_completed(std::iter::once(part), None, NOW_MS);
    }
    assert!(parts.is_sound(99_999, None, NOW_MS));
    assert!((200_000..300_000).all(|part| !parts.is_sound(part, None, NOW_MS)));
}

/// Guards against: a part is taken for a request, or for another part, and logs don't show which it is.
#[test]
fn the_fingerprint_of_a_part_names_it() {
    let part = Fingerprint::of_part(0x5c1e_07a2);
    assert_eq!((part.part(), part.to_string().as_str()), (Some(0x5c1e_07a2), "part:5c1e07a2"));
    assert_eq!(Fingerprint::from_hex(&part.to_hex()), Some(part));
    let request = FingerprintHasher::new(Some("alder"), "a.example", "/chat").finish();
    assert_eq!((request.part(), request.to_string().len()), (None, 16));
}
