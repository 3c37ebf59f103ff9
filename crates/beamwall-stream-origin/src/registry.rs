//! The `OriginRegistry`: the origins of streams known to one node.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{EngineVersion, ServiceName};
use tokio::time::Instant;

use crate::key::StreamKey;

/// Records of one node. One takes about 150 bytes, so the registry stays below 5 MB. Beyond this number the
/// oldest record is dropped.
pub const MAX_RECORDS: usize = 32_768;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The software version of the engine.
    pub version: EngineVersion,
}

/// The origin of one stream, as sent between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Its origin.
    pub origin: StreamOrigin,
    /// Time for which the record is kept from now on.
    pub valid_for: Duration,
}

/// An origin that this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// Time since this node recorded it.
    pub age: Duration,
}

/// What a node knows of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginLookup {
    /// Its origin.
    Known(KnownOrigin),
    /// Streams of two origins began under its key.
    Ambiguous,
    /// Nothing.
    Unknown,
}

/// The origins known to one node: those of its own streams and those that other nodes sent.
#[derive(Debug, Default)]
pub struct OriginRegistry {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    records: HashMap<StreamKey, Held>,
    /// All records, in the order in which they were first recorded.
    in_order: VecDeque<StreamKey>,
    /// Origins of this node's own streams that were not sent to other nodes.
    unsent: HashMap<ServiceName, Vec<(StreamKey, Held)>>,
}

#[derive(Debug, Clone)]
struct Held {
    origin: StreamOrigin,
    recorded_at: Instant,
    valid_until: Instant,
    /// Whether a stream of another origin began under the same key.
    is_ambiguous: bool,
}

impl OriginRegistry {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the origin of a stream that this node began or goes on with.
    pub fn record(&self, record: OriginRecord, now: Instant) {
        let (key, held) = (record.key, Held::new(record, now));
        let mut state = self.lock();
        if state.keep(key, held.clone(), now) {
            state.unsent.entry(held.origin.service.clone()).or_default().push((key, held));
        }
    }

    /// Merges a record that another node sent.
    pub fn merge(&self, record: OriginRecord, now: Instant) {
        self.lock().keep(record.key, Held::new(record, now), now);
    }

    /// Returns what is known of a stream's origin.
    pub fn find(&self, key: &StreamKey, now: Instant) -> OriginLookup {
        let state = self.lock();
        match state.records.get(key).filter(|held| held.valid_until > now) {
            None => OriginLookup::Unknown,
            Some(held) if held.is_ambiguous => OriginLookup::Ambiguous,
            Some(held) => {
                let age = now.saturating_duration_since(held.recorded_at);
                OriginLookup::Known(KnownOrigin { origin: held.origin.clone(), age })
            }
        }
    }

    /// Takes the records of a service that were not sent to other nodes yet.
    pub fn take_unsent(&self, service: &ServiceName, now: Instant) -> Vec<OriginRecord> {
        let unsent = self.lock().unsent.remove(service).unwrap_or_default();
        let valid = unsent.into_iter().filter(|(_, held)| held.valid_until > now);
        valid
            .map(|(key, held)| OriginRecord { key, origin: held.origin, valid_for: held.valid_until - now })
            .collect()
    }

    /// Services with records that were not sent to other nodes yet.
    pub fn unsent_services(&self) -> Vec<ServiceName> {
        self.lock().unsent.keys().cloned().collect()
    }

    /// Removes the records whose time is over.
    pub fn remove_expired(&self, now: Instant) {
        let mut state = self.lock();
        let State { records, in_order, unsent } = &mut *state;
        records.retain(|_, held| held.valid_until > now);
        in_order.retain(|key| records.contains_key(key));
        for of_service in unsent.values_mut() {
            of_service.retain(|(_, held)| held.valid_until > now);
        }
        unsent.retain(|_, of_service| !of_service.is_empty());
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.lock().records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Held {
    fn new(record: OriginRecord, now: Instant) -> Self {
        let OriginRecord { origin, valid_for, .. } = record;
        Self { origin, recorded_at: now, valid_until: now + valid_for, is_ambiguous: false }
    }
}

impl State {
    /// Keeps the origin of a stream, or extends the time of the one that is held; returns whether anything
    /// changed.
    fn keep(&mut self, key: StreamKey, new: Held, now: Instant) -> bool {
        match self.records.get_mut(&key) {
            Some(held) if held.valid_until > now => held.merge(&new),
            Some(held) => {
                *held = new;
                true
            }
            None => {
                if self.records.len() >= MAX_RECORDS {
                    self.drop_oldest();
                }
                self.records.insert(key, new);
                self.in_order.push_back(key);
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.in_order.pop_front() else { return };
        let Some(dropped) = self.records.remove(&key) else { return };
        if let Some(of_service) = self.unsent.get_mut(&dropped.origin.service) {
            of_service.retain(|(unsent, _)| *unsent != key);
        }
    }
}

impl Held {
    /// Merges another record of the same key; returns whether anything changed.
    fn merge(&mut self, other: &Held) -> bool {
        let is_extended = other.valid_until > self.valid_until;
        let becomes_ambiguous = !self.is_ambiguous && other.origin != self.origin;
        self.valid_until = self.valid_until.max(other.valid_until);
        self.is_ambiguous |= becomes_ambiguous;
        is_extended || becomes_ambiguous
    }
}
