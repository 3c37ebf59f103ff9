//! What engines say of themselves in their responses, and permits for single requests.
//!
//! An engine that leaves says so ([`departures`]), and one that rejects a request may name a time for which it
//! wants nothing more from the node that sent it ([`rests`]).
//!
//! An engine in need names the requests a second that it takes from all nodes together. Such a limit is often
//! smaller than one request a second, so it can't be divided into a share per node. Instead
//!
//! - every node learns the limits from the responses that it receives and from its peers ([`known`]);
//! - one node, the permit node of the engine, grants permits for single requests ([`permits`]), and no request
//!   is sent to a limited engine without one;
//! - a node that was denied a permit does not ask again until the next one is due ([`denials`]).
//!
//! A brittle engine, which terminates when it has to reject too many requests, is treated in the same way once
//! it has rejected one ([`rejections`]).
//!
//! This package performs no input or output. Which node is an engine's permit node is decided by the caller.

pub mod denials;
pub mod departures;
pub mod known;
pub mod permits;
pub mod rate;
pub mod rejections;
pub mod rests;

pub use denials::Denials;
pub use departures::{DepartureReport, KnownDepartures};
pub use known::{KnownLimits, LimitChange, LimitReport};
pub use permits::{Allowance, Grant, PermitLedger};
pub use rate::{LimitNotice, RequestRate, UnreadableLimit};
pub use rejections::{KnownRejections, RejectionReport};
pub use rests::{KnownRests, RestNotice, UnreadableRest};
