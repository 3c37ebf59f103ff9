//! The messages as the build 7105913 has them, unchanged but for paths of modules. They are not edited: they stand for a program that
//! still runs somewhere.
#![allow(dead_code)]

mod gateway_message;
mod message;

/// The earlier build's types.
pub mod earlier {
    use serde::Deserialize;

    pub use super::gateway_message::DirectoryWhole;
    pub use super::message::{Body, Envelope};

    /// A back end in that build's JSON.
    #[derive(Debug, Clone, Deserialize)]
    pub struct Backend {
        pub id: String,
        pub service: String,
        pub address: std::net::SocketAddr,
        pub zone: String,
        pub slots: u32,
        pub draining: bool,
        pub reclaimable: bool,
    }
}
