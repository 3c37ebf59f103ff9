//! Slow start: how many requests a server gets that has just started or recovered.
//!
//! A server without a record may be cold, so a flood makes its first callers late or ends it; left alone, it stays
//! idle while others are loaded. Until it has shown what it can do, such a server gets a [`share`](PaceTracker::share)
//! of the part that it would get as one of several equal servers. The share grows while the server responds as fast as
//! is expected of it, and stays at what its response times allow while they are longer ([`ramp`]).
//!
//! Every node applies the share to the requests that it sends or places itself, at random ([`selection`]), so all nodes
//! together send that share whatever their number, without a message.
//!
//! A pace is advice for the choice among servers, never a reason to reject a request or to let it wait: it gives way
//! where the other servers are busy. This package performs no input or output.

pub mod ramp;
pub mod selection;
mod tracker;

pub use ramp::Ramp;
pub use selection::{PacedCandidate, Selection, select};
pub use tracker::{PaceCause, PaceTracker};
