//! Requests, attempts, token streams, call claims and stream migration.
//!
//! Model requests are repeatable: a broken stream continues at another engine from the tokens the
//! caller already has. Plain calls that may not be repeated are sent once, behind a claim in the
//! platform when the caller gave an idempotency key.

pub mod async_record;
pub mod attempt;
pub mod claim;
pub mod claim_ledger;
pub mod claimed_call;
pub mod dispatcher;
pub mod end;
pub mod guard;
pub mod metrics;
pub mod migration;
pub mod model_request;
pub mod plain_call;
pub mod registry;
pub mod request_state;

pub use claim::{ClaimDecision, ClaimKey, RecordedAnswer};
pub use claim_ledger::{ClaimError, ClaimLedger};
pub use dispatcher::Dispatcher;
pub use end::End;
pub use guard::RequestGuard;
pub use metrics::RequestMetrics;
pub use model_request::ModelRequest;
pub use registry::RequestRegistry;
pub use request_state::RequestState;
