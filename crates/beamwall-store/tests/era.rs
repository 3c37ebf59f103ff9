//! Which era of the store an answer belongs to.

use beamwall_store::era::{NamedEra, OutdatedAnswer, StoreEra, check_write};
use beamwall_store::object::ABSENT;
use beamwall_store::{ObjectError, Version};

#[test]
fn an_answer_of_a_newer_era_is_believed_and_remembered() {
    let eras = StoreEra::default();
    assert_eq!(eras.of_answer(&NamedEra::Era(3), 0), Ok(3));
    assert_eq!(eras.known(), 3);
    assert_eq!(eras.of_answer(&NamedEra::Era(4), 3), Ok(4));
    assert_eq!(eras.of_answer(&NamedEra::Era(4), 3), Ok(4), "its call was sent before the era was known");
}

/// Guards against: an answer that was on its way when an era began brings the former state back.
#[test]
fn an_answer_of_an_era_that_ended_meanwhile_is_outdated() {
    let eras = StoreEra::default();
    eras.learn(2, "peer");
    assert_eq!(eras.of_answer(&NamedEra::Era(1), 1), Err(OutdatedAnswer));
    assert_eq!(eras.of_answer(&NamedEra::Missing, 1), Err(OutdatedAnswer));
    assert_eq!(eras.known(), 2);
}

/// Guards against: a store that names no era, nonsense or an era that falls is not read any more.
#[test]
fn a_store_that_names_no_usable_era_is_read_as_before() {
    let eras = StoreEra::default();
    assert_eq!(eras.of_answer(&NamedEra::Missing, 0), Ok(0));
    assert_eq!(eras.of_answer(&NamedEra::Unreadable("new".to_owned()), 0), Ok(0));
    eras.learn(5, "answer");
    assert_eq!(eras.of_answer(&NamedEra::Era(4), 5), Ok(5));
    assert_eq!(eras.of_answer(&NamedEra::Missing, 5), Ok(5));
}

#[test]
fn numbers_are_read_and_anything_else_is_named_unreadable() {
    assert_eq!(NamedEra::from_text(None), NamedEra::Missing);
    assert_eq!(NamedEra::from_text(Some(" 7 ")), NamedEra::Era(7));
    for text in ["", "-1", "1.5", "seven", "99999999999999999999"] {
        assert_eq!(NamedEra::from_text(Some(text)), NamedEra::Unreadable(text.to_owned()));
    }
}

/// Guards against: a write changes what another one has written, since both eras gave out the same revision.
#[test]
fn a_write_that_expects_a_version_of_an_ended_era_is_in_conflict() {
    let expected = Version::new(1, 1_005);
    assert!(check_write(expected, 1, 1).is_ok());
    assert!(matches!(check_write(expected, 2, 2), Err(ObjectError::Conflict(_))), "the era ended before");
    assert!(matches!(check_write(expected, 1, 2), Err(ObjectError::Conflict(_))), "the era ended meanwhile");
    assert!(check_write(ABSENT, 2, 2).is_ok());
    assert!(matches!(check_write(ABSENT, 1, 2), Err(ObjectError::Ambiguous(_))), "it may be lost again");
}
