//! Chooses the lasting speeds that a heartbeat carries, so that its size stays bounded.

use std::collections::HashMap;
use std::time::Duration;

use beamwall_model::BackendId;
use tokio::time::Instant;

use crate::lasting_speed::LastingObservation;

/// Change of the mean logarithm at which a record is told again.
const MIN_REPORTED_CHANGE: f64 = 0.1;
/// Time after which an unchanged record is told again, for peers that missed it or have just started.
const REPEAT_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of changed records per heartbeat, at about 45 bytes each.
const MAX_CHANGED: usize = 16;
/// Maximum number of repeated records per heartbeat.
const MAX_REPEATED: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Told {
    mean: f64,
    at: Instant,
}

/// What was told of each back end.
#[derive(Debug, Default)]
pub(crate) struct LastingReports {
    told: HashMap<BackendId, Told>,
}

impl LastingReports {
    /// Selects the records to tell now, and counts them as told. A record that was never told is due if it is
    /// notable.
    pub(crate) fn select(
        &mut self,
        records: impl Iterator<Item = (BackendId, LastingObservation)>,
        is_notable: impl Fn(&BackendId) -> bool,
        now: Instant,
    ) -> Vec<(BackendId, LastingObservation)> {
        let (mut changed, mut repeated) = (Vec::new(), Vec::new());
        for (backend, record) in records {
            match self.told.get(&backend) {
                None if is_notable(&backend) => changed.push((backend, record)),
                None => {}
                Some(told) if has_changed(told, record) => changed.push((backend, record)),
                Some(told) => {
                    let age = now.saturating_duration_since(told.at);
                    if age >= REPEAT_PERIOD && is_notable(&backend) {
                        repeated.push((age, backend, record));
                    }
                }
            }
        }
        changed.truncate(MAX_CHANGED);
        repeated.sort_by_key(|(age, ..)| std::cmp::Reverse(*age));
        repeated.truncate(MAX_REPEATED.saturating_sub(changed.len()));
        changed.extend(repeated.into_iter().map(|(_, backend, record)| (backend, record)));
        for (backend, record) in &changed {
            self.told.insert(backend.clone(), Told { mean: record.logarithms / record.weight, at: now });
        }
        changed
    }

    /// Drops back ends that no longer exist.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.told.retain(|backend, _| is_known(backend));
    }
}

fn has_changed(told: &Told, record: LastingObservation) -> bool {
    (record.logarithms / record.weight - told.mean).abs() >= MIN_REPORTED_CHANGE
}
