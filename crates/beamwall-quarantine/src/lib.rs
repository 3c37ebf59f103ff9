//! Keeps requests under which back ends end away from further ones.
//!
//! A request may end each back end that begins to run it, and its caller sends it again: under another identifier, at another
//! node. Limits of attempts hold for one try and retry budgets for a whole service, so neither stops it. Here
//!
//! - a request is known by its [`Fingerprint`]: caller, host, path and body;
//! - every node notes which requests were open at a back end that ended ([`evidence`]), and all nodes tell each other;
//! - who was open at the end of [`ENDINGS_UNTIL_HELD`] back ends is held ([`verdict`]), unless another request explains these
//!   ends better, or it has run to an end since;
//! - what is held is refused at once, but for a few trials at long intervals ([`terms`]), so that a request that only ran
//!   beside the culprit is not refused for good;
//! - all of that is one [`QuarantineBook`], bounded in memory, equal at all nodes that have heard the same.
//!
//! This package performs no input or output.

pub mod admission;
pub mod evidence;
pub mod fingerprint;
pub mod hold_decision;
pub mod limits;
pub mod registry;
pub mod suspect;

pub use admission::{Admission, HeldRequest};
pub use evidence::{Completion, Evidence, Termination, Trial};
pub use fingerprint::{Fingerprint, FingerprintHasher};
pub use limits::TERMINATIONS_UNTIL_HELD;
pub use registry::{QuarantineRegistry, RequestStatus};
pub use suspect::Suspect;
