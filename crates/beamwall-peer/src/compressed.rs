//! Encoding of large values in messages as compressed JSON.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a value as JSON that is read: the same as for an uncompressed message.
const MAX_VALUE_BYTES: u64 = 64 << 20;

quick_error! {
    /// An error in encoding or decoding a compressed value.
    #[derive(Debug)]
    pub enum CompressedError {
        /// Compression or decompression failed.
        Bytes(cause: std::io::Error) {
            from()
            display("cannot decompress: {}", cause)
        }
        /// Conversion to JSON failed, or the JSON text does not represent a value of the expected type.
        Text(cause: serde_json::Error) {
            from()
            display("not the JSON expected: {}", cause)
        }
    }
}

/// Encodes a value as compressed JSON.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CompressedError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(value)?)?;
    Ok(encoder.finish()?)
}

/// Decodes a value from compressed JSON.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CompressedError> {
    let mut text = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_VALUE_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
