//! What the scripts of this review share: gateway processes with the settings of a small deployment, a client that
//! keeps connections, and a record of what was seen.

pub mod client;
pub mod machine;
pub mod proxy;
pub mod record;
pub mod streams;

use std::path::PathBuf;

/// Whether the disruption takes place; `TROUBLE=0` plays the same without it.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The program of the deploy file.
pub fn program() -> PathBuf {
    PathBuf::from("target/release/beamwall")
}
