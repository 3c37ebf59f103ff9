//! Prompts that this node placed at engines and that are not prefilled yet, by the rank of their requests.
//!
//! An engine prefills the most urgent prompt first, so a request waits for the prompt that is being prefilled
//! and for those that are at least as urgent, but not for the less urgent ones.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_admission::{LOWEST_PRIORITY_RANK, RANKS};
use beamwall_model::BackendId;
use tokio::time::Instant;

/// Mean time until a node has reported the requests placed for it. Until then only the placement node knows
/// of them.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// Prompts of one rank that wait.
#[derive(Debug, Clone, Copy, Default)]
struct RankQueue {
    prompts: u32,
    prefill_ms: f64,
}

impl RankQueue {
    /// Removes one prompt of the mean length and returns its prefill time.
    fn take_one(&mut self) -> f64 {
        let prefill_ms = self.prefill_ms / f64::from(self.prompts.max(1));
        self.prompts = self.prompts.saturating_sub(1);
        self.prefill_ms = if self.prompts == 0 { 0.0 } else { self.prefill_ms - prefill_ms };
        prefill_ms
    }
}

/// Prompts that this node placed at one engine.
#[derive(Debug, Clone)]
struct PrefillQueue {
    /// Time for which the other fields are valid.
    updated: Instant,
    /// Time left for the prompt that is being prefilled.
    current_ms: f64,
    /// Waiting prompts by rank.
    waiting: [RankQueue; RANKS],
    /// Times of the most recent placements.
    placed: VecDeque<Instant>,
}

impl PrefillQueue {
    fn new(now: Instant) -> Self {
        Self { updated: now, current_ms: 0.0, waiting: Default::default(), placed: VecDeque::new() }
    }

    /// Removes what was prefilled since the last update.
    fn advance(&mut self, now: Instant) {
        let mut elapsed_ms = now.saturating_duration_since(self.updated).as_secs_f64() * 1_000.0;
        self.updated = self.updated.max(now);
        while elapsed_ms >= self.current_ms {
            elapsed_ms -= self.current_ms;
            self.current_ms = 0.0;
            let Some(next) = self.waiting.iter_mut().find(|queue| queue.prompts > 0) else { return };
            self.current_ms = next.take_one();
        }
        self.current_ms -= elapsed_ms;
    }

    /// Adds a prompt. An idle engine begins with it at once.
    fn push(&mut self, rank: u8, prefill_ms: f64) {
        if self.current_ms <= 0.0 {
            self.current_ms = prefill_ms;
            return;
        }
        let waiting = &mut self.waiting[usize::from(rank.min(LOWEST_PRIORITY_RANK))];
        waiting.prompts += 1;
        waiting.prefill_ms += prefill_ms;
    }

    /// Time for which a request of this rank waits.
    fn ahead_ms(&self, rank: u8) -> f64 {
        let at_least_as_urgent = self.waiting.iter().take(usize::from(rank) + 1);
        self.current_ms + at_least_as_urgent.map(|queue| queue.prefill_ms).sum::<f64>()
    }
}

/// Prompts that this node placed, by engine.
#[derive(Debug, Default)]
pub struct PrefillQueues {
    queues: Mutex<HashMap<BackendId, PrefillQueue>>,
}

impl PrefillQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, PrefillQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests placed at an engine that their senders have not reported yet.
    pub fn unreported_requests(&self, backend: &BackendId, now: Instant) -> u32 {
        let queues = self.lock();
        let is_unreported = |placed: &&Instant| now.saturating_duration_since(**placed) < REPORT_DELAY;
        queues.get(backend).map_or(0, |queue| queue.placed.iter().filter(is_unreported).count() as u32)
    }

    /// Time for which an engine is still busy with prefill, in milliseconds.
    pub fn prefill_left_ms(&self, backend: &BackendId, now: Instant) -> f64 {
        self.prefill_ahead_ms(backend, LOWEST_PRIORITY_RANK, now)
    }

    /// Time for which a request of rank `rank` would wait for prefill at an engine, in milliseconds.
    pub fn prefill_ahead_ms(&self, backend: &BackendId, rank: u8, now: Instant) -> f64 {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(backend) else { return 0.0 };
        queue.advance(now);
        queue.ahead_ms(rank)
    }

    /// Records a placed prompt of the most urgent rank that takes `prefill_ms` to prefill.
    pub fn add(&self, backend: &BackendId, prefill_ms: f64, now: Instant) {
        self.add_with_rank(backend, 0, prefill_ms, now);
    }

    /// Records a placed prompt of rank `rank` that takes `prefill_ms` to prefill.
    pub fn add_with_rank(&self, backend: &BackendId, rank: u8, prefill_ms: f64, now: Instant) {
        let mut queues = self.lock();
        let queue = queues.entry(backend.clone()).or_insert_with(|| PrefillQueue::new(now));
        queue.advance(now);
        queue.push(rank, prefill_ms.max(0.0));
        queue.placed.retain(|placed| now.saturating_duration_since(*placed) < REPORT_DELAY);
        queue.placed.push_back(now);
    }

    /// Removes back ends that are gone.
    pub fn retain(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.lock().retain(|backend, _| is_known(backend));
    }
}
