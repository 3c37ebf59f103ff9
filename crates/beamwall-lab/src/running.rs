//! A stand-in that serves on an address until it is stopped.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};

use beamwall_http::{Handler, serve};
use socket2::{Domain, Socket, Type};
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
/// Ports of a block. Its first one is bound by the process that hands out the others, for as long as it lives: so no other
/// process hands them out, and takes one between check and use.
const BLOCK_PORTS: u16 = 60;
/// Blocks.
const BLOCKS: u16 = 200;

/// The blocks of this process, and the ports of the newest one that were not handed out.
struct Ports {
    guards: Vec<StdListener>,
    left: Range<u16>,
}

static PORTS: Mutex<Ports> = Mutex::new(Ports { guards: Vec::new(), left: 0..0 });

/// Loopback addresses with ports that are free now and that no other process hands out.
///
/// # Panics
/// Where all blocks are taken.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut found = Vec::new();
    while found.len() < count {
        let Some(port) = ports.left.next() else {
            let (guard, block) = take_block().expect("a block of ports is free");
            ports.guards.push(guard);
            ports.left = block;
            continue;
        };
        if is_free(on_loopback(port)) {
            found.push(on_loopback(port));
        }
    }
    found
}

/// Takes the first block that nobody has, from a place of this process on.
fn take_block() -> Option<(StdListener, Range<u16>)> {
    let start = (std::process::id() % u32::from(BLOCKS)) as u16;
    (0..BLOCKS).find_map(|offset| {
        let first = FIRST_PORT + (start + offset) % BLOCKS * BLOCK_PORTS;
        let guard = StdListener::bind(on_loopback(first)).ok()?;
        Some((guard, first + 1..first + BLOCK_PORTS))
    })
}

/// Whether nothing listens at an address: something that takes its ports in another way may have it.
///
/// The socket that looks never listens. A program that is started meanwhile has it until it has become that program, and a
/// socket that listens would keep whoever is given the port from listening there.
fn is_free(address: SocketAddr) -> bool {
    let look = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())
    };
    look().is_ok()
}

fn on_loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
