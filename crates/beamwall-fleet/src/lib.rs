//! Engines, machines and applications: load, health, leaving marks and planning.
//!
//! The [`Fleet`] aggregate merges the information of the machine list, the cloud's reclaim notices, the
//! settings tree, polls and peers about each back end, and provides immutable [`FleetView`]s for the request
//! path. The function [`plan`](planner::plan) compares the wanted placements with the existing machines and
//! returns the machines to request from the cloud and to release.

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
