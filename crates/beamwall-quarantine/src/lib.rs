//! Keeps requests under which back ends end away from further ones.
//!
//! A request is known by its [`Fingerprint`]: each try of it carries another identifier and reaches another node, but the same
//! caller, host, path and body.

pub mod fingerprint;

pub use fingerprint::{Fingerprint, FingerprintHasher};
