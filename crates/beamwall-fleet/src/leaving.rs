//! Marks of back ends that are leaving. One source is enough to treat a back end as leaving.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Source of the information that a back end is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSource {
    /// The cloud announced that it will reclaim the machine.
    Notice,
    /// The machine list states that the machine is leaving.
    List,
    /// The placement plan releases the machine.
    Plan,
    /// The back end itself reports that it is leaving.
    Engine,
}

impl LeavingSource {
    /// Name used in messages and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Notice => "notice",
            Self::List => "list",
            Self::Plan => "plan",
            Self::Engine => "engine",
        }
    }

    /// Parses the name used in messages. An unknown name counts as a notice, the strongest source.
    pub fn parse(text: &str) -> Self {
        match text {
            "list" => Self::List,
            "plan" => Self::Plan,
            "engine" => Self::Engine,
            _ => Self::Notice,
        }
    }
}

/// The sources that report one back end as leaving, each with an optional deadline.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeavingMarks {
    sources: BTreeMap<LeavingSource, Option<Instant>>,
}

impl LeavingMarks {
    /// Adds a mark. Returns whether the source is new or gave a deadline for the first time.
    pub fn mark(&mut self, source: LeavingSource, deadline: Option<Instant>) -> bool {
        match self.sources.get(&source) {
            Some(known) if known.is_some() || deadline.is_none() => false,
            _ => {
                self.sources.insert(source, deadline);
                true
            }
        }
    }

    /// Removes the mark of a source that no longer reports the back end as leaving. Notices are never
    /// removed.
    pub fn unmark(&mut self, source: LeavingSource) {
        if source != LeavingSource::Notice {
            self.sources.remove(&source);
        }
    }

    /// Whether any source reports the back end as leaving.
    pub fn is_leaving(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Whether this source reports the back end as leaving.
    pub fn has(&self, source: LeavingSource) -> bool {
        self.sources.contains_key(&source)
    }

    /// When the back end stops, by the earliest deadline; `None` if it stops after its requests have ended.
    pub fn deadline(&self) -> Option<Instant> {
        self.sources.values().flatten().min().copied()
    }

    /// The sources with their deadlines.
    pub fn sources(&self) -> impl Iterator<Item = (LeavingSource, Option<Instant>)> {
        self.sources.iter().map(|(source, deadline)| (*source, *deadline))
    }
}
