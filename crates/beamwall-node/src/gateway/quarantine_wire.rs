//! Conversion of evidence against requests to and from messages.

use beamwall_model::{BackendId, EngineVersion};
use beamwall_peer::quarantine_message::{
    CompletionKind, CompletionMessage, ExposuresMessage, QuarantineUpdate, TerminationMessage, TrialMessage,
};
use beamwall_quarantine::fingerprint::FINGERPRINT_BYTES;
use beamwall_quarantine::{
    BackEndExposures, Completion, CompletionBasis, Evidence, Fingerprint, OpenSuspect, Survival, Termination,
    Trial,
};

/// Encodes evidence.
pub fn encode(evidence: &Evidence) -> QuarantineUpdate {
    let termination = |termination: &Termination| TerminationMessage {
        backend: termination.backend.to_string(),
        at_ms: termination.at_ms,
        open: termination.open.iter().flat_map(|request| *request.as_bytes()).collect(),
        version: encode_version(termination.version.as_ref()),
    };
    let completion = |completion: &Completion| {
        let (kind, survived_ms) = encode_basis(completion.basis);
        CompletionMessage {
            request: completion.request.as_bytes().to_vec(),
            at_ms: completion.at_ms,
            kind: kind.into(),
            survived_ms,
            version: encode_version(completion.version.as_ref()),
        }
    };
    let trial = |trial: &Trial| TrialMessage {
        request: trial.request.as_bytes().to_vec(),
        number: trial.number,
        at_ms: trial.at_ms,
    };
    let exposures = |exposures: &BackEndExposures| ExposuresMessage {
        backend: exposures.backend.to_string(),
        requests: exposures.suspects.iter().flat_map(|exposed| *exposed.suspect.as_bytes()).collect(),
        exposure_ms: exposures.suspects.iter().map(|exposed| exposed.exposure_ms).collect(),
    };
    QuarantineUpdate {
        endings: evidence.endings.iter().map(termination).collect(),
        completions: evidence.completions.iter().map(completion).collect(),
        trials: evidence.trials.iter().map(trial).collect(),
        exposures: evidence.exposures.iter().map(exposures).collect(),
    }
}

fn encode_version(version: Option<&EngineVersion>) -> String {
    version.map(EngineVersion::to_string).unwrap_or_default()
}

fn decode_version(name: &str) -> Option<EngineVersion> {
    (!name.is_empty()).then(|| EngineVersion::new(name))
}

fn encode_basis(basis: CompletionBasis) -> (CompletionKind, u64) {
    match basis {
        CompletionBasis::Completed => (CompletionKind::Completed, 0),
        CompletionBasis::Survived(Survival::Writing(time_ms)) => (CompletionKind::Writing, time_ms),
        CompletionBasis::Survived(Survival::Running(time_ms)) => (CompletionKind::Running, time_ms),
        CompletionBasis::Recorded => (CompletionKind::Recorded, 0),
    }
}

fn decode_basis(kind: CompletionKind, survived_ms: u64) -> CompletionBasis {
    match kind {
        CompletionKind::Completed => CompletionBasis::Completed,
        CompletionKind::Writing => CompletionBasis::Survived(Survival::Writing(survived_ms)),
        CompletionKind::Running => CompletionBasis::Survived(Survival::Running(survived_ms)),
        CompletionKind::Recorded => CompletionBasis::Recorded,
    }
}

/// Decodes evidence; entries without a valid fingerprint are skipped.
pub fn decode(update: &QuarantineUpdate) -> Evidence {
    let termination = |wire_entry: &TerminationMessage| Termination {
        backend: BackendId::new(&wire_entry.backend),
        version: decode_version(&wire_entry.version),
        at_ms: wire_entry.at_ms,
        open: wire_entry.open.chunks(FINGERPRINT_BYTES).filter_map(fingerprint).collect(),
    };
    let completion = |wire_entry: &CompletionMessage| {
        let basis = decode_basis(wire_entry.kind(), wire_entry.survived_ms);
        let version = decode_version(&wire_entry.version);
        Some(Completion {
            request: fingerprint(&wire_entry.request)?,
            version,
            at_ms: wire_entry.at_ms,
            basis,
        })
    };
    let trial = |wire_entry: &TrialMessage| {
        Some(Trial {
            request: fingerprint(&wire_entry.request)?,
            number: wire_entry.number,
            at_ms: wire_entry.at_ms,
        })
    };
    let exposures = |wire_entry: &ExposuresMessage| {
        let requests = wire_entry.requests.chunks(FINGERPRINT_BYTES).map(fingerprint);
        let exposed = requests.zip(&wire_entry.exposure_ms);
        let suspects = exposed.filter_map(|(suspect, exposure_ms)| {
            Some(OpenSuspect { suspect: suspect?, exposure_ms: *exposure_ms })
        });
        BackEndExposures { backend: BackendId::new(&wire_entry.backend), suspects: suspects.collect() }
    };
    Evidence {
        endings: update.endings.iter().map(termination).collect(),
        completions: update.completions.iter().filter_map(completion).collect(),
        trials: update.trials.iter().filter_map(trial).collect(),
        exposures: update.exposures.iter().map(exposures).collect(),
    }
}

/// Reads a fingerprint; `None` if its length is wrong.
pub(super) fn fingerprint(bytes: &[u8]) -> Option<Fingerprint> {
    bytes.try_into().ok().map(Fingerprint::new)
}
