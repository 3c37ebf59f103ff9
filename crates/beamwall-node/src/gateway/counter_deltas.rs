//! Leaves figures out of heartbeats that the receivers know already.
//!
//! Counts only grow, so a receiver that misses one heartbeat learns them with a later one. A figure is told in some heartbeats
//! after each change, and all are told now and then, for nodes that lost those or have just started.

use std::collections::HashMap;
use std::hash::Hash;

/// Heartbeats in which a changed figure is told: messages to a busy peer are dropped, but seldom three in a row.
const SENDS_PER_CHANGE: u32 = 3;
/// Heartbeats from one that tells all figures to the next: who was cut off for longer learns them within three seconds.
const FULL_REPORT_INTERVAL: u32 = 3;

/// The figures that one node tells.
#[derive(Debug)]
pub struct CounterDeltas<K> {
    sent: HashMap<K, SentCounter>,
    heartbeats: u32,
}

#[derive(Debug, Clone, Copy)]
struct SentCounter {
    value: u64,
    sends: u32,
}

impl<K> Default for CounterDeltas<K> {
    fn default() -> Self {
        Self { sent: HashMap::new(), heartbeats: 0 }
    }
}

impl<K: Hash + Eq + Clone> CounterDeltas<K> {
    /// Of the figures of now those that belong into the next heartbeat. Figures that are not among them are forgotten.
    pub fn next_report(&mut self, counters: Vec<(K, u64)>) -> Vec<(K, u64)> {
        let is_full_report = self.heartbeats.is_multiple_of(FULL_REPORT_INTERVAL);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let before = std::mem::take(&mut self.sent);
        let mut due = Vec::new();
        for (key, value) in counters {
            let same = before.get(&key).filter(|sent| sent.value == value);
            let sends = same.map_or(0, |sent| sent.sends);
            let is_due = is_full_report || sends < SENDS_PER_CHANGE;
            self.sent.insert(key.clone(), SentCounter { value, sends: sends + u32::from(is_due) });
            if is_due {
                due.push((key, value));
            }
        }
        due
    }
}
