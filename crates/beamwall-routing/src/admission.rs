//! Admission: bounded waiting, ordered by class and then fairly by tenant.
//!
//! A request that finds every engine full waits here. Among waiting requests the most urgent class
//! goes first; within a class, tenants share by weight on tokens of work (start-time fair queueing).
//! A request that cannot be served before its deadline is refused at once, with the time after
//! which to come back.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beamwall_model::{ServiceClass, TenantName};
use quick_error::quick_error;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Weight of the newest service time in the estimate.
const INTERVAL_SMOOTHING: f64 = 0.1;
/// First estimate of the time between two ends of requests.
const INITIAL_COMPLETION_INTERVAL: Duration = Duration::from_millis(50);
/// Fixed point of virtual time.
const VIRTUAL_SCALE: u64 = 1_000;

quick_error! {
    /// Why a request is not admitted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AdmissionError {
        /// The queue is full.
        QueueFull(retry_after: Duration) {
            display("the waiting queue is full")
        }
        /// The request would wait past its deadline.
        TooLate(retry_after: Duration) {
            display("the request cannot be served before its deadline")
        }
    }
}

impl AdmissionError {
    /// When to come back.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::QueueFull(after) | Self::TooLate(after) => *after,
        }
    }
}

/// A request that asks to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Tenant.
    pub tenant: TenantName,
    /// Weight of the tenant.
    pub weight: u32,
    /// Class.
    pub class: ServiceClass,
    /// Tokens of work.
    pub tokens: u32,
    /// When the caller gives up.
    pub deadline: Instant,
}

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

/// The queue of one service at one node.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: Mutex<State>,
}

/// The right to have one request open; dropping it admits the next.
#[derive(Debug)]
pub struct Permit {
    queue: Option<Arc<AdmissionQueue>>,
}

impl Permit {
    fn new(queue: &Arc<AdmissionQueue>) -> Self {
        Self { queue: Some(queue.clone()) }
    }

    /// Gives the permit up without admitting the next request.
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
    /// A queue that admits `capacity` open requests.
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

    /// Changes how many requests may be open.
    pub fn set_capacity(self: &Arc<Self>, capacity: usize) {
        self.lock().capacity = capacity;
        self.admit_waiting();
    }

    /// Requests that are open and that wait.
    pub fn depth(&self) -> (usize, usize) {
        let state = self.lock();
        (state.open, state.waiting.len())
    }

    /// Waits for admission.
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

    /// Hands out permits. One whose receiver has gone goes to the next in the queue.
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
    /// Charges a tenant's virtual time; returns the request's virtual start.
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

    /// Expected wait of a request with `ahead` others before it.
    fn expected_wait(&self, ahead: usize) -> Duration {
        self.completion_interval * u32::try_from(ahead + 1).unwrap_or(u32::MAX)
    }
}
