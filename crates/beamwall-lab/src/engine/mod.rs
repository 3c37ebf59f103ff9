//! Stand-in for a model engine: continuous batching, a prefix cache of limited memory,
//! priorities, resume, cancel, KV export and import, late cache events with gaps, lagging load,
//! and fenced orders.

mod batch;
mod cache;
mod handler;
mod timing;

pub use batch::{Batch, RanAttempt};
pub use cache::{CacheEvent, PrefixCache};
pub use handler::{EngineOptions, EngineStandIn, start_engine};
pub use timing::EngineTiming;
