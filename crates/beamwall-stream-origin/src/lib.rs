//! The origin of a stream: the service and the software version of the engine that began it.
//!
//! Engines of several versions may serve side by side, and a stream may go on only at the version that began
//! it. The caller of a stream that broke off may reach any node next, and the node that began the stream may
//! be gone. Therefore
//!
//! - the node that begins a stream records its origin ([`registry`]) and sends it to a few nodes that are
//!   chosen by a hash of the stream's key ([`holders`]);
//! - a node that lacks an origin asks these nodes;
//! - nothing is sent while all engines of a service have been of one version for as long as a stream can last
//!   ([`history`]): a stream without a record is then of that version;
//! - no stream begins at a version that the control store isn't known to hold ([`stored_versions`]), so that nodes
//!   that have all started anew know of it.
//!
//! This package performs no input or output.

pub mod history;
pub mod holders;
pub mod key;
pub mod registry;
pub mod stored_versions;

pub use history::{ServiceVersions, VersionAge, VersionHistory};
pub use key::StreamKey;
pub use registry::{KnownOrigin, OriginLookup, OriginRecord, OriginRegistry, StreamOrigin};
pub use stored_versions::StoredVersions;
