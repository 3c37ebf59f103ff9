//! Bearer keys. Only digests are stored, and digests are compared in constant time.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;
const BUCKET_BYTES: usize = 8;

/// The SHA-256 digest of a bearer key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key as presented.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Compares without revealing by time how many bytes agree.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    fn bucket(&self) -> [u8; BUCKET_BYTES] {
        let mut bucket = [0; BUCKET_BYTES];
        bucket.copy_from_slice(&self.0[..BUCKET_BYTES]);
        bucket
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({}..)", hex::encode(&self.0[..4]))
    }
}

/// Finds the owner of a key. Digests are grouped by their first bytes, which reveal nothing about
/// the key, and compared in constant time within a group.
#[derive(Debug, Clone)]
pub struct KeyIndex<T> {
    buckets: HashMap<[u8; BUCKET_BYTES], Vec<(KeyDigest, T)>>,
}

impl<T> Default for KeyIndex<T> {
    fn default() -> Self {
        Self { buckets: HashMap::new() }
    }
}

impl<T> KeyIndex<T> {
    /// Adds a digest with its owner.
    pub fn insert(&mut self, digest: KeyDigest, owner: T) {
        self.buckets.entry(digest.bucket()).or_default().push((digest, owner));
    }

    /// The owner of a presented key.
    pub fn owner(&self, key: &str) -> Option<&T> {
        let presented = KeyDigest::of(key);
        let bucket = self.buckets.get(&presented.bucket())?;
        bucket.iter().find(|(digest, _)| digest.matches(&presented)).map(|(_, owner)| owner)
    }
}
