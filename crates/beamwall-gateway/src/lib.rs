//! Forwards opaque calls and event streams from callers to back ends.
//!
//! The bytes of a request and its response pass unchanged. The gateway reads and sets request and response
//! heads through the [`Dialect`] port, so this package knows no header by name. The policy defines where a
//! request may go, and the [`Directory`] lists the back ends. [`choice`] selects one of them; for model
//! requests the placement node does this for all senders (see [`placement`]). Every request then passes
//! [`engine_gate`], which keeps the limits that engines name. [`forward`] and [`attempts`] take a request
//! through its attempts, [`stream_origins`] binds a stream to the version that began it, and [`delegation`] to a peer while this node can't reach the engines. Limits that apply across all nodes are in [`quota`], billed requests
//! in [`usage`], and the number of back ends to order in [`scaling`].

pub mod admission;
pub mod admission_metrics;
pub mod allowed_versions;
pub mod attempt;
pub mod attempts;
mod blocked_engines;
pub mod call;
pub mod candidates;
pub mod choice;
pub mod delegation;
pub mod demand;
pub mod directory;
mod directory_log;
pub mod directory_staleness;
pub mod engine_availability;
pub mod engine_gate;
pub mod engine_reclaims;
pub mod event_stream;
mod expected_returns;
pub mod failover;
pub mod fleet_clock;
pub mod forward;
pub mod group_admission;
mod group_queries;
pub mod handler;
pub mod health;
pub mod hold_refusals;
pub mod load;
pub mod lost_responses;
pub mod metrics;
pub mod pacing;
pub mod placement;
pub mod placement_groups;
mod placement_node;
pub mod planned_stop;
pub mod ports;
pub mod prefill_queues;
pub mod prefix_cache;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod reachability_probe;
pub mod refusal;
pub mod reporter;
pub mod reserved_retry;
pub mod retries;
pub mod scaling;
pub mod send_record;
pub mod sizing;
pub mod startup;
pub mod stream;
pub mod stream_origins;
pub mod tenant_weights;
pub mod unary;
pub mod unreachable_zones;
pub mod usage;

pub use delegation::{DelegationPeer, DelegationPort};
pub use directory::{Backend, Directory, Reconciliation, RemovalCause};
pub use directory_staleness::{StalenessEvidence, StalenessTracker};
pub use engine_gate::{EngineGate, PermitOutcome, PermitPort, PermitRequest, SendPermit};
pub use handler::{Gateway, GatewayHandler};
pub use placement::{Choice, PlacementOutcome, PlacementPort, PlacementQuery};
pub use ports::{
    CallHead, ControlStore, ControlStoreError, Dialect, DutyError, DutyPort, ForwardHead, Prompt, PromptPart,
    ResponseHead,
};
pub use reporter::Reporter;
pub use stream_origins::{OriginPort, PeerAnswer, StreamOrigins};
