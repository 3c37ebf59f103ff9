//! Reading the limits that engines name.

use beamwall_engine_limits::{LimitNotice, RequestRate, UnreadableLimit};

fn per_second(text: &str) -> Option<f64> {
    match LimitNotice::from_values([text]) {
        LimitNotice::Limited(rate) => Some(rate.per_second()),
        _ => None,
    }
}

#[test]
fn decimal_numbers_are_read() {
    assert_eq!(per_second("1.2"), Some(1.2));
    assert_eq!(per_second(" 7.5 "), Some(7.5));
    assert_eq!(per_second("200"), Some(200.0));
    assert_eq!(per_second(".5"), Some(0.5));
    assert_eq!(LimitNotice::from_values([]), LimitNotice::Unlimited);
}

/// Guards against: a limit that makes no sense stops all requests, lifts the limit, or divides by zero.
#[test]
fn what_is_no_usable_number_is_named_unreadable() {
    let digits = "9".repeat(40);
    let texts = [
        "0", "0.0", "-1", "-0", "+1", "nan", "NaN", "inf", "-inf", "1e400", "1e-400", "", " ", "many",
        &digits,
    ];
    for text in texts {
        let notice = LimitNotice::from_values([text]);
        assert!(matches!(notice, LimitNotice::Unreadable(_)), "{text:?} is read as {notice:?}");
    }
    let twice = LimitNotice::from_values(["1.2", "1.2"]);
    assert_eq!(twice, LimitNotice::Unreadable(UnreadableLimit::Repeated(2)));
}

#[test]
fn rates_of_other_nodes_are_checked_as_well() {
    for number in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MAX] {
        assert!(RequestRate::new(number).is_err(), "{number}");
    }
}
