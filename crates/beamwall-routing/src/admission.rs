//! Admission: a bounded queue, ordered by service class and then by weighted fair queueing of tenants.
//!
//! A request for which no engine has room waits here. The most urgent class is admitted first; within
//! a class, tenants share capacity by weight, measured in tokens of work (start-time fair queueing).
//! A request that is not expected to be served before its deadline is rejected at once, with a delay
//! after which the caller may retry.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{ServiceClass, TenantName};
use quick_error::quick_error;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Weight of the newest sample in the smoothed interval between completions.
const INTERVAL_SMOOTHING: f64 = 0.1;
/// Estimate of the interval between two completed requests before any was measured.
const INITIAL_COMPLETION_INTERVAL: Duration = Duration::from_millis(50);
/// Units of virtual time for one token at weight 1 (fixed-point scale).
const VIRTUAL_SCALE: u64 = 1_000;

quick_error! {
    /// Why a request was not admitted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AdmissionError {
        /// The queue is full.
        QueueFull(retry_after: Duration) {
            display("the waiting queue is full")
        }
        /// The request is expected to wait beyond its deadline, or did.
        TooLate(retry_after: Duration) {
            display("the request cannot be served before its deadline")
        }
    }
}

impl AdmissionError {
    /// Delay after which the caller may retry.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::QueueFull(after) | Self::TooLate(after) => *after,
        }
    }
}

/// The properties of a request that decide on its admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Weight of the tenant in fair queueing.
    pub weight: u32,
    /// Service class; the more urgent one is admitted first.
    pub class: ServiceClass,
    /// Expected work in tokens.
    pub tokens: u32,
    /// Time until which the request may wait.
    pub deadline: Instant,
}

/// Position in the queue: class, virtual start time and arrival number.
type QueueKey = (ServiceClass, u64, u64);

#[derive(Debug)]
struct Waiter {
    admitted: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct State {
    capacity: usize,
    open: usize,
    waiting: BTreeMap<QueueKey, Waiter>,
    virtual_time: u64,
    virtual_finish_by_tenant: HashMap<TenantName, u64>,
    arrivals: u64,
    completion_interval: Duration,
    last_completion: Option<Instant>,
}

/// Admission queue of one service at one node.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: Mutex<State>,
}

/// Permits one open request. Dropping the permit admits the next waiting request.
#[derive(Debug)]
pub struct Permit {
    queue: Option<Arc<AdmissionQueue>>,
}

impl Permit {
    fn new(queue: &Arc<AdmissionQueue>) -> Self {
        Self { queue: Some(queue.clone()) }
    }

    /// Drops the permit without releasing its slot, so that the next request is not admitted.
    fn disarm(mut self) {
        self.queue = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release_slot();
        }
    }
}

