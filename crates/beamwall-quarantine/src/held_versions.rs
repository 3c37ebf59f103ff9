//! The software versions to whose back ends a held request is not sent.

use std::collections::BTreeSet;

use beamwall_model::EngineVersion;

/// The software versions for which something is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldVersions {
    /// All, also later ones: no back end of any version has run it since the first termination that counts.
    All,
    /// Those whose back ends terminated; another version is proven, since back ends of it run what is held.
    These(BTreeSet<EngineVersion>),
}

impl HeldVersions {
    /// Whether back ends of a version are not sent what is held.
    pub fn contains(&self, version: &EngineVersion) -> bool {
        match self {
            Self::All => true,
            Self::These(versions) => versions.contains(version),
        }
    }

    /// The versions for which this or something else is held.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::These(mut versions), Self::These(others)) => {
                versions.extend(others);
                Self::These(versions)
            }
            _ => Self::All,
        }
    }
}
