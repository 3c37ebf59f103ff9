//! The ledger as the tasks of all connections share it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

use super::ledger::{ConnectionId, Ledger, Phase, Shortage, Usage};
use super::limits::BudgetLimits;

/// Charge for a connection besides the buffer of its request head, in bytes: its task, a buffer for writing, and what
/// its socket holds.
const CONNECTION_BYTES: usize = 48 << 10;

struct Shared {
    ledger: Ledger,
    /// The connections that can be told to close.
    open: HashMap<ConnectionId, Arc<Notify>>,
}

impl Shared {
    fn close_evicted(&mut self) {
        let evicted = self.ledger.take_evicted();
        for notify in evicted.iter().filter_map(|id| self.open.get(id)) {
            // The one task that serves the connection waits for it, now or later.
            notify.notify_one();
        }
    }
}

/// What all callers of a process hold. Clones share it.
#[derive(Clone)]
pub struct CallerBudget {
    shared: Arc<Mutex<Shared>>,
}

impl CallerBudget {
    /// Nothing is held yet.
    pub fn new(limits: BudgetLimits) -> Self {
        let shared = Shared { ledger: Ledger::new(limits), open: Default::default() };
        Self { shared: Arc::new(Mutex::new(shared)) }
    }

    /// A budget that bounds nothing.
    pub fn unlimited() -> Self {
        Self::new(BudgetLimits::UNLIMITED)
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes room for a connection whose request heads have at most so many bytes. Others may have to close for it.
    pub fn open(&self, head_bytes: usize) -> Result<CallerConnection, Shortage> {
        let mut shared = self.lock();
        let charge_bytes = head_bytes.saturating_add(CONNECTION_BYTES);
        let opened = shared.ledger.open(charge_bytes, Instant::now());
        shared.close_evicted();
        let id = opened?;
        let evicted: Arc<Notify> = Arc::default();
        shared.open.insert(id, evicted.clone());
        let place = Arc::new(Place { budget: self.clone(), id, evicted });
        Ok(CallerConnection { place })
    }

    /// What callers hold now.
    pub fn usage(&self) -> Usage {
        self.lock().ledger.usage()
    }
}

/// A connection's place in the budget.
struct Place {
    budget: CallerBudget,
    id: ConnectionId,
    evicted: Arc<Notify>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut shared = self.budget.lock();
        shared.open.remove(&self.id);
        shared.ledger.close(self.id);
    }
}

/// A caller's connection. Clones share it; its room is free once the last one and all its memory are dropped.
#[derive(Clone)]
pub struct CallerConnection {
    place: Arc<Place>,
}

impl std::fmt::Debug for CallerConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("CallerConnection").field(&self.place.id).finish()
    }
}

impl CallerConnection {
    /// A connection in a budget of its own, which bounds nothing.
    pub fn unlimited() -> Self {
        let budget = CallerBudget::unlimited();
        // There is always room without limits.
        let id = budget.lock().ledger.open(0, Instant::now()).unwrap_or_default();
        Self { place: Arc::new(Place { budget, id, evicted: Arc::default() }) }
    }

    /// Records that it is the caller's turn, to send a request or its body.
    pub fn begin_waiting(&self, phase: Phase) {
        // One that gave way is closed before it is served.
        let _ = self.begin(phase);
    }

    /// Records that a whole request was received. It fails where the connection gave way meanwhile: its request must
    /// not be sent on, since the connection is closed without a response.
    pub fn begin_serving(&self) -> Result<(), Shortage> {
        self.begin(Phase::Serving)
    }

    fn begin(&self, phase: Phase) -> Result<(), Shortage> {
        self.place.budget.lock().ledger.begin(self.place.id, phase, Instant::now())
    }

    /// Records bytes that the caller sent or read.
    pub fn note_moved(&self, bytes: usize) {
        self.place.budget.lock().ledger.note_moved(self.place.id, bytes, Instant::now());
    }

    /// Returns why the connection must be closed, once it must.
    pub async fn evicted(&self) -> Shortage {
        loop {
            if let Some(shortage) = self.place.budget.lock().ledger.eviction(self.place.id) {
                return shortage;
            }
            self.place.evicted.notified().await;
        }
    }

    /// Holds no memory yet.
    pub fn hold(&self) -> MemoryHold {
        MemoryHold { connection: self.clone(), bytes: 0 }
    }

    fn take(&self, bytes: usize) -> Result<(), Shortage> {
        let mut shared = self.place.budget.lock();
        let taken = shared.ledger.take(self.place.id, bytes, Instant::now());
        shared.close_evicted();
        taken
    }

    fn give_back(&self, bytes: usize) {
        self.place.budget.lock().ledger.give_back(self.place.id, bytes);
    }
}

/// Memory held for a caller. It is given back when dropped.
#[derive(Debug)]
pub struct MemoryHold {
    connection: CallerConnection,
    bytes: usize,
}

impl MemoryHold {
    /// Takes so many bytes more.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Shortage> {
        if bytes == 0 {
            return Ok(());
        }
        self.connection.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Takes or gives back what it needs to hold so many bytes.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Shortage> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.grow(more),
            None => {
                self.shrink(self.bytes - bytes);
                Ok(())
            }
        }
    }

    /// Gives so many bytes back.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        if bytes > 0 {
            self.bytes -= bytes;
            self.connection.give_back(bytes);
        }
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.connection.give_back(self.bytes);
        }
    }
}
