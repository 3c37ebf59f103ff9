//! Fingerprints of what may terminate back ends: a request, equal for all its attempts, or a part of a prompt,
//! equal for all requests whose prompts share it.

use std::fmt;

use sha2::{Digest, Sha256};

/// Length of a fingerprint in bytes. With 128 bits it is infeasible to find a second request with a
/// given fingerprint.
pub const FINGERPRINT_BYTES: usize = 16;
/// Number of fingerprint bytes shown in logs.
const DISPLAYED_BYTES: usize = 8;
/// The second half of the fingerprint of a part, after its identifier. A request has it with a probability of
/// 2^-64.
const PART_MARK: [u8; 8] = *b"\0\0\0\0part";

/// Identifies a request by its caller, host, path with query, and body; other headers are ignored. Or
/// identifies a part of prompts.
///
/// It is a truncated SHA-256, so that no tenant can construct a request with the fingerprint of another
/// tenant's request.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Creates a fingerprint from its bytes.
    pub const fn new(bytes: [u8; FINGERPRINT_BYTES]) -> Self {
        Self(bytes)
    }

    /// The fingerprint of a part of prompts.
    pub fn of_part(part: u64) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes[..DISPLAYED_BYTES].copy_from_slice(&part.to_be_bytes());
        bytes[DISPLAYED_BYTES..].copy_from_slice(&PART_MARK);
        Self(bytes)
    }

    /// The part that it identifies; `None` for a request.
    pub fn part(&self) -> Option<u64> {
        let (part, mark) = self.0.split_first_chunk()?;
        (*mark == PART_MARK).then(|| u64::from_be_bytes(*part))
    }

    /// Parses a fingerprint from its full hexadecimal form.
    pub fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns the full hexadecimal form.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// Returns the bytes.
    pub const fn as_bytes(&self) -> &[u8; FINGERPRINT_BYTES] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.part() {
            Some(part) => write!(formatter, "part:{part:x}"),
            None => formatter.write_str(&self.to_hex()[..2 * DISPLAYED_BYTES]),
        }
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Computes a fingerprint incrementally while the body is read.
#[derive(Clone)]
pub struct FingerprintHasher {
    hash: Sha256,
}

impl FingerprintHasher {
    /// Starts with the values from the request head; `tenant` is `None` on routes without a tenant.
    pub fn new(tenant: Option<&str>, host: &str, path_and_query: &str) -> Self {
        let mut hash = Sha256::new();
        // Each part is prefixed with its length, so that different splits of the same bytes hash
        // differently.
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

    /// Returns the fingerprint.
    pub fn finish(self) -> Fingerprint {
        let digest = self.hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }
}
