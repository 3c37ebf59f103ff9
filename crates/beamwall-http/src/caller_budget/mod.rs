//! What one process holds for its callers: connections, and memory for their requests and responses.
//!
//! Limits of a single request don't bound what many callers take together: a few thousand connections with a request
//! of legal size each are more than a machine has. One [`CallerBudget`] therefore counts all of it: a fixed charge for
//! each connection, and the buffers of bodies by their capacity, from when they are allocated until they are freed.
//!
//! Where there is no room, whoever keeps the process waiting gives way ([`Ledger`] has the rules): the connection that
//! has waited longest for its caller, or the one that holds most while its caller sends or reads nothing. A request
//! that was received as a whole is never given up for another one. If nobody gives way, the newcomer is refused.
//! Large requests leave a part of the memory to small ones, so that a crowd of large ones keeps nobody else out.
//!
//! This package performs no input or output: the server closes the connections that give way.

mod budget;
mod held_bytes;
mod ledger;
mod limits;

pub use budget::{CallerBudget, CallerConnection, MemoryHold};
pub use held_bytes::HeldBuffer;
pub use ledger::{ConnectionId, Ledger, Phase, Shortage, Usage};
pub use limits::BudgetLimits;
