//! A TCP link that experiments can cut and delay.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 64 << 10;

/// A forwarder between a listening address and a target.
#[derive(Debug, Clone)]
pub struct Link {
    /// Where the link listens.
    pub address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
    delay_us: Arc<AtomicU64>,
    open: Arc<AtomicBool>,
}

impl Link {
    /// Listens on `address` and forwards to `target`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let link = Self {
            address: listener.local_addr()?,
            cut: Arc::new(watch::channel(false).0),
            delay_us: Arc::default(),
            open: Arc::new(AtomicBool::new(true)),
        };
        tokio::spawn(link.clone().accept_loop(listener, target));
        Ok(link)
    }

    /// Cuts the link (open connections break, new ones are refused) or mends it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }

    /// Delays every piece in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_us.store(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Ends the link for good.
    pub fn close(&self) {
        self.open.store(false, Ordering::Relaxed);
        self.set_cut(true);
    }

    async fn accept_loop(self, listener: TcpListener, target: SocketAddr) {
        while self.open.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if *self.cut.borrow() {
                continue;
            }
            tokio::spawn(self.clone().forward(stream, target));
        }
    }

    async fn forward(self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let mut cut = self.cut.subscribe();
        tokio::select! {
            () = copy(near_read, far_write, &self.delay_us) => {}
            () = copy(far_read, near_write, &self.delay_us) => {}
            _ = cut.wait_for(|cut| *cut) => {}
        }
    }
}

async fn copy<R, W>(mut from: R, mut to: W, delay_us: &AtomicU64)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let delay = delay_us.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_micros(delay)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
