//! Leaves figures out of heartbeats that the receivers know already.
//!
//! Counts only grow, so a receiver that misses one heartbeat learns them with a later one. A figure is told in some heartbeats
//! after each change, and all are told now and then, for nodes that lost those or have just started.

use std::collections::HashMap;
use std::hash::Hash;

/// Heartbeats in which a changed figure is told: messages to a busy peer are dropped, but seldom three in a row.
const TOLD_TIMES: u32 = 3;
/// Heartbeats from one that tells all figures to the next: who was cut off for longer learns them within three seconds.
const ALL_TOLD_EVERY: u32 = 3;

/// The figures that one node tells.
#[derive(Debug)]
pub struct ToldFigures<K> {
    told: HashMap<K, Told>,
    heartbeats: u32,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    figure: u64,
    times: u32,
}

impl<K> Default for ToldFigures<K> {
    fn default() -> Self {
        Self { told: HashMap::new(), heartbeats: 0 }
    }
}

impl<K: Hash + Eq + Clone> ToldFigures<K> {
    /// Of the figures of now those that belong into the next heartbeat. Figures that are not among them are forgotten.
    pub fn next(&mut self, figures: Vec<(K, u64)>) -> Vec<(K, u64)> {
        let tells_all = self.heartbeats.is_multiple_of(ALL_TOLD_EVERY);
        self.heartbeats = self.heartbeats.wrapping_add(1);
        let before = std::mem::take(&mut self.told);
        let mut due = Vec::new();
        for (key, figure) in figures {
            let same = before.get(&key).filter(|told| told.figure == figure);
            let times = same.map_or(0, |told| told.times);
            let is_told = tells_all || times < TOLD_TIMES;
            self.told.insert(key.clone(), Told { figure, times: times + u32::from(is_told) });
            if is_told {
                due.push((key, figure));
            }
        }
        due
    }
}
