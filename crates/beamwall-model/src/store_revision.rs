//! Revisions of a store that may be restored from a copy.

use std::fmt;

/// A state of a store: the revision that the store counts, and the era in which it counts.
///
/// A store that is restored from a copy begins a new era and gives out its revisions again, so revisions of two
/// eras are not comparable as numbers. In the order of this type every revision of an era follows all of the
/// earlier eras. The default is before every revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The era; 0 if the store names none.
    pub era: u64,
    /// The revision within the era; 0 before the first.
    pub number: u64,
}

impl StoreRevision {
    /// A revision within an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// The revision before this one in the same era.
    pub fn previous(self) -> Self {
        Self { number: self.number.saturating_sub(1), ..self }
    }
}

impl From<u64> for StoreRevision {
    /// A revision of a store that names no era.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl PartialEq<u64> for StoreRevision {
    fn eq(&self, number: &u64) -> bool {
        *self == Self::from(*number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}/{}", self.number),
        }
    }
}
