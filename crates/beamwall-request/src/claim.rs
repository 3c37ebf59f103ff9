//! Claims: the right to send a call that may not be repeated. One shard of claims is one object of
//! the platform, changed only by conditional writes, so two nodes can never hold the same claim.

use std::collections::BTreeMap;

use beamwall_model::{AttemptId, ServiceName, TenantName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a claim is kept; the same key sent later is a new call.
pub const CLAIM_RETENTION_SECONDS: u64 = 24 * 3_600;
/// Largest shard; a full shard takes no new claims.
pub const SHARD_LIMIT_BYTES: usize = 900_000;
/// Estimated bytes of a claim besides its key and answer.
const CLAIM_OVERHEAD_BYTES: usize = 220;

/// An idempotency key with its scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The key of one tenant for one service.
    pub fn new(tenant: &TenantName, service: &ServiceName, key: &str) -> Self {
        Self(format!("{tenant}/{service}/{key}"))
    }

    /// A key in the form that [`ClaimKey::as_str`] gives.
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The key with its scope, as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The shard that holds the claim.
    pub fn shard(&self, shards: usize) -> usize {
        usize::try_from(xxh3_64(self.0.as_bytes()) % shards as u64).unwrap_or(0)
    }
}

/// Digest of a call's method, path and body: the same key with another call is refused.
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    hex::encode(&hasher.finalize()[..16])
}

/// The answer to a call, as recorded for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// Status.
    pub status: u16,
    /// Content type; empty for none.
    pub content_type: String,
    /// Body; `None` when it was too large to keep.
    pub body: Option<String>,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that may send the call.
    pub attempt: String,
    /// Digest of the call.
    pub call: String,
    /// When it was made, in seconds since 1970.
    pub made: u64,
    /// The answer, once there is one.
    pub answer: Option<RecordedAnswer>,
}

/// What a claimant is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is this attempt's: it may send the call.
    Granted,
    /// The call has run before; this was its answer.
    Replay(RecordedAnswer),
    /// Another attempt holds the claim and its answer is not known.
    Taken,
    /// The key was used for another call.
    OtherCall,
    /// The shard is full.
    Full,
}

/// A change asked of a shard.
#[derive(Debug, Clone)]
pub enum ClaimChange {
    /// Take the claim for an attempt.
    Take {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// Digest of the call.
        call: String,
    },
    /// Record the answer.
    Complete {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Give the claim up: the call was not sent.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: AttemptId,
    },
}

impl ClaimChange {
    /// The key concerned.
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Take { key, .. } | Self::Complete { key, .. } | Self::Release { key, .. } => key,
        }
    }
}

/// All claims of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimShard {
    claims: BTreeMap<ClaimKey, Claim>,
    bytes: usize,
}

impl ClaimShard {
    /// Applies a change at `now` seconds since 1970. Applying it again gives the same decision.
    pub fn apply(&mut self, change: &ClaimChange, now: u64) -> ClaimDecision {
        match change {
            ClaimChange::Take { key, attempt, call } => self.take(key, attempt, call, now),
            ClaimChange::Complete { key, attempt, answer } => self.complete(key, attempt, answer),
            ClaimChange::Release { key, attempt } => self.release(key, attempt),
        }
    }

    /// Drops claims older than the retention.
    pub fn expire(&mut self, now: u64) {
        let oldest = now.saturating_sub(CLAIM_RETENTION_SECONDS);
        self.claims.retain(|_, claim| claim.made >= oldest);
        self.bytes = self.claims.iter().map(|(key, claim)| size(key, claim)).sum();
    }

    /// Whether an attempt holds a claim.
    pub fn is_held_by(&self, key: &ClaimKey, attempt: &AttemptId) -> bool {
        self.claims.get(key).is_some_and(|claim| claim.attempt == attempt.as_str())
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn take(&mut self, key: &ClaimKey, attempt: &AttemptId, call: &str, now: u64) -> ClaimDecision {
        if let Some(claim) = self.claims.get(key) {
            return match &claim.answer {
                _ if claim.call != call => ClaimDecision::OtherCall,
                _ if claim.attempt == attempt.as_str() => ClaimDecision::Granted,
                Some(answer) => ClaimDecision::Replay(answer.clone()),
                None => ClaimDecision::Taken,
            };
        }
        let claim = Claim { attempt: attempt.to_string(), call: call.to_owned(), made: now, answer: None };
        let bytes = size(key, &claim);
        if self.bytes + bytes > SHARD_LIMIT_BYTES {
            return ClaimDecision::Full;
        }
        self.bytes += bytes;
        self.claims.insert(key.clone(), claim);
        ClaimDecision::Granted
    }

    fn complete(&mut self, key: &ClaimKey, attempt: &AttemptId, answer: &RecordedAnswer) -> ClaimDecision {
        match self.claims.get_mut(key) {
            Some(claim) if claim.attempt == attempt.as_str() => {
                if claim.answer.is_none() {
                    let before = size(key, claim);
                    claim.answer = Some(answer.clone());
                    self.bytes += size(key, claim) - before;
                }
                ClaimDecision::Granted
            }
            _ => ClaimDecision::Taken,
        }
    }

    fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) -> ClaimDecision {
        let mine =
            self.claims.get(key).filter(|claim| claim.attempt == attempt.as_str() && claim.answer.is_none());
        if let Some(claim) = mine {
            self.bytes = self.bytes.saturating_sub(size(key, claim));
            self.claims.remove(key);
        }
        ClaimDecision::Granted
    }
}

fn size(key: &ClaimKey, claim: &Claim) -> usize {
    let answer = claim.answer.as_ref().and_then(|answer| answer.body.as_ref()).map_or(0, String::len);
    key.0.len() + answer + CLAIM_OVERHEAD_BYTES
}
