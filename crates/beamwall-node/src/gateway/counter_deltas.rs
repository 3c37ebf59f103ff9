//! Omits from heartbeats the counters that the receivers already know.
//!
//! Counters only grow, so a receiver that loses one heartbeat catches up with a later one. A counter is sent
//! in several heartbeats after each change, and a full report goes out periodically for nodes that lost those
//! heartbeats or have just started.

use std::collections::HashMap;
use std::hash::Hash;

/// Heartbeats that carry a changed counter: messages to a busy peer are dropped, but seldom three in a row.
const SENDS_PER_CHANGE: u32 = 3;
/// Interval of full reports, in heartbeats: a node that was cut off for longer catches up within three
/// seconds.
const FULL_REPORT_INTERVAL: u32 = 3;

/// The counters that one node reports to its peers.
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
    /// Returns the counters that belong in the next heartbeat. Counters missing from `counters` are dropped.
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
