//! Engines, machines and applications: load, health, leaving marks and planning.
//!
//! The [`Fleet`] aggregate merges what the machine list, the cloud's notices, the settings tree,
//! polls and peers say of each back end, and gives out immutable [`FleetView`]s for the request
//! path. [`plan`](planner::plan) is one function from what is wanted and what exists to what
//! should be asked of the cloud.

pub mod backend;
pub mod engine_wire;
pub mod fleet;
pub mod leaving;
pub mod local_load;
pub mod order;
pub mod planner;
pub mod view;

pub use backend::{Backend, BackendReport};
pub use engine_wire::EngineClient;
pub use fleet::{Fleet, FleetChange};
pub use leaving::{LeavingMarks, LeavingSource};
pub use local_load::LocalLoad;
pub use view::{BackendView, FleetView};
