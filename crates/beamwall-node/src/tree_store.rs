//! The settings tree in the object API.
//!
//! `tree/head` names the revision in force and its manifest; a manifest lists the documents of one
//! revision by the digest of their content and names the manifest before it. Manifests and contents
//! never change. The only contended write of an edit is the small head.

use std::collections::{BTreeMap, HashMap};

use beamwall_config::TreePath;
use beamwall_store::object::ABSENT;
use beamwall_store::{Object, ObjectError, ObjectStore, SettleError, Settled, Version, put_settled};
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

/// Key of the head.
pub const HEAD: &str = "tree/head";
/// Edits remembered in the head, to settle a lost answer.
const RECENT_EDITS: usize = 32;

quick_error! {
    /// Why the stored tree could not be read or written.
    #[derive(Debug)]
    pub enum TreeStoreError {
        /// The platform did not answer or refused; nothing took effect.
        Unavailable(reason: String) {
            display("settings store unavailable: {}", reason)
        }
        /// The edit may have taken effect.
        Undecided(reason: String) {
            display("the edit may have taken effect: {}", reason)
        }
        /// Another edit won.
        Conflict(revision: u64) {
            display("revision {} is in force", revision)
        }
        /// A stored object is missing or not readable.
        Corrupt(reason: String) {
            display("stored settings not readable: {}", reason)
        }
    }
}

impl From<ObjectError> for TreeStoreError {
    fn from(error: ObjectError) -> Self {
        match error {
            ObjectError::Unexpected(reason) => Self::Corrupt(reason),
            other => Self::Unavailable(other.to_string()),
        }
    }
}

/// The head.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision in force.
    pub revision: u64,
    /// Identifier of the edit that made it; names its manifest.
    pub edit: String,
    /// The last edits.
    pub recent: Vec<String>,
}

/// The documents of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision.
    pub revision: u64,
    /// Identifier of the edit before; empty for the first.
    pub previous: String,
    /// Subtree of the operator key that made the edit.
    pub operator: String,
    /// When, in seconds since 1970.
    pub made: u64,
    /// Changed paths.
    pub changed: Vec<TreePath>,
    /// Content digests by path.
    pub documents: BTreeMap<TreePath, String>,
}

/// The settings tree in the object API.
#[derive(Clone)]
pub struct TreeStore {
    store: ObjectStore,
}

/// Digest that names a document's content.
pub fn content_digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

fn manifest_key(edit: &str) -> String {
    format!("tree/manifests/{edit}")
}

fn content_key(digest: &str) -> String {
    format!("tree/contents/{digest}")
}

fn parse<T: serde::de::DeserializeOwned>(object: &Object) -> Result<T, TreeStoreError> {
    serde_json::from_slice(&object.value)
        .map_err(|error| TreeStoreError::Corrupt(format!("{}: {error}", object.key)))
}

impl TreeStore {
    /// The tree reached through a store.
    pub fn new(store: ObjectStore) -> Self {
        Self { store }
    }

    /// The head with its version; the default head when there is none yet.
    pub async fn head(&self) -> Result<(Version, Head), TreeStoreError> {
        match self.store.get(HEAD).await? {
            Some(object) => Ok((object.version, parse(&object)?)),
            None => Ok((ABSENT, Head::default())),
        }
    }

    /// The manifest of an edit.
    pub async fn manifest(&self, edit: &str) -> Result<Manifest, TreeStoreError> {
        let key = manifest_key(edit);
        match self.store.get(&key).await? {
            Some(object) => parse(&object),
            None => Err(TreeStoreError::Corrupt(format!("{key} is missing"))),
        }
    }

    /// The documents of a manifest. Contents that `known` has are not read again.
    pub async fn documents(
        &self,
        manifest: &Manifest,
        known: &HashMap<String, String>,
    ) -> Result<BTreeMap<TreePath, String>, TreeStoreError> {
        let mut documents = BTreeMap::new();
        for (path, digest) in &manifest.documents {
            let text = match known.get(digest) {
                Some(text) => text.clone(),
                None => self.content(digest).await?,
            };
            documents.insert(path.clone(), text);
        }
        Ok(documents)
    }

    async fn content(&self, digest: &str) -> Result<String, TreeStoreError> {
        let key = content_key(digest);
        let object = self.store.get(&key).await?;
        let object = object.ok_or_else(|| TreeStoreError::Corrupt(format!("{key} is missing")))?;
        let text = String::from_utf8_lossy(&object.value).into_owned();
        if content_digest(&text) != digest {
            return Err(TreeStoreError::Corrupt(format!("{key} does not match its digest")));
        }
        Ok(text)
    }

    /// Makes `documents` the revision after `head`. `edit` must be a new identifier.
    pub async fn commit(
        &self,
        head: &(Version, Head),
        edit: &str,
        manifest: &Manifest,
        contents: &[String],
        deadline: Instant,
    ) -> Result<u64, TreeStoreError> {
        for text in contents {
            self.put_immutable(&content_key(&content_digest(text)), text.clone().into_bytes(), deadline)
                .await?;
        }
        let value = to_bytes(manifest)?;
        self.put_immutable(&manifest_key(edit), value, deadline).await?;
        self.put_head(head, edit, manifest.revision, deadline).await
    }

    async fn put_immutable(
        &self,
        key: &str,
        value: Vec<u8>,
        deadline: Instant,
    ) -> Result<(), TreeStoreError> {
        let same = |object: &Object| object.value.as_ref() == value.as_slice();
        // Losing against the same content is as good as writing it.
        match put_settled(&self.store, key, ABSENT, Bytes::from(value.clone()), deadline, same).await {
            Ok(_) => Ok(()),
            Err(SettleError::NotWritten(cause) | SettleError::Undecided(cause)) => {
                Err(TreeStoreError::Unavailable(cause.to_string()))
            }
        }
    }

    async fn put_head(
        &self,
        (version, head): &(Version, Head),
        edit: &str,
        revision: u64,
        deadline: Instant,
    ) -> Result<u64, TreeStoreError> {
        let mut recent = head.recent.clone();
        recent.insert(0, edit.to_owned());
        recent.truncate(RECENT_EDITS);
        let next = Head { revision, edit: edit.to_owned(), recent };
        let value = Bytes::from(to_bytes(&next)?);
        let mine = |object: &Object| {
            parse::<Head>(object).is_ok_and(|found| found.recent.iter().any(|known| known == edit))
        };
        match put_settled(&self.store, HEAD, *version, value, deadline, mine).await {
            Ok(Settled::Written(_) | Settled::Found(_)) => Ok(revision),
            Ok(Settled::Lost) => {
                Err(TreeStoreError::Conflict(self.head().await.map_or(0, |(_, head)| head.revision)))
            }
            Err(SettleError::NotWritten(cause)) => Err(TreeStoreError::Unavailable(cause.to_string())),
            Err(SettleError::Undecided(cause)) => Err(TreeStoreError::Undecided(cause.to_string())),
        }
    }
}

fn to_bytes<T: Serialize>(value: &T) -> Result<Vec<u8>, TreeStoreError> {
    serde_json::to_vec(value).map_err(|error| TreeStoreError::Corrupt(error.to_string()))
}
