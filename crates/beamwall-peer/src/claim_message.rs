//! Messages between a node and the owner of a shard of claims.

use prost::Message;

/// Kind of change requested for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimRequestKind {
    /// Acquire the claim.
    Take = 0,
    /// Record the response of the call.
    Complete = 1,
    /// Release the claim.
    Release = 2,
}

/// Requests a change of a claim from the owner of its shard.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// Kind of change.
    #[prost(enumeration = "ClaimRequestKind", tag = "1")]
    pub kind: i32,
    /// Idempotency key with its scope.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Attempt that requests the change.
    #[prost(string, tag = "3")]
    pub attempt: String,
    /// Digest of the call, if the claim is to be acquired.
    #[prost(string, tag = "4")]
    pub call: String,
    /// Response to record.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<CallAnswer>,
}

/// A recorded response.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Body; absent if it was too large to store.
    #[prost(string, optional, tag = "3")]
    pub body: Option<String>,
}

/// Result of a requested change of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimResult {
    /// The requester holds the claim, or the change was made.
    Granted = 0,
    /// The call was executed before; its response is included.
    Replay = 1,
    /// Another attempt holds the claim.
    Taken = 2,
    /// The key was used for a different call.
    OtherCall = 3,
    /// The shard is full.
    Full = 4,
    /// Nothing was written.
    NotWritten = 5,
    /// The change may have been written.
    Undecided = 6,
}

/// Reply of the shard's owner to a claim request.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimAnswer {
    /// Result of the change.
    #[prost(enumeration = "ClaimResult", tag = "1")]
    pub result: i32,
    /// Reason why nothing was written, or why the outcome is unknown.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Response of the earlier execution.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<CallAnswer>,
}
