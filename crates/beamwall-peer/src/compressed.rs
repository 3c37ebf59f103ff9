//! Large values in messages: JSON, compressed.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest value that is read, as JSON: the same bound as for a message that is not compressed.
const MAX_VALUE_BYTES: u64 = 64 << 20;

quick_error! {
    /// Why a compressed value can't be written or read.
    #[derive(Debug)]
    pub enum CompressedError {
        /// The bytes can't be decompressed.
        Bytes(cause: std::io::Error) {
            from()
            display("cannot decompress: {}", cause)
        }
        /// The text is not the value expected.
        Text(cause: serde_json::Error) {
            from()
            display("not the JSON expected: {}", cause)
        }
    }
}

/// A value as compressed JSON.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CompressedError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(value)?)?;
    Ok(encoder.finish()?)
}

/// A value from compressed JSON.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CompressedError> {
    let mut text = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_VALUE_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
