//! Claims against a naive version: a map from key to the first attempt.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_model::AttemptId;
use beamwall_request::claim::{CLAIM_RETENTION_SECONDS, ClaimChange, ClaimShard};
use beamwall_request::{ClaimDecision, ClaimKey, RecordedAnswer};

const SEEDS: std::ops::Range<u64> = 1..40;

fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer { status: 200, content_type: String::new(), body: Some(text.to_owned()) }
}

/// What is obviously right: the first attempt to take a free key has it until it gives it up.
#[derive(Default)]
struct Naive {
    held: BTreeMap<u8, (u8, u8, Option<RecordedAnswer>)>,
}

impl Naive {
    fn take(&mut self, key: u8, attempt: u8, call: u8) -> ClaimDecision {
        match self.held.get(&key) {
            None => {
                self.held.insert(key, (attempt, call, None));
                ClaimDecision::Granted
            }
            Some((_, known, _)) if *known != call => ClaimDecision::OtherCall,
            Some((holder, _, _)) if *holder == attempt => ClaimDecision::Granted,
            Some((_, _, Some(answer))) => ClaimDecision::Replay(answer.clone()),
            Some(_) => ClaimDecision::Taken,
        }
    }

    fn complete(&mut self, key: u8, attempt: u8, answer: RecordedAnswer) -> ClaimDecision {
        match self.held.get_mut(&key) {
            Some((holder, _, recorded)) if *holder == attempt => {
                recorded.get_or_insert(answer);
                ClaimDecision::Granted
            }
            _ => ClaimDecision::Taken,
        }
    }

    fn release(&mut self, key: u8, attempt: u8) -> ClaimDecision {
        if matches!(self.held.get(&key), Some((holder, _, None)) if *holder == attempt) {
            self.held.remove(&key);
        }
        ClaimDecision::Granted
    }
}

fn property(input: &mut Unstructured<'_>) -> Result<()> {
    let (mut shard, mut naive) = (ClaimShard::default(), Naive::default());
    for step in 0..200 {
        let (key, attempt, call) =
            (input.int_in_range(0..=5_u8)?, input.int_in_range(0..=7_u8)?, input.int_in_range(0..=1_u8)?);
        let claim_key = ClaimKey::from_text(&format!("t/s/{key}"));
        let id = AttemptId::new(format!("attempt-{attempt}"));
        let recorded = answer(&format!("answer {step}"));
        let (change, expected) = match input.int_in_range(0..=3_u8)? {
            0 | 1 => {
                let change = ClaimChange::Take { key: claim_key, attempt: id, call: call.to_string() };
                (change, naive.take(key, attempt, call))
            }
            2 => {
                let change = ClaimChange::Complete { key: claim_key, attempt: id, answer: recorded.clone() };
                (change, naive.complete(key, attempt, recorded))
            }
            _ => (ClaimChange::Release { key: claim_key, attempt: id }, naive.release(key, attempt)),
        };
        assert_eq!(shard.apply(&change, 1_000), expected, "{change:?}");
        let once = shard.clone();
        // A write whose answer was lost is applied again.
        assert_eq!(shard.apply(&change, 1_000), expected, "again: {change:?}");
        assert_eq!(shard, once, "applying twice changed the shard");
    }
    assert_eq!(shard.len(), naive.held.len());
    Ok(())
}

#[test]
fn claims_agree_with_a_map() {
    for seed in SEEDS {
        arbtest(property).seed((seed << 32) | 0x2000);
    }
}

#[test]
fn a_full_shard_takes_no_more_and_expiry_makes_room() {
    let mut shard = ClaimShard::default();
    let take = |number: usize| ClaimChange::Take {
        key: ClaimKey::from_text(&format!("t/s/{number}")),
        attempt: AttemptId::new("a"),
        call: String::new(),
    };
    let mut granted = 0;
    while shard.apply(&take(granted), 1_000) == ClaimDecision::Granted {
        granted += 1;
    }
    assert!(granted > 3_000, "only {granted} claims fit");
    assert!(
        serde_json::to_vec(&shard).expect("JSON").len() < 1 << 20,
        "a full shard must fit the platform's limit"
    );
    shard.expire(1_000 + CLAIM_RETENTION_SECONDS + 1);
    assert_eq!(shard.apply(&take(0), 200_000), ClaimDecision::Granted);
}
