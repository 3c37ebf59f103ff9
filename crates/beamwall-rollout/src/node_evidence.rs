//! Evidence as a node reports it to its peers.

use beamwall_model::ZoneName;

use crate::evidence::Evidence;

/// Evidence that a node reports to its peers for one order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeEvidence {
    /// Counts of the generation that reports. They name no generation: peers know it from the message.
    pub counts: Evidence,
    /// What the node knows of generations that have ended; `None` in reports of earlier builds.
    pub ended: Option<EndedReport>,
}

impl AsRef<Evidence> for NodeEvidence {
    fn as_ref(&self) -> &Evidence {
        &self.counts
    }
}

/// What a node knows of generations that have ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndedReport {
    /// The generations whose counts it knows, in ascending order.
    pub known: Vec<EndedDigest>,
    /// Counts that some peer lacks.
    pub told: Vec<EndedGeneration>,
}

/// Names an ended generation and what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndedDigest {
    /// Hash of the generation.
    pub generation: u32,
    /// Checksum of its counts. It differs where one node knows more than another.
    pub checksum: u32,
}

/// Counts of one generation that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedGeneration {
    /// Zone of its node.
    pub zone: ZoneName,
    /// Hash of the generation.
    pub generation: u32,
    /// Its counts, which name the generation.
    pub counts: Evidence,
}
