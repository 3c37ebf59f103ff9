//! The scheduling rank that is sent to back ends.

mod support;

use std::time::Duration;

use support::call;

/// Prompt tokens that engines prefill per millisecond.
const TOKENS_PER_MS: f64 = 32.0;

/// The rank of a request on such a route, with such a tenant and prompt.
fn rank(route_rank: u8, tenant_rank: Option<u8>, prompt_tokens: u32) -> u8 {
    let prefill_ms = f64::from(prompt_tokens) / TOKENS_PER_MS;
    call(route_rank, tenant_rank, prompt_tokens).rank(Some(prefill_ms))
}

/// Guards against: under high load chats, on the least urgent route, wait for seconds behind prompts ten
/// times as long.
#[test]
fn a_short_prompt_ranks_level_with_the_next_more_urgent_route_and_not_ahead_of_it() {
    assert_eq!(rank(2, None, 700), rank(1, None, 9_000));
    assert!(rank(2, None, 700) > rank(0, None, 9_000));
    assert_eq!(rank(0, None, 700), 0);
    assert_eq!(rank(2, None, 9_000), 2);
}

#[test]
fn a_tenant_with_a_lower_rank_stays_behind_whatever_its_prompts() {
    assert!(rank(0, Some(1), 10) > rank(2, Some(0), 9_000));
}

/// Whether a prompt is short depends on the engines: fast ones prefill 9,000 tokens in 15 ms.
#[test]
fn a_prompt_counts_as_short_by_its_prefill_time() {
    assert_eq!(call(2, None, 9_000).rank(Some(15.0)), 1);
    assert_eq!(call(2, None, 700).rank(Some(70.0)), 2);
    assert_eq!(call(2, None, 700).rank(None), 2, "there are no engine estimates yet");
}

#[test]
fn the_remaining_time_of_a_call_decreases_while_the_machine_is_suspended() {
    let suspended_for = Duration::from_secs(3);
    let mut call = call(0, None, 100);
    call.deadline = call.received + Duration::from_secs(10);
    let before = call.remaining();
    beamwall_clock::simulation::simulate_suspension(suspended_for);
    let after = call.remaining();
    assert!(after <= before.saturating_sub(suspended_for), "{before:?} before, {after:?} after");
}
