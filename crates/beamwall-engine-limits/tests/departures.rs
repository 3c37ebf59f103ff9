//! Departures that engines announce in their responses.

use std::time::Duration;

use beamwall_engine_limits::{DepartureReport, KnownDepartures};
use beamwall_model::BackendId;
use tokio::time::Instant;

fn engine() -> BackendId {
    BackendId::new("i-1")
}

#[tokio::test(start_paused = true)]
async fn a_departure_is_news_once_and_is_reported_while_it_is_recent() {
    let departures = KnownDepartures::default();
    assert!(departures.note(&engine(), Instant::now()));
    assert!(!departures.note(&engine(), Instant::now()));
    tokio::time::advance(Duration::from_secs(20)).await;
    let age = Duration::from_secs(20);
    assert_eq!(departures.reports(Instant::now()), [DepartureReport { backend: engine(), age }]);
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(departures.reports(Instant::now()).is_empty());
    assert!(departures.is_leaving(&engine()));
}

/// Guards against: an engine whose entry expired and was written again is used although it leaves.
#[tokio::test(start_paused = true)]
async fn a_departure_is_remembered_while_the_entry_is_away_for_a_moment() {
    let departures = KnownDepartures::default();
    departures.note(&engine(), Instant::now());
    departures.retain(|_| false, Instant::now());
    assert!(departures.is_leaving(&engine()));
    tokio::time::advance(Duration::from_secs(301)).await;
    departures.retain(|_| true, Instant::now());
    assert!(departures.is_leaving(&engine()), "a listed engine that leaves leaves for good");
    departures.retain(|_| false, Instant::now());
    assert!(!departures.is_leaving(&engine()));
}

/// Guards against: nodes tell each other of an engine that is gone for ever.
#[tokio::test(start_paused = true)]
async fn what_peers_report_grows_old_on_its_way() {
    let (first, second) = (KnownDepartures::default(), KnownDepartures::default());
    first.note(&engine(), Instant::now());
    tokio::time::advance(Duration::from_secs(25)).await;
    for report in first.reports(Instant::now()) {
        assert!(second.merge(&report, Instant::now()));
    }
    tokio::time::advance(Duration::from_secs(6)).await;
    assert!(second.reports(Instant::now()).is_empty());
    let ancient = DepartureReport { backend: BackendId::new("i-2"), age: Duration::from_secs(400) };
    assert!(!second.merge(&ancient, Instant::now()));
    let overflowing = DepartureReport { backend: BackendId::new("i-2"), age: Duration::MAX };
    assert!(!second.merge(&overflowing, Instant::now()));
}
