//! Why a node cannot start.

use std::net::SocketAddr;

use beamwall_peer::PeerError;
use quick_error::quick_error;

quick_error! {
    /// Why a node cannot start.
    #[derive(Debug)]
    pub enum NodeError {
        /// An address could not be opened.
        Listen(address: SocketAddr, cause: std::io::Error) {
            display("cannot listen on {}: {}", address, cause)
            source(cause)
        }
        /// The peer network could not be opened.
        Peers(cause: PeerError) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The metrics could not be registered.
        Metrics(cause: prometheus::Error) {
            from()
            display("cannot register metrics: {}", cause)
            source(cause)
        }
    }
}
