//! The outgoing connection to one peer.
//!
//! It carries messages one way; answers come over the peer's own. It is opened when there is something to send, and
//! again after it broke. A connection that has gone silent breaks by the limit on what stays unacknowledged.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::frame::write_message;
use crate::outbox::{Outbox, QueuedMessage};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that sent bytes may stay unacknowledged before the connection counts as broken.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to write one message; a peer that reads nothing for so long is tried anew.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// First pause after a connection could not be opened; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time without a message to send after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Sends what waits in `outbox` to a peer until the task is ended. Failures show as the peer's silence, which
/// membership logs; `is_refused` tells whether the last connection was refused.
pub async fn run(to: SocketAddr, outbox: Arc<Outbox>, is_refused: Arc<AtomicBool>) {
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        let first = outbox.next().await;
        let connection = connect(to).await;
        let refused =
            connection.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
        is_refused.store(refused, Ordering::Relaxed);
        match connection {
            Ok(stream) => {
                retry_delay = INITIAL_RETRY_DELAY;
                // Whatever ended the connection, the next message opens another.
                let _ = send_all(stream, first, &outbox).await;
            }
            Err(_) => {
                outbox.put_back(first);
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}

/// Sends messages until the connection ends or has nothing to carry.
async fn send_all(stream: TcpStream, first: QueuedMessage, outbox: &Outbox) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut next = first;
    loop {
        write(&mut writer, &next.message).await?;
        // The peer sends nothing here: reading tells when it closes, before another message is lost.
        next = tokio::select! {
            biased;
            closed = wait_until_closed(&mut reader) => return closed,
            queued = timeout(IDLE_TIMEOUT, outbox.next()) => queued?,
        };
    }
}

async fn write(writer: &mut OwnedWriteHalf, message: &[u8]) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, write_message(writer, message)).await?
}

async fn wait_until_closed(reader: &mut OwnedReadHalf) -> io::Result<()> {
    let mut unexpected = [0; 64];
    while reader.read(&mut unexpected).await? > 0 {}
    Ok(())
}
