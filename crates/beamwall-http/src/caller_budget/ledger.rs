//! The rules: who gets room, and who gives way.

use std::collections::BTreeMap;
use std::time::Duration;

use quick_error::quick_error;
use tokio::time::Instant;

use super::limits::BudgetLimits;

/// Connections take at most the memory divided by this; the rest is for bodies.
const CONNECTIONS_DIVISOR: usize = 2;
/// A connection that holds no more than this is small, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// The memory divided by this is left to small connections.
const SMALL_RESERVE_DIVISOR: usize = 4;
/// Time without progress after which a caller counts as paused.
const PAUSE: Duration = Duration::from_millis(500);
/// Received or sent bytes that count as progress: single bytes now and then don't.
const PROGRESS_BYTES: usize = 16 << 10;

quick_error! {
    /// What is short.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Shortage {
        /// There is no memory, and nobody who holds any gives way.
        Memory {
            display("callers hold all the memory there is for them")
        }
        /// There is no room for another connection, and none gives way.
        Connections {
            display("callers have all the connections there are for them")
        }
    }
}

impl Shortage {
    /// The name used in logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
        }
    }
}

/// Whose turn it is on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The caller's: it is to send a request head, or to read the rest of its last response.
    AwaitingRequest,
    /// The caller's: it is to send the rest of a request body.
    ReceivingBody,
    /// The process's: a whole request was received, and its response is not complete.
    Serving,
}

/// Identifies a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What callers hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Open connections.
    pub connections: usize,
    /// Memory in bytes.
    pub memory_bytes: usize,
}

#[derive(Debug, Clone)]
struct Connection {
    phase: Phase,
    /// Its fixed charge.
    charge_bytes: usize,
    /// Buffers of its requests and responses.
    held_bytes: usize,
    progressed: Instant,
    /// Bytes received or sent since then.
    moved_bytes: usize,
    /// Why it gave way. What it held counts no more.
    evicted: Option<Shortage>,
}

impl Connection {
    fn waits_for_caller(&self) -> bool {
        self.evicted.is_none() && self.phase != Phase::Serving
    }

    fn is_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.progressed) >= PAUSE
    }
}

