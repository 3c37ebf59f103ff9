//! The software versions whose back ends may serve an attempt.

use beamwall_model::EngineVersion;
use beamwall_rollout::{VersionChoice, VersionRule};

use crate::directory::Backend;

/// The versions whose back ends may serve an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AllowedVersions {
    /// All versions.
    All,
    /// Those that a rollout allows.
    Rollout(VersionRule),
    /// Only the one that began the stream that goes on.
    Only(EngineVersion),
    /// None: the version that began the stream that goes on was rolled back.
    Nothing,
}

impl AllowedVersions {
    /// Whether back ends of a version may serve the attempt.
    pub fn allows(&self, version: &EngineVersion) -> bool {
        match self {
            Self::All => true,
            Self::Rollout(rule) => rule.allows(version),
            Self::Only(only) => version == only,
            Self::Nothing => false,
        }
    }

    /// The rule of a rollout that sends the attempt to a canary.
    pub fn canary(&self) -> Option<&VersionRule> {
        match self {
            Self::Rollout(rule) if rule.version_choice == VersionChoice::Canary => Some(rule),
            _ => None,
        }
    }

    /// The version that began the stream that goes on.
    pub fn only(&self) -> Option<&EngineVersion> {
        match self {
            Self::Only(version) => Some(version),
            Self::All | Self::Rollout(_) | Self::Nothing => None,
        }
    }

    /// The back ends of `back_ends` that may serve the attempt. A canary has some of its version's only.
    pub fn select<'a>(&self, back_ends: impl Iterator<Item = &'a Backend>) -> Vec<&'a Backend> {
        let mut allowed: Vec<&Backend> = back_ends.filter(|backend| self.allows(&backend.version)).collect();
        if let Some(rule) = self.canary() {
            let ids: Vec<_> = allowed.iter().map(|backend| &backend.id).collect();
            let active = rule.active_back_ends(&ids);
            allowed.retain(|backend| active.contains(&&backend.id));
        }
        allowed
    }
}
