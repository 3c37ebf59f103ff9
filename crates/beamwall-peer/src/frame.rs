//! Messages on a connection: each is preceded by its length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest message in bytes: a whole settings tree.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;

/// Writes one message.
pub async fn write_message(stream: &mut (impl AsyncWrite + Unpin), message: &[u8]) -> io::Result<()> {
    let length = u32::try_from(message.len()).map_err(|_| message_too_long(message.len()))?;
    let mut framed = Vec::with_capacity(size_of::<u32>() + message.len());
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(message);
    stream.write_all(&framed).await
}

/// Reads one message; the end of the connection is an error.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(message_too_long(length as usize));
    }
    // What is announced is not trusted: memory is taken as bytes come.
    let mut message = Vec::new();
    let read = stream.take(u64::from(length)).read_to_end(&mut message).await?;
    if read < length as usize {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(message)
}

fn message_too_long(bytes: usize) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("a message of {bytes} bytes"))
}
