//! Measures the time to compute the fingerprint of one request, by body size in bytes.

use beamwall_quarantine::FingerprintHasher;
use divan::Bencher;

fn main() {
    divan::main();
}

#[divan::bench(args = [0, 1_400, 18_000, 110_000, 4_194_304])]
fn body(bencher: Bencher<'_, '_>, length: usize) {
    let body = vec![7; length];
    bencher.bench(|| {
        let mut hasher = FingerprintHasher::new(Some("alder"), "tests.example", "/chat/completions");
        hasher.update(&body);
        hasher.finish()
    });
}
