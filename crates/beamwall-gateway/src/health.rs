//! Health of back ends, derived from their responses.
//!
//! Health probes cost something and say little: a back end may fail requests while its probe succeeds.
//! Instead, each response to a real request is a sample. The failure share decays with time, so a back end
//! that was avoided is tried again.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which the failure share has decayed by half.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Time for which an unreachable back end is avoided.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1_000);

/// Time for which a back end that refused a request is expected to refuse more.
const REFUSING_FOR: Duration = Duration::from_millis(2_000);

/// A back end that sent any data within this time is not silent.
const ACTIVITY_TIMEOUT: Duration = Duration::from_millis(400);

/// Recent health of a back end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HealthView {
    /// Share of failed requests, 0 to 1, decayed.
    pub failure_share: f64,
    /// Whether it recently could not be reached.
    pub unreachable: bool,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    failure_share: f64,
    sampled: Instant,
    unreachable_until: Option<Instant>,
    refusing_until: Option<Instant>,
}

impl Record {
    fn new(now: Instant) -> Self {
        Self { failure_share: 0.0, sampled: now, unreachable_until: None, refusing_until: None }
    }
}

/// The health of all back ends as seen by this node.
#[derive(Debug, Default)]
pub struct HealthTracker {
    records: Mutex<HashMap<BackendId, Record>>,
    /// Time at which each back end last sent any data, by the clock that stops while this process is stalled.
    activity: Mutex<HashMap<BackendId, Instant>>,
}

impl HealthTracker {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a back end sent any data; `now` is read from the clock that stops while this process is
    /// stalled.
    pub fn note_activity(&self, backend: &BackendId, now: Instant) {
        let mut activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        match activity.get_mut(backend) {
            Some(at) => *at = now,
            None => {
                activity.insert(backend.clone(), now);
            }
        }
    }

    /// Time at which a back end last sent any data to this node.
    pub fn last_activity(&self, backend: &BackendId) -> Option<Instant> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner).get(backend).copied()
    }

    /// Whether a back end recently sent any data to this node; `now` is read from the same clock as in
    /// [`Self::note_activity`].
    pub fn is_responsive(&self, backend: &BackendId, now: Instant) -> bool {
        let activity = self.last_activity(backend);
        activity.is_some_and(|activity| now.saturating_duration_since(activity) < ACTIVITY_TIMEOUT)
    }

    /// Records a completed request and whether it failed.
    pub fn note(&self, backend: &BackendId, failed: bool, now: Instant) {
        let mut records = self.lock();
        let record = records.entry(backend.clone()).or_insert_with(|| Record::new(now));
        let decayed = decayed(record, now);
        let sample = if failed { 1.0 } else { 0.0 };
        record.failure_share = decayed * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
        record.sampled = now;
        if !failed {
            record.unreachable_until = None;
        }
    }

    /// Records that a back end could not be reached or dropped a connection.
    pub fn note_unreachable(&self, backend: &BackendId, now: Instant) {
        self.note(backend, true, now);
        if let Some(record) = self.lock().get_mut(backend) {
            record.unreachable_until = Some(now + UNREACHABLE_FOR);
        }
    }

    /// Records that a back end refused a request, which is neither a success nor a failure.
    pub fn note_refused(&self, backend: &BackendId, now: Instant) {
        let mut records = self.lock();
        let record = records.entry(backend.clone()).or_insert_with(|| Record::new(now));
        record.refusing_until = Some(now + REFUSING_FOR);
    }

    /// Back ends that recently refused a request.
    pub fn refusing(&self, now: Instant) -> Vec<BackendId> {
        self.find(|record| record.refusing_until.is_some_and(|until| now < until))
    }

    /// Recent health of a back end.
    pub fn view(&self, backend: &BackendId, now: Instant) -> HealthView {
        let records = self.lock();
        let Some(record) = records.get(backend) else { return HealthView::default() };
        HealthView {
            failure_share: decayed(record, now),
            unreachable: record.unreachable_until.is_some_and(|until| now < until),
        }
    }

    /// Back ends that recently could not be reached.
    pub fn unreachable(&self, now: Instant) -> Vec<BackendId> {
        self.find(|record| record.unreachable_until.is_some_and(|until| now < until))
    }

    fn find(&self, matches_record: impl Fn(&Record) -> bool) -> Vec<BackendId> {
        let records = self.lock();
        let found = records.iter().filter(|(_, record)| matches_record(record));
        found.map(|(backend, _)| backend.clone()).collect()
    }

    /// Removes back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
        self.activity.lock().unwrap_or_else(PoisonError::into_inner).retain(|backend, _| is_known(backend));
    }
}

fn decayed(record: &Record, now: Instant) -> f64 {
    let age = now.saturating_duration_since(record.sampled).as_secs_f64();
    record.failure_share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
}
