//! Client of the platform: object API, cloud API, machine list, leases and call budget.
//!
//! The ports ([`ObjectStore`], [`CloudClient`]) use typed values. The wire format of each is implemented in
//! an adapter module ([`object_wire`], [`cloud_wire`]); another dialect of the platform's API needs another
//! adapter and no other change.

pub mod budget;
pub mod cloud;
pub mod cloud_wire;
pub mod era;
pub mod lease;
pub mod object;
pub mod object_wire;
pub mod settle;

pub use budget::CallBudget;
pub use cloud::{CloudClient, CloudError, Machine, MachineState, Notice};
pub use era::StoreEra;
pub use lease::{Checkpoint, Lease, LeaseState};
pub use object::{Object, ObjectError, ObjectStore, Version, VersionedObjects};
pub use settle::{SettleError, Settled, put_settled};