impl AdmissionQueue {
    /// Creates a queue that admits up to `capacity` open requests at a time.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                capacity,
                open: 0,
                waiting: BTreeMap::new(),
                virtual_time: 0,
                virtual_finish_by_tenant: HashMap::new(),
                arrivals: 0,
                completion_interval: INITIAL_COMPLETION_INTERVAL,
                last_completion: None,
            }),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how many requests may be open and admits waiting ones up to that number.
    pub fn set_capacity(self: &Arc<Self>, capacity: usize) {
        self.lock().capacity = capacity;
        self.admit_waiting();
    }

    /// Numbers of open and of waiting requests.
    pub fn depth(&self) -> (usize, usize) {
        let state = self.lock();
        (state.open, state.waiting.len())
    }

    /// Waits until the request is admitted. Fails at once if `max_waiting` requests wait already or the
    /// expected wait exceeds the deadline; fails later if the deadline passes.
    pub async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest,
        max_waiting: usize,
    ) -> Result<Permit, AdmissionError> {
        let (key, admitted) = match self.enqueue(request, max_waiting)? {
            EnqueueResult::Admitted => return Ok(Permit::new(self)),
            EnqueueResult::Queued(key, admitted) => (key, admitted),
        };
        let remove_guard = RemoveOnDrop { queue: self, key };
        let result = tokio::time::timeout_at(request.deadline, admitted).await;
        drop(remove_guard);
        match result {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(AdmissionError::TooLate(self.retry_after())),
        }
    }

    fn enqueue(
        &self,
        request: &AdmissionRequest,
        max_waiting: usize,
    ) -> Result<EnqueueResult, AdmissionError> {
        let mut state = self.lock();
        if state.open < state.capacity && state.waiting.is_empty() {
            state.open += 1;
            let start = state.charge(request);
            state.virtual_time = state.virtual_time.max(start);
            return Ok(EnqueueResult::Admitted);
        }
        if state.waiting.len() >= max_waiting {
            return Err(AdmissionError::QueueFull(state.expected_wait(state.waiting.len())));
        }
        let start = state.charge(request);
        state.arrivals += 1;
        let key = (request.class, start, state.arrivals);
        let ahead = state.waiting.range(..key).count();
        let wait = state.expected_wait(ahead);
        if Instant::now() + wait > request.deadline {
            return Err(AdmissionError::TooLate(wait));
        }
        let (admitted, receiver) = oneshot::channel();
        state.waiting.insert(key, Waiter { admitted });
        Ok(EnqueueResult::Queued(key, receiver))
    }

    fn retry_after(&self) -> Duration {
        let state = self.lock();
        state.expected_wait(state.waiting.len())
    }

    fn release_slot(self: &Arc<Self>) {
        {
            let mut state = self.lock();
            state.open = state.open.saturating_sub(1);
            state.record_completion(Instant::now());
        }
        self.admit_waiting();
    }

    /// Admits waiting requests while there is capacity. If the receiver of a permit was dropped, the permit
    /// goes to the next request.
    fn admit_waiting(self: &Arc<Self>) {
        loop {
            let waiter = {
                let mut state = self.lock();
                if state.open >= state.capacity {
                    return;
                }
                let Some((key, waiter)) = state.waiting.pop_first() else { return };
                state.open += 1;
                state.virtual_time = state.virtual_time.max(key.1);
                waiter
            };
            let unclaimed = waiter.admitted.send(Permit::new(self));
            if let Err(permit) = unclaimed {
                permit.disarm();
                self.lock().open -= 1;
            }
        }
    }

    fn remove_waiting(&self, key: &QueueKey) {
        self.lock().waiting.remove(key);
    }
}

enum EnqueueResult {
    Admitted,
    Queued(QueueKey, oneshot::Receiver<Permit>),
}

struct RemoveOnDrop<'a> {
    queue: &'a AdmissionQueue,
    key: QueueKey,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.queue.remove_waiting(&self.key);
    }
}

impl State {
    /// Advances the tenant's virtual finish time by the work of the request and returns the request's virtual
    /// start time.
    fn charge(&mut self, request: &AdmissionRequest) -> u64 {
        let work = u64::from(request.tokens.max(1)) * VIRTUAL_SCALE / u64::from(request.weight.max(1));
        let finish = self.virtual_finish_by_tenant.get(&request.tenant).copied().unwrap_or(0);
        let start = finish.max(self.virtual_time);
        self.virtual_finish_by_tenant.insert(request.tenant.clone(), start + work);
        start
    }

    fn record_completion(&mut self, now: Instant) {
        if let Some(last) = self.last_completion {
            let sample = now.duration_since(last).min(Duration::from_secs(5));
            let smoothed = self.completion_interval.as_secs_f64() * (1.0 - INTERVAL_SMOOTHING)
                + sample.as_secs_f64() * INTERVAL_SMOOTHING;
            self.completion_interval = Duration::from_secs_f64(smoothed);
        }
        self.last_completion = Some(now);
    }

    /// Expected wait of a request that has `ahead` requests before it in the queue.
    fn expected_wait(&self, ahead: usize) -> Duration {
        self.completion_interval * u32::try_from(ahead + 1).unwrap_or(u32::MAX)
    }
}
