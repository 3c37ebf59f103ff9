//! What the holder of the duties keeps for whoever holds them next.
//!
//! All that nodes know of open windows and of the demand lives in their memory, and goes when all of them are killed at once. So the
//! holder writes it down with each renewal of its lease, and a successor or its own next life goes on from there.

use std::collections::BTreeMap;

use beamwall_gateway::sizing::Needed;
use beamwall_gateway::usage::UsageCheckpoint;
use beamwall_model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::orders::KeptOrder;

/// What the holder of the duties keeps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DutyCheckpoint {
    /// The oldest window of usage that is not fixed yet; `None` while that is not known.
    pub first_open_window: Option<u64>,
    /// The counts of open windows.
    pub usage: UsageCheckpoint,
    /// How many back ends each service needed as of the last look.
    pub needs: BTreeMap<ServiceName, Needed>,
    /// What was ordered, and what could not be had.
    pub orders: Vec<KeptOrder>,
}
