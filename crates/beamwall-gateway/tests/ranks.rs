//! The rank that back ends are told.

mod support;

use std::time::Duration;

use support::call;

/// Prompt tokens that engines read in a millisecond.
const TOKENS_PER_MS: f64 = 32.0;

/// The rank of such a request.
fn rank(route_rank: u8, tenant_rank: Option<u8>, prompt_tokens: u32) -> u8 {
    let reading_ms = f64::from(prompt_tokens) / TOKENS_PER_MS;
    call(route_rank, tenant_rank, prompt_tokens).rank(Some(reading_ms))
}

/// On busy days of both sites chats, the least urgent kind, waited for seconds behind prompts ten times as long.
#[test]
fn a_short_prompt_is_level_with_the_next_more_urgent_kind_and_not_ahead_of_it() {
    assert_eq!(rank(2, None, 700), rank(1, None, 9_000));
    assert!(rank(2, None, 700) > rank(0, None, 9_000));
    assert_eq!(rank(0, None, 700), 0);
    assert_eq!(rank(2, None, 9_000), 2);
}

#[test]
fn a_tenant_with_a_lower_rank_stays_behind_whatever_its_prompts() {
    assert!(rank(0, Some(1), 10) > rank(2, Some(0), 9_000));
}

/// What is short depends on the engines: 9,000 tokens are read in 15 ms by fast ones.
#[test]
fn a_prompt_is_short_by_the_time_that_it_takes_to_read() {
    assert_eq!(call(2, None, 9_000).rank(Some(15.0)), 1);
    assert_eq!(call(2, None, 700).rank(Some(70.0)), 2);
    assert_eq!(call(2, None, 700).rank(None), 2, "nothing is known of the engines yet");
}

#[test]
fn the_time_left_to_a_caller_runs_on_while_the_machine_sleeps() {
    let asleep = Duration::from_secs(3);
    let mut call = call(0, None, 100);
    call.deadline = call.received + Duration::from_secs(10);
    let before = call.remaining();
    beamwall_clock::simulation::simulate_suspension(asleep);
    let after = call.remaining();
    assert!(after <= before.saturating_sub(asleep), "{before:?} before, {after:?} after");
}
