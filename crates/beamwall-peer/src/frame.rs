//! Framing of messages on a connection: each is prefixed with its length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a message in bytes, large enough for a complete settings tree.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;

/// Writes one message with its length prefix.
pub async fn write_message(stream: &mut (impl AsyncWrite + Unpin), message: &[u8]) -> io::Result<()> {
    let length = u32::try_from(message.len()).map_err(|_| message_too_long(message.len()))?;
    let mut framed = Vec::with_capacity(size_of::<u32>() + message.len());
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(message);
    stream.write_all(&framed).await
}

/// Reads one message. The end of the connection is an error.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(message_too_long(length as usize));
    }
    // The length prefix is not trusted: memory is allocated only as bytes arrive.
    let mut message = Vec::new();
    let read = stream.take(u64::from(length)).read_to_end(&mut message).await?;
    if read < length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}

fn message_too_long(bytes: usize) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("message of {bytes} bytes exceeds the size limit"))
}
