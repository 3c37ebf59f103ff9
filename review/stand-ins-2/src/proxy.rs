//! A proxy whose open connections can go silent for good, while new ones work: what arrives on a silent one is taken
//! and dropped.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Before a sender's name and number in the first message on a connection.
const NAME: &[u8] = b"front-";

/// An open connection.
#[derive(Default)]
struct Open {
    is_silent: AtomicBool,
    /// The number of the machine that opened it; `None` before its first message.
    from: Mutex<Option<usize>>,
}

type Connections = Arc<Mutex<Vec<Arc<Open>>>>;

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    open: Connections,
}

impl Proxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let open = Connections::default();
        let all = open.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let connection = Arc::new(Open::default());
                all.lock().unwrap_or_else(PoisonError::into_inner).push(connection.clone());
                tokio::spawn(carry(near, target, connection));
            }
        });
        Ok(Self { address, open })
    }

    /// Lets the open connections of the machines for which `chooses` says so go silent; gives how many did, and how
    /// many are open.
    pub fn silence(&self, chooses: impl Fn(usize) -> bool) -> (usize, usize) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        // A connection that has ended is held here alone.
        open.retain(|connection| Arc::strong_count(connection) > 1);
        let is_chosen = |connection: &&Arc<Open>| {
            let from = *connection.from.lock().unwrap_or_else(PoisonError::into_inner);
            from.is_some_and(&chooses)
        };
        let chosen: Vec<_> = open.iter().filter(is_chosen).collect();
        chosen.iter().for_each(|connection| connection.is_silent.store(true, Ordering::Relaxed));
        (chosen.len(), open.len())
    }
}

async fn carry(near: TcpStream, target: SocketAddr, connection: Arc<Open>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, connection.clone()) => {}
        () = pump(far_read, near_write, connection.clone()) => {}
    }
}

/// Passes bytes on until a side closes. On a silent connection nothing passes, an end neither.
async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    connection: Arc<Open>,
) {
    let mut piece = vec![0; 16 << 10];
    loop {
        let count = from.read(&mut piece).await.unwrap_or(0);
        note_sender(&connection, &piece[..count]);
        let is_silent = connection.is_silent.load(Ordering::Relaxed);
        if count == 0 && is_silent {
            std::future::pending::<()>().await;
        }
        if count == 0 || (!is_silent && to.write_all(&piece[..count]).await.is_err()) {
            return;
        }
    }
}

fn note_sender(connection: &Open, bytes: &[u8]) {
    let mut from = connection.from.lock().unwrap_or_else(PoisonError::into_inner);
    if from.is_none()
        && let Some(at) = bytes.windows(NAME.len()).position(|window| window == NAME)
    {
        *from = bytes.get(at + NAME.len()).map(|digit| usize::from(digit.wrapping_sub(b'0')));
    }
}
