//! What two tries of the same request have in common.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes. With 128 bits nobody finds a second request to one that is given.
pub const FINGERPRINT_BYTES: usize = 16;
/// Bytes of a fingerprint that logs show.
const DISPLAYED_BYTES: usize = 8;

/// Identifies a request by its caller, host, path with query, and body; other headers don't count.
///
/// It is the beginning of a SHA-256: a tenant must not be able to make a request that is taken for another tenant's.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// A fingerprint from its bytes.
    pub const fn new(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// A fingerprint from all its hexadecimal digits.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// All its hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// Its bytes.
    pub const fn as_bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.to_hex()[..2 * DISPLAYED_BYTES])
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Works out a fingerprint while the body is read.
#[derive(Clone)]
pub struct FingerprintHasher {
    hash: Sha256,
}

impl FingerprintHasher {
    /// Begins with what stands in the head; `tenant` is `None` on routes without one.
    pub fn new(tenant: Option<&str>, host: &str, path_and_query: &str) -> Self {
        let mut hash = Sha256::new();
        // Each part is preceded by its length, so that none can run into the next.
        for part in [tenant.unwrap_or_default(), &host.to_ascii_lowercase(), path_and_query] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        Self { hash }
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
    }

    /// The fingerprint.
    pub fn finish(self) -> Fingerprint {
        let digest = self.hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }
}
