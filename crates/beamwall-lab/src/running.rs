//! A stand-in that serves on an address until it is stopped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use beamwall_http::{Handler, serve};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A running server.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Binds `address` (port 0 takes a free one) and serves.
    pub async fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, handler, stopped));
        Ok(Self { address, stop, task })
    }

    /// Stops taking connections and lets open requests finish.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Waits until the server has stopped.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// A loopback address with a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
