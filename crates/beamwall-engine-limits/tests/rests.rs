//! Rests that engines ask for when they reject requests.

use std::time::Duration;

use beamwall_engine_limits::{KnownRests, RestNotice, UnreadableRest};
use beamwall_model::BackendId;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn rest(text: &str) -> Option<Duration> {
    match RestNotice::from_values([text]) {
        RestNotice::Rest(rest) => Some(rest),
        _ => None,
    }
}

fn engine() -> BackendId {
    BackendId::new("i-1")
}

#[test]
fn seconds_with_a_fraction_are_read() {
    assert_eq!(rest("3"), Some(3 * SECOND));
    assert_eq!(rest(" 2.75 "), Some(Duration::from_millis(2_750)));
    assert_eq!(rest("0.2"), Some(Duration::from_millis(200)));
    assert_eq!(rest("0"), Some(Duration::ZERO));
    assert_eq!(RestNotice::from_values([]), RestNotice::NoRest);
}

/// Guards against: a rest that makes no sense takes an engine away, or ends the program.
#[test]
fn what_is_no_number_of_seconds_is_named_unreadable() {
    let texts = ["", " ", "-1", "+1", "nan", "inf", "1e400", "1e3", ".", "1.2.3", "soon"];
    let date = "Fri, 04 Dec 2026 04:00:00 GMT";
    for text in texts.into_iter().chain([date]) {
        let notice = RestNotice::from_values([text]);
        assert!(matches!(notice, RestNotice::Unreadable(_)), "{text:?} is read as {notice:?}");
    }
    let twice = RestNotice::from_values(["1", "2"]);
    assert_eq!(twice, RestNotice::Unreadable(UnreadableRest::Repeated(2)));
}

/// Guards against: one word takes an engine away for a day.
#[test]
fn a_long_rest_is_bounded() {
    let digits = "9".repeat(400);
    for text in ["86400", digits.as_str()] {
        assert_eq!(rest(text), Some(300 * SECOND), "{text:?}");
    }
}

/// Guards against: a second, shorter rest cuts the first one short.
#[tokio::test(start_paused = true)]
async fn a_shorter_rest_does_not_end_a_longer_one() {
    let rests = KnownRests::default();
    let start = Instant::now();
    assert!(rests.note(&engine(), start + 3 * SECOND, start));
    assert!(!rests.note(&engine(), start + SECOND, start), "it was resting before");
    assert_eq!(rests.remaining(&engine(), start), Some(3 * SECOND));
    assert!(!rests.note(&engine(), start + 5 * SECOND, start + SECOND));
    assert_eq!(rests.remaining(&engine(), start + SECOND), Some(4 * SECOND));
    assert_eq!(rests.resting(start + SECOND), [engine()]);
}

#[tokio::test(start_paused = true)]
async fn a_rest_ends_and_the_next_one_is_told_again() {
    let rests = KnownRests::default();
    let start = Instant::now();
    rests.note(&engine(), start + SECOND, start);
    assert_eq!(rests.remaining(&engine(), start + SECOND), None);
    assert!(rests.resting(start + SECOND).is_empty());
    assert!(rests.note(&engine(), start + 3 * SECOND, start + 2 * SECOND));
    assert_eq!(rests.remaining(&BackendId::new("i-2"), start), None);
}