/// What callers hold, connection by connection.
#[derive(Debug, Clone)]
pub struct Ledger {
    limits: BudgetLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next: u64,
    /// Connections that did not give way.
    open: usize,
    charged_bytes: usize,
    held_bytes: usize,
    /// Connections that gave way and were not told yet.
    evicted: Vec<ConnectionId>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next: 0,
            open: 0,
            charged_bytes: 0,
            held_bytes: 0,
            evicted: Vec::new(),
        }
    }

    /// Opens a connection that is charged so many bytes. Others may give way to it.
    pub fn open(&mut self, charge_bytes: usize, now: Instant) -> Result<ConnectionId, Shortage> {
        while !self.has_room_for_connection(charge_bytes) {
            let victim = self.longest_waiting().ok_or(Shortage::Connections)?;
            self.evict(victim, Shortage::Connections);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        self.open += 1;
        self.charged_bytes += charge_bytes;
        let connection = Connection {
            phase: Phase::AwaitingRequest,
            charge_bytes,
            held_bytes: 0,
            progressed: now,
            moved_bytes: 0,
            evicted: None,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Closes a connection that holds nothing any more.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if connection.evicted.is_none() {
            self.stop_counting(&connection);
        }
    }

    /// Takes memory for a connection. Others may give way to it.
    pub fn take(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> Result<(), Shortage> {
        let Some(taker) = self.connections.get(&id).filter(|taker| taker.evicted.is_none()) else {
            return Err(Shortage::Memory);
        };
        let is_small = taker.held_bytes.saturating_add(bytes) <= SMALL_BYTES;
        while self.room_for_bodies(is_small) < bytes {
            let victim = self.paused_holder(id, now).or_else(|| self.large_receiver(id, is_small));
            let victim = victim.ok_or(Shortage::Memory)?;
            self.evict(victim, Shortage::Memory);
        }
        if let Some(taker) = self.connections.get_mut(&id) {
            taker.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Ok(())
    }

    /// Gives memory of a connection back.
    pub fn give_back(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held_bytes -= bytes;
        if connection.evicted.is_none() {
            self.held_bytes -= bytes;
        }
    }

    /// Records whose turn it is on a connection. It fails for one that gave way and is about to be closed.
    pub fn begin(&mut self, id: ConnectionId, phase: Phase, now: Instant) -> Result<(), Shortage> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        connection.phase = phase;
        connection.progressed = now;
        connection.moved_bytes = 0;
        connection.evicted.map_or(Ok(()), Err)
    }

    /// Records bytes that a caller sent or read.
    pub fn note_moved(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.moved_bytes += bytes;
        if connection.moved_bytes >= PROGRESS_BYTES {
            connection.progressed = now;
            connection.moved_bytes = 0;
        }
    }

    /// Why a connection gave way; `None` if it did not.
    pub fn eviction(&self, id: ConnectionId) -> Option<Shortage> {
        self.connections.get(&id)?.evicted
    }

    /// The connections that gave way since the last call. They must be closed.
    pub fn take_evicted(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.evicted)
    }

    /// What callers hold now.
    pub fn usage(&self) -> Usage {
        Usage { connections: self.open, memory_bytes: self.charged_bytes + self.held_bytes }
    }

    fn has_room_for_connection(&self, charge_bytes: usize) -> bool {
        let charged_bytes = self.charged_bytes.saturating_add(charge_bytes);
        self.open < self.limits.connections
            && charged_bytes <= self.limits.memory_bytes / CONNECTIONS_DIVISOR
            && charged_bytes.saturating_add(self.held_bytes) <= self.limits.memory_bytes
    }

    /// Memory left for bodies, in bytes.
    fn room_for_bodies(&self, of_small_connection: bool) -> usize {
        let reserve_bytes = self.limits.memory_bytes / SMALL_RESERVE_DIVISOR;
        let kept_bytes = if of_small_connection { 0 } else { reserve_bytes };
        let used_bytes = self.charged_bytes + self.held_bytes;
        (self.limits.memory_bytes - kept_bytes).saturating_sub(used_bytes)
    }

    /// The connection that has waited longest for its caller. One without a request gives way first.
    fn longest_waiting(&self) -> Option<ConnectionId> {
        let waiting = self.connections.iter().filter(|(_, connection)| connection.waits_for_caller());
        let first =
            waiting.min_by_key(|(_, waiting)| (waiting.phase == Phase::ReceivingBody, waiting.progressed));
        first.map(|(id, _)| *id)
    }

    /// Of the other connections whose callers have paused, the one that holds most.
    fn paused_holder(&self, taker: ConnectionId, now: Instant) -> Option<ConnectionId> {
        self.largest_holder(taker, |holder| holder.is_paused(now) && holder.held_bytes > 0)
    }

    /// For a small connection: of the others that are not, and whose callers are to send or read, the largest.
    fn large_receiver(&self, taker: ConnectionId, taker_is_small: bool) -> Option<ConnectionId> {
        self.largest_holder(taker, |holder| taker_is_small && holder.held_bytes > SMALL_BYTES)
    }

    fn largest_holder(
        &self,
        taker: ConnectionId,
        may_give_way: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionId> {
        let others = self.connections.iter().filter(|(id, _)| **id != taker);
        let holders = others.filter(|(_, holder)| holder.waits_for_caller() && may_give_way(holder));
        holders.max_by_key(|(_, holder)| holder.held_bytes).map(|(id, _)| *id)
    }

    fn evict(&mut self, id: ConnectionId, shortage: Shortage) {
        let Some(victim) = self.connections.get_mut(&id) else { return };
        victim.evicted = Some(shortage);
        let victim = victim.clone();
        self.stop_counting(&victim);
        self.evicted.push(id);
    }

    fn stop_counting(&mut self, connection: &Connection) {
        self.open -= 1;
        self.charged_bytes -= connection.charge_bytes;
        self.held_bytes -= connection.held_bytes;
    }
}
