//! Keys of streams, equal for all tries with which a caller takes a stream up again.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a key in bytes. With 128 bits of SHA-256, no tenant can construct the key of another tenant's
/// stream.
pub const STREAM_KEY_BYTES: usize = 16;

/// Identifies a stream by its tenant and the identifier of the try that brought its first event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey([u8; STREAM_KEY_BYTES]);

impl StreamKey {
    /// Creates a key from its bytes.
    pub const fn new(bytes: [u8; STREAM_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// The key of a stream; `tenant` is `None` on routes without a tenant.
    pub fn of_stream(tenant: Option<&str>, first_try: &str) -> Self {
        let mut hash = Sha256::new();
        let tenant = tenant.unwrap_or_default();
        // The length separates the two parts.
        hash.update((tenant.len() as u64).to_le_bytes());
        hash.update(tenant.as_bytes());
        hash.update(first_try.as_bytes());
        let digest = hash.finalize();
        let mut bytes = [0; STREAM_KEY_BYTES];
        bytes.copy_from_slice(&digest[..STREAM_KEY_BYTES]);
        Self(bytes)
    }

    /// Returns the bytes.
    pub const fn as_bytes(&self) -> &[u8; STREAM_KEY_BYTES] {
        &self.0
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
