//! Property tests on fixed seeds: a test that holds on one machine holds on all, and one that fails does so again.
//!
//! `arbtest` by itself draws new seeds in each run, for a length of time. With one of its own variables set it does so here, too:
//! `ARBTEST_BUDGET_MS` looks for failures on new seeds, `ARBTEST_SEED` plays one again.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Bytes of random input of the first case and of the largest.
const LEAST_SIZE: u64 = 32;
const LARGEST_SIZE: u64 = 65_536;
/// Cases after which the input grows by a quarter.
const CASES_OF_A_SIZE: u32 = 3;
/// Variables by which whoever runs tests chooses the seeds.
const CHOOSES_SEEDS: [&str; 2] = ["ARBTEST_BUDGET_MS", "ARBTEST_SEED"];

/// Holds a property on the first `cases` seeds. Input that a property turns away is passed over.
///
/// # Panics
/// Where the property does, or where it turns away all input.
pub fn on_seeds(cases: u32, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    if CHOOSES_SEEDS.iter().any(|variable| std::env::var_os(variable).is_some()) {
        return arbtest(property).run();
    }
    let mut taken = 0;
    for seed in (0..cases).map(seed_of) {
        let pass_over = |input: &mut Unstructured<'_>| {
            taken += u32::from(property(input).is_ok());
            Ok(())
        };
        arbtest(pass_over).seed(seed).run();
    }
    assert!(taken > 0, "no input fits the property");
}

/// The seed of a case, which names the size of its input in its lower half: small input first.
fn seed_of(case: u32) -> u64 {
    let growths = case / CASES_OF_A_SIZE;
    let size = (0..growths).fold(LEAST_SIZE, |size, _| (size * 5 / 4).min(LARGEST_SIZE));
    (u64::from(case) << 32) | size
}
