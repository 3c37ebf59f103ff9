//! A stand-in that serves on an address until it is stopped.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

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

/// First port handed out by [`free_addresses`]: below the range from which the system takes the
/// ports of outgoing connections, so that none of them can take a port between check and use.
const FIRST_PORT: u16 = 20_000;
/// Ports between the first ones of two processes, so that two rarely try the same.
const PORTS_PER_PROCESS: u16 = 240;
/// Processes told apart.
const PROCESS_SLOTS: u32 = 50;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Loopback addresses with ports that are free now and that this process hands out once.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let slot = u16::try_from(std::process::id() % PROCESS_SLOTS).unwrap_or(0);
    let range = PORTS_PER_PROCESS * PROCESS_SLOTS as u16;
    let mut found = Vec::new();
    while found.len() < count {
        let offset =
            (slot * PORTS_PER_PROCESS).wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % range;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if StdListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    found
}
