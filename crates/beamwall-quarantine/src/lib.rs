//! Quarantines requests that repeatedly terminate the back ends that run them (poison requests).
//!
//! A request may terminate every back end that starts to run it, and its caller may send it again under
//! another request identifier or to another node. Attempt limits apply to a single request identifier
//! and retry budgets to a whole service, so neither stops such a request. In this package
//!
//! - a request is identified by its [`Fingerprint`]: caller, host, path and body. What terminates back ends may
//!   also be a part of prompts that many requests share, whatever else they hold; such a part has a
//!   [`Fingerprint`] of its own and is treated like a request, unless answers on it are completed
//!   ([`sound_parts`]);
//! - every node records which requests were open at a back end when it terminated ([`evidence`]), and
//!   all nodes exchange these records;
//! - a request that was open at the termination of [`TERMINATIONS_UNTIL_HELD`] back ends is held
//!   ([`hold_decision`]), unless another request explains these terminations better or the request has
//!   completed since;
//! - a termination does not count against a suspect which another back end has survived for longer than the
//!   terminated one ran it: it survived what the suspect is suspected of. Terminations that may have one cause outside
//!   count once, or leave the suspect in doubt ([`common_cause`]);
//! - back ends of one software version may terminate under what those of another run, so a request is held for the
//!   versions that terminate only, once another one is known to run it ([`held_versions`]);
//! - a held request is refused immediately, except for a few trials at long intervals ([`limits`]), so
//!   that a request that only ran alongside the culprit is not refused permanently;
//! - a [`QuarantineRegistry`] holds all of this state. Its memory is bounded, and nodes that received
//!   the same evidence have equal registries.
//!
//! This package performs no input or output.

pub mod admission;
pub mod common_cause;
pub mod evidence;
pub mod fingerprint;
pub mod held_versions;
pub mod hold_decision;
pub mod limits;
pub mod registry;
pub mod sound_parts;
pub mod suspect;
pub mod writing_progress;

pub use admission::{Admission, HeldRequest};
pub use evidence::{
    BackEndExposures, Completion, CompletionBasis, Evidence, OpenSuspect, Survival, Termination, Trial,
};
pub use fingerprint::{Fingerprint, FingerprintHasher};
pub use held_versions::HeldVersions;
pub use limits::TERMINATIONS_UNTIL_HELD;
pub use registry::{QuarantineRegistry, RequestStatus};
pub use sound_parts::SoundParts;
pub use suspect::Suspect;
pub use writing_progress::WritingProgress;
