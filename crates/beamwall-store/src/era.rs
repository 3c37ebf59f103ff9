//! The eras of a store, as one process knows them.
//!
//! A store that is restored from a copy has lost what was written since, and gives out its revisions again. Each
//! restore begins a new era, which the store names in its answers. Revisions are comparable only within an era.
//!
//! A node learns of an era from any answer of the store, or from a peer. An answer of an earlier era that arrives
//! after that describes a state that is gone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use beamwall_events::emit;
use beamwall_events::internal_events::{StoreEraBegan, StoreEraUnusable};
use tokio::sync::watch;

use crate::object::{ABSENT, ObjectError, Version};

/// What an answer says about the store's era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedEra {
    /// Nothing: the store is never restored, or does not say so.
    Missing,
    /// The era in which it was given.
    Era(u64),
    /// Something that is no number.
    Unreadable(String),
}

impl NamedEra {
    /// Reads the text that an answer names, if any.
    pub fn from_text(text: Option<&str>) -> Self {
        match text.map(|text| (text, text.trim().parse())) {
            None => Self::Missing,
            Some((_, Ok(era))) => Self::Era(era),
            Some((text, Err(_))) => Self::Unreadable(text.to_owned()),
        }
    }
}

/// An answer was given in an era that has ended since its call was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutdatedAnswer;

/// The newest era that is known of one store; 0 while none is. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct StoreEra {
    known: Arc<watch::Sender<u64>>,
    was_unusable_logged: Arc<AtomicBool>,
}

impl StoreEra {
    /// The newest era known.
    pub fn known(&self) -> u64 {
        *self.known.borrow()
    }

    /// The newest era known, and its changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.known.subscribe()
    }

    /// Learns of an era. `source` names who told it in the log.
    pub fn learn(&self, era: u64, source: &str) {
        let mut from = 0;
        let is_news = self.known.send_if_modified(|known| {
            from = *known;
            *known = era.max(*known);
            *known > from
        });
        if is_news {
            let (from, to, source) = (from.to_string(), era.to_string(), source.to_owned());
            emit(&StoreEraBegan { from, to, source });
        }
    }

    /// The era in which an answer was given. `known_before` is the newest era that was known when its call was
    /// sent.
    ///
    /// An answer that names no usable era, or one before the era that was known already, is taken as one of the
    /// known era: a store that stops naming its eras must not stop this node from reading it.
    pub fn of_answer(&self, named: &NamedEra, known_before: u64) -> Result<u64, OutdatedAnswer> {
        if let NamedEra::Era(era) = named {
            self.learn(*era, "answer");
        }
        let known = self.known();
        match named {
            NamedEra::Era(era) if *era == known => return Ok(known),
            NamedEra::Era(era) if *era < known_before => {
                self.report_unusable(&format!("{era} after {known_before}"));
            }
            NamedEra::Unreadable(text) => self.report_unusable(&format!("{text:?}")),
            NamedEra::Missing | NamedEra::Era(_) => {}
        }
        if known == known_before { Ok(known) } else { Err(OutdatedAnswer) }
    }

    fn report_unusable(&self, reason: &str) {
        if !self.was_unusable_logged.swap(true, Ordering::Relaxed) {
            emit(&StoreEraUnusable { reason: reason.to_owned() });
        }
    }
}

/// Checks that a conditional write belongs to one era: that of the version it expects, the one known when it is sent,
/// and the one in which it is answered.
///
/// The expected version of an ended era may have been given to another write since, so meeting it means nothing. What
/// was created while an era began may be lost with the former one.
pub fn check_write(expected: Version, known_before: u64, era: u64) -> Result<(), ObjectError> {
    if expected != ABSENT && (expected.era != known_before || expected.era != era) {
        return Err(ObjectError::Conflict(ABSENT));
    }
    if era != known_before {
        return Err(ObjectError::Ambiguous(format!("era {era} of the store began during the call")));
    }
    Ok(())
}
