//! The outgoing connection to one peer.
//!
//! The connection carries messages in one direction; replies arrive on the peer's own connection. It is
//! opened when a message is to be sent, and again after a failure. A connection on which the peer no longer
//! acknowledges data fails by the TCP user timeout.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for writing one message. If the peer reads nothing for so long, the connection is closed and
/// opened again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after the first failure to open a connection; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time without a message to send after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Sends the messages in `outbox` to a peer until the task is aborted. Failures are not logged here:
/// membership logs the resulting silence of the peer. `is_refused` reports whether the last connection
/// attempt was refused.
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
                // The reason is irrelevant: the next message opens a new connection.
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

/// Sends messages until the connection is closed, fails or has been idle for [`IDLE_TIMEOUT`].
async fn send_all(stream: TcpStream, first: QueuedMessage, outbox: &Outbox) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut next = first;
    loop {
        write(&mut writer, &next.message).await?;
        // The peer sends nothing on this connection: reading detects that it has closed it, before another
        // message is lost.
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
