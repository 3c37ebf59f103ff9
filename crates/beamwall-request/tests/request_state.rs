//! The tokens of a request: each index exactly once and in order, whatever engines send.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_request::request_state::TokenResult;
use beamwall_request::{End, RequestState};

fn property(input: &mut Unstructured<'_>) -> Result<()> {
    let state = RequestState::new("r".into(), "t".into(), Vec::new());
    let mut expected = 0_u32;
    for _ in 0..300 {
        let index = input.int_in_range(expected.saturating_sub(4)..=expected + 2)?;
        let result = state.take_token(index, format!("{index} "));
        let right = match index.cmp(&expected) {
            std::cmp::Ordering::Less => TokenResult::Duplicate,
            std::cmp::Ordering::Equal => TokenResult::Taken,
            std::cmp::Ordering::Greater => TokenResult::Gap,
        };
        assert_eq!(result, right);
        expected += u32::from(right == TokenResult::Taken);
    }
    let text: String = (0..expected).map(|index| format!("{index} ")).collect();
    assert_eq!(state.tokens_from(0).concat(), text);
    Ok(())
}

#[test]
fn duplicates_and_gaps_never_reach_the_answer() {
    for seed in 1..30_u64 {
        arbtest(property).seed((seed << 32) | 0x1000);
    }
}

#[test]
fn only_the_first_end_counts() {
    let state = RequestState::new("r".into(), "t".into(), Vec::new());
    assert!(state.finish(End::completed("length")));
    assert!(!state.finish(End::unknown("late")));
    assert_eq!(state.end(), Some(End::completed("length")));
}

#[tokio::test]
async fn the_last_reader_abandons_unless_detached() {
    let state = RequestState::new("r".into(), "t".into(), Vec::new());
    let (first, second) = (state.reader(), state.reader());
    drop(first);
    let soon = std::time::Duration::from_millis(20);
    assert!(tokio::time::timeout(soon, state.until_abandoned()).await.is_err());
    drop(second);
    state.until_abandoned().await;
    let detached = RequestState::new("r".into(), "t".into(), Vec::new());
    detached.detach();
    drop(detached.reader());
    assert!(tokio::time::timeout(soon, detached.until_abandoned()).await.is_err());
}
