//! Entries of the list of back ends that can't be parsed: all are counted, and each is logged once.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};

use beamwall_events::emit;
use beamwall_events::internal_events::EntryUnreadable;
use beamwall_gateway::ports::UnreadableEntry;
use prometheus::{IntCounter, Registry};

use crate::gateway::log_text::shortened;

/// Limit of the entries remembered as logged; beyond it all are forgotten, and those still present are logged
/// again.
const MAX_REMEMBERED: usize = 1_024;

/// Counts and logs unreadable entries.
#[derive(Debug)]
pub struct UnreadableEntries {
    read: IntCounter,
    logged: Mutex<HashSet<String>>,
}

impl UnreadableEntries {
    /// Registers the counter.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let name = "beamwall_gateway_unreadable_entries_total";
        let read = IntCounter::new(name, "entries of the list of back ends read that name no back end")?;
        registry.register(Box::new(read.clone()))?;
        Ok(Self { read, logged: Mutex::default() })
    }

    /// Counts entries that were skipped and logs new ones.
    pub fn note(&self, entries: &[UnreadableEntry]) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            self.read.inc();
            if logged.len() >= MAX_REMEMBERED {
                logged.clear();
            }
            let name = shortened(&entry.name);
            if logged.insert(name.clone()) {
                emit(&EntryUnreadable { entry: name, reason: shortened(&entry.reason) });
            }
        }
    }
}
