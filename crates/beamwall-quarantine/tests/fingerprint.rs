//! Attempts of the same request have equal fingerprints; different requests have different ones.

use beamwall_quarantine::{Fingerprint, FingerprintHasher};

fn fingerprint(tenant: Option<&str>, host: &str, path: &str, body: &[&[u8]]) -> Fingerprint {
    let mut hasher = FingerprintHasher::new(tenant, host, path);
    body.iter().for_each(|part| hasher.update(part));
    hasher.finish()
}

#[test]
fn the_fingerprint_does_not_depend_on_body_chunks_or_host_case() {
    let whole = fingerprint(Some("alder"), "a.example", "/chat/", &[b"one two"]);
    assert_eq!(fingerprint(Some("alder"), "a.example", "/chat/", &[b"one", b" ", b"two"]), whole);
    assert_eq!(fingerprint(Some("alder"), "A.Example", "/chat/", &[b"", b"one two"]), whole);
}

#[test]
fn caller_host_path_query_and_body_change_the_fingerprint() {
    let all = [
        fingerprint(Some("alder"), "a.example", "/chat/", &[b"one"]),
        fingerprint(Some("birch"), "a.example", "/chat/", &[b"one"]),
        fingerprint(None, "a.example", "/chat/", &[b"one"]),
        fingerprint(Some("alder"), "b.example", "/chat/", &[b"one"]),
        fingerprint(Some("alder"), "a.example", "/chat/2", &[b"one"]),
        fingerprint(Some("alder"), "a.example", "/chat/?q=1", &[b"one"]),
        fingerprint(Some("alder"), "a.example", "/chat/", &[b"two"]),
        fingerprint(Some("alder"), "a.example", "/chat/", &[]),
        // The same bytes, split differently between adjacent parts.
        fingerprint(Some("aldera"), ".example", "/chat/", &[b"one"]),
        fingerprint(Some("alder"), "a.example", "/chat/o", &[b"ne"]),
    ];
    for (number, one) in all.iter().enumerate() {
        assert!(!all[number + 1..].contains(one), "{number}");
    }
}
