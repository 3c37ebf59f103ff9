//! Admission of requests to a group of engines while there is too little capacity for all of them.
//!
//! One node places the requests of a group, so it sees all of its demand and knows its queues. It admits, for
//! the time in which capacity is short, those requests that can still meet their objective, urgent ones first and
//! tenants within their fair shares first. The others are rejected at once, with the time at which there will be
//! capacity for them; a caller that returns then goes before new ones.
//!
//! This package performs no input or output and decides nothing about single engines.

pub mod claim;
pub mod controller;
pub mod decayed_rate;
pub mod decision;
pub mod fair_shares;
pub mod request;
pub mod reservations;

pub use claim::{CapacityClaim, LOWEST_PRIORITY_RANK, RANKS};
pub use controller::AdmissionController;
pub use decision::{Decision, Rejection, RejectionReason};
pub use request::CapacityRequest;
