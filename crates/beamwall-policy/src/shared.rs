//! Policy items that several versions of a policy share in memory.

use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// A reference-counted policy item with a fingerprint of its content. All versions that contain the item
/// share it.
#[derive(Debug)]
pub struct Shared<T> {
    content: Arc<T>,
    fingerprint: u64,
}

impl<T: Serialize> Shared<T> {
    /// Wraps an item and computes its fingerprint.
    pub fn new(content: T) -> Self {
        // Policy items contain only strings, numbers and collections of them, which always serialize to JSON.
        let text = serde_json::to_vec(&content).unwrap_or_default();
        Self { content: Arc::new(content), fingerprint: xxh3_64(&text) }
    }
}

impl<T> Shared<T> {
    /// Hash of the content; equal items have equal fingerprints.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns a reference to the content that may outlive the policy.
    pub fn content(&self) -> Arc<T> {
        self.content.clone()
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self { content: self.content.clone(), fingerprint: self.fingerprint }
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.content
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.content == other.content
    }
}

impl<T: Serialize> From<T> for Shared<T> {
    fn from(content: T) -> Self {
        Self::new(content)
    }
}

impl<T: Serialize> Serialize for Shared<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.content.serialize(serializer)
    }
}

impl<'de, T: Serialize + Deserialize<'de>> Deserialize<'de> for Shared<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::deserialize(deserializer).map(Self::new)
    }
}
