//! State that the duties lease holder saves for its successor.
//!
//! Nodes keep the counts of open windows and the demand only in memory and lose them when all nodes are
//! killed at once. The lease holder therefore saves them with each renewal of its lease, and a successor or
//! the restarted holder resumes from there.

use std::collections::BTreeMap;

use beamwall_gateway::sizing::Needed;
use beamwall_gateway::usage::UsageCheckpoint;
use beamwall_model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::orders::SavedOrder;

/// Checkpoint of the duties lease holder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DutyCheckpoint {
    /// The oldest usage window whose counts are not fixed in the store; `None` while it is unknown.
    pub first_open_window: Option<u64>,
    /// Counts of open windows.
    pub usage: UsageCheckpoint,
    /// Number of back ends that each service needed at the last evaluation.
    pub needs: BTreeMap<ServiceName, Needed>,
    /// Capacity orders that were placed, and those for which no capacity was available.
    pub orders: Vec<SavedOrder>,
}
