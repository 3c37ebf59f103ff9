//! Marks that a back end is leaving. Any one source suffices: leaving wins.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// How it was learned that a back end is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeavingSource {
    /// The cloud announced that it takes the machine back.
    Notice,
    /// The machine list says so.
    List,
    /// The plan gives the machine back.
    Plan,
    /// The back end said so itself.
    Engine,
}

impl LeavingSource {
    /// The word used in messages and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Notice => "notice",
            Self::List => "list",
            Self::Plan => "plan",
            Self::Engine => "engine",
        }
    }

    /// Reads the word used in messages; unknown words count as a notice, the strongest source.
    pub fn parse(text: &str) -> Self {
        match text {
            "list" => Self::List,
            "plan" => Self::Plan,
            "engine" => Self::Engine,
            _ => Self::Notice,
        }
    }
}

/// The marks on one back end.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeavingMarks {
    sources: BTreeMap<LeavingSource, Option<Instant>>,
}

impl LeavingMarks {
    /// Adds a mark; returns whether it is news.
    pub fn mark(&mut self, source: LeavingSource, deadline: Option<Instant>) -> bool {
        match self.sources.get(&source) {
            Some(known) if known.is_some() || deadline.is_none() => false,
            _ => {
                self.sources.insert(source, deadline);
                true
            }
        }
    }

    /// Takes back a mark that its source no longer holds. Notices are never taken back.
    pub fn unmark(&mut self, source: LeavingSource) {
        if source != LeavingSource::Notice {
            self.sources.remove(&source);
        }
    }

    /// Whether any source says leaving.
    pub fn is_leaving(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Whether this source says leaving.
    pub fn has(&self, source: LeavingSource) -> bool {
        self.sources.contains_key(&source)
    }

    /// When the back end stops; `None` when it waits for its requests.
    pub fn deadline(&self) -> Option<Instant> {
        self.sources.values().flatten().min().copied()
    }

    /// The marks.
    pub fn sources(&self) -> impl Iterator<Item = (LeavingSource, Option<Instant>)> {
        self.sources.iter().map(|(source, deadline)| (*source, *deadline))
    }
}
