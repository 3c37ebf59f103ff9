//! Evidence against requests in the form of messages.

use beamwall_model::BackendId;
use beamwall_peer::quarantine_message::{
    CompletionMessage, QuarantineUpdate, TerminationMessage, TrialMessage,
};
use beamwall_quarantine::fingerprint::FINGERPRINT_BYTES;
use beamwall_quarantine::{Completion, Evidence, Fingerprint, Termination, Trial};

/// Evidence as told.
pub fn encode(evidence: &Evidence) -> QuarantineUpdate {
    let ending = |ending: &Termination| TerminationMessage {
        backend: ending.backend.to_string(),
        at_ms: ending.at_ms,
        open: ending.open.iter().flat_map(|request| *request.as_bytes()).collect(),
    };
    let completion = |completion: &Completion| CompletionMessage {
        request: completion.request.as_bytes().to_vec(),
        at_ms: completion.at_ms,
    };
    let trial = |trial: &Trial| TrialMessage {
        request: trial.request.as_bytes().to_vec(),
        number: trial.number,
        at_ms: trial.at_ms,
    };
    QuarantineUpdate {
        endings: evidence.endings.iter().map(ending).collect(),
        completions: evidence.completions.iter().map(completion).collect(),
        trials: evidence.trials.iter().map(trial).collect(),
    }
}

/// Evidence as heard; what names no request is passed over.
pub fn decode(news: &QuarantineUpdate) -> Evidence {
    let ending = |told: &TerminationMessage| Termination {
        backend: BackendId::new(&told.backend),
        at_ms: told.at_ms,
        open: told.open.chunks(FINGERPRINT_BYTES).filter_map(fingerprint).collect(),
    };
    let completion = |told: &CompletionMessage| {
        Some(Completion { request: fingerprint(&told.request)?, at_ms: told.at_ms })
    };
    let trial = |told: &TrialMessage| {
        Some(Trial { request: fingerprint(&told.request)?, number: told.number, at_ms: told.at_ms })
    };
    Evidence {
        endings: news.endings.iter().map(ending).collect(),
        completions: news.completions.iter().filter_map(completion).collect(),
        trials: news.trials.iter().filter_map(trial).collect(),
    }
}

fn fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    bytes.try_into().ok().map(Fingerprint::new)
}
