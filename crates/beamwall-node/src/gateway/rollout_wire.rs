//! Conversion of rollouts to and from messages.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::{BackendId, EngineVersion, ServiceName, StoreRevision, ZoneName, to_ms};
use beamwall_peer::rollout_message::{
    AnswerCountsMessage, EndedEvidenceMessage, EndedGenerationMessage, EvidenceMessage, OrderIdMessage,
    OrderMessage, RolloutUpdate, StageMessage,
};
use beamwall_rollout::{
    AnswerCounts, CountsByBackEnd, EndedDigest, EndedGeneration, EndedReport, Evidence, NodeEvidence,
    OrderId, OrderUpdate, RolloutOrder, Stage, StageUpdate, Verdict,
};

fn encode_id(id: &OrderId) -> Option<OrderIdMessage> {
    Some(OrderIdMessage { service: id.service.to_string(), target: id.target.to_string(), made: id.made })
}

fn decode_id(id: Option<&OrderIdMessage>) -> Option<OrderId> {
    let id = id?;
    Some(OrderId {
        service: ServiceName::new(&id.service),
        target: EngineVersion::new(&id.target),
        made: id.made,
    })
}

fn encode_verdict(verdict: Verdict) -> u32 {
    match verdict {
        Verdict::Running => 0,
        Verdict::RolledBack => 1,
        Verdict::Succeeded => 2,
    }
}

fn decode_verdict(number: u32) -> Verdict {
    match number {
        1 => Verdict::RolledBack,
        2 => Verdict::Succeeded,
        _ => Verdict::Running,
    }
}

/// Encodes the rollouts with the evidence of a zone; `None` if there are none.
pub fn encode(
    orders: Vec<OrderUpdate>,
    stages: Vec<StageUpdate>,
    evidence: Vec<(OrderId, Evidence)>,
) -> Option<RolloutUpdate> {
    let evidence = evidence.iter().map(|(id, evidence)| encode_evidence(id, evidence)).collect();
    encode_with(orders, stages, evidence)
}

/// Encodes the rollouts with the evidence that a node reports; `None` if there are none.
pub fn encode_node(
    orders: Vec<OrderUpdate>,
    stages: Vec<StageUpdate>,
    evidence: Vec<(OrderId, NodeEvidence)>,
) -> Option<RolloutUpdate> {
    let evidence = evidence.iter().map(|(id, reported)| encode_node_evidence(id, reported)).collect();
    encode_with(orders, stages, evidence)
}

fn encode_with(
    orders: Vec<OrderUpdate>,
    stages: Vec<StageUpdate>,
    evidence: Vec<EvidenceMessage>,
) -> Option<RolloutUpdate> {
    (!orders.is_empty()).then(|| RolloutUpdate {
        orders: orders.iter().map(encode_order).collect(),
        stages: stages.iter().map(encode_stage).collect(),
        evidence,
    })
}

fn encode_order(rollout_update: &OrderUpdate) -> OrderMessage {
    OrderMessage {
        id: encode_id(&rollout_update.order.id),
        interval_ms: to_ms(rollout_update.order.interval),
        revision: rollout_update.revision.number,
        era: rollout_update.revision.era,
        age_ms: to_ms(rollout_update.age),
        verdict: encode_verdict(rollout_update.verdict),
        is_withdrawn: rollout_update.is_withdrawn,
    }
}

fn encode_stage(rollout_update: &StageUpdate) -> StageMessage {
    StageMessage {
        id: encode_id(&rollout_update.order),
        epoch: rollout_update.sequence.0,
        number: rollout_update.sequence.1,
        share: rollout_update.stage.share,
        back_ends: rollout_update.stage.back_ends as u64,
        takes_all_in_ms: rollout_update.stage.takes_all_in.map(to_ms),
        age_ms: to_ms(rollout_update.age),
    }
}

fn encode_evidence(id: &OrderId, evidence: &Evidence) -> EvidenceMessage {
    let mut answers = encode_sums_by_route(&evidence.old);
    answers.extend(encode_counts(&evidence.new));
    EvidenceMessage {
        id: encode_id(id),
        requests: evidence.requests,
        exposed: evidence.exposed,
        answers,
        old_answers: encode_counts(&evidence.old),
        generations: evidence.generations.as_slice().to_vec(),
        ended: None,
    }
}

fn encode_node_evidence(id: &OrderId, reported: &NodeEvidence) -> EvidenceMessage {
    let ended = reported.ended.as_ref().map(encode_ended);
    EvidenceMessage { ended, ..encode_evidence(id, &reported.counts) }
}

fn encode_ended(ended: &EndedReport) -> EndedEvidenceMessage {
    EndedEvidenceMessage {
        known: ended.known.iter().map(encode_digest).collect(),
        told: ended.told.iter().map(encode_ended_generation).collect(),
    }
}

fn encode_digest(digest: &EndedDigest) -> u64 {
    u64::from(digest.generation) << u32::BITS | u64::from(digest.checksum)
}

fn decode_digest(encoded: u64) -> EndedDigest {
    EndedDigest { generation: (encoded >> u32::BITS) as u32, checksum: encoded as u32 }
}

fn encode_ended_generation(ended: &EndedGeneration) -> EndedGenerationMessage {
    EndedGenerationMessage {
        zone: ended.zone.to_string(),
        generation: ended.generation,
        requests: ended.counts.requests,
        exposed: ended.counts.exposed,
        old_answers: encode_counts(&ended.counts.old),
        new_answers: encode_counts(&ended.counts.new),
    }
}

fn encode_counts(counts: &CountsByBackEnd) -> Vec<AnswerCountsMessage> {
    let row = |((route, back_end), counts): (&(String, BackendId), &AnswerCounts)| AnswerCountsMessage {
        route: route.clone(),
        back_end: back_end.to_string(),
        answers: counts.answers,
        bad: counts.bad,
    };
    counts.iter().map(row).collect()
}

/// Sums by route for builds that do not distinguish the back ends of the old version.
fn encode_sums_by_route(counts: &CountsByBackEnd) -> Vec<AnswerCountsMessage> {
    let mut sums: BTreeMap<&str, AnswerCounts> = BTreeMap::new();
    for ((route, _), counts) in counts {
        sums.entry(route).or_default().add(*counts);
    }
    let row = |(route, sum): (&str, AnswerCounts)| AnswerCountsMessage {
        route: route.to_owned(),
        back_end: String::new(),
        answers: sum.answers,
        bad: sum.bad,
    };
    sums.into_iter().map(row).collect()
}

/// Decodes orders.
pub fn decode_orders(update: &RolloutUpdate) -> Vec<OrderUpdate> {
    let decode = |wire_entry: &OrderMessage| {
        Some(OrderUpdate {
            order: RolloutOrder {
                id: decode_id(wire_entry.id.as_ref())?,
                interval: Duration::from_millis(wire_entry.interval_ms),
            },
            revision: StoreRevision::new(wire_entry.era, wire_entry.revision),
            age: Duration::from_millis(wire_entry.age_ms),
            verdict: decode_verdict(wire_entry.verdict),
            is_withdrawn: wire_entry.is_withdrawn,
        })
    };
    update.orders.iter().filter_map(decode).collect()
}

/// Decodes stages.
pub fn decode_stages(update: &RolloutUpdate) -> Vec<StageUpdate> {
    let decode = |wire_entry: &StageMessage| {
        Some(StageUpdate {
            order: decode_id(wire_entry.id.as_ref())?,
            sequence: (wire_entry.epoch, wire_entry.number),
            stage: Stage {
                share: wire_entry.share.clamp(0.0, 1.0),
                back_ends: usize::try_from(wire_entry.back_ends).unwrap_or(usize::MAX),
                takes_all_in: wire_entry.takes_all_in_ms.map(Duration::from_millis),
            },
            age: Duration::from_millis(wire_entry.age_ms),
        })
    };
    update.stages.iter().filter_map(decode).collect()
}

/// Decodes the evidence of a zone.
pub fn decode_evidence(update: &RolloutUpdate) -> Vec<(OrderId, Evidence)> {
    decode_each(update, decode_counts_of)
}

/// Decodes the evidence that a node reports.
pub fn decode_node_evidence(update: &RolloutUpdate) -> Vec<(OrderId, NodeEvidence)> {
    decode_each(update, |wire_entry| NodeEvidence {
        counts: decode_counts_of(wire_entry),
        ended: wire_entry.ended.as_ref().map(decode_ended),
    })
}

fn decode_each<Decoded>(
    update: &RolloutUpdate,
    decode: impl Fn(&EvidenceMessage) -> Decoded,
) -> Vec<(OrderId, Decoded)> {
    let with_id =
        |wire_entry: &EvidenceMessage| Some((decode_id(wire_entry.id.as_ref())?, decode(wire_entry)));
    update.evidence.iter().filter_map(with_id).collect()
}

/// Decodes counts. Builds that do not distinguish the back ends of the old version send sums by route, which
/// are counted as one back end with an empty name. Builds that do not name the generations of a sum leave its
/// set of generations empty.
fn decode_counts_of(wire_entry: &EvidenceMessage) -> Evidence {
    let (sums, of_new): (Vec<&AnswerCountsMessage>, Vec<&AnswerCountsMessage>) =
        wire_entry.answers.iter().partition(|row| row.back_end.is_empty());
    let of_old =
        if wire_entry.old_answers.is_empty() { sums } else { wire_entry.old_answers.iter().collect() };
    Evidence {
        requests: wire_entry.requests,
        exposed: wire_entry.exposed,
        old: decode_counts(of_old),
        new: decode_counts(of_new),
        generations: wire_entry.generations.iter().copied().collect(),
    }
}

fn decode_ended(ended: &EndedEvidenceMessage) -> EndedReport {
    let mut known: Vec<EndedDigest> = ended.known.iter().copied().map(decode_digest).collect();
    known.sort_unstable();
    EndedReport { known, told: ended.told.iter().map(decode_ended_generation).collect() }
}

fn decode_ended_generation(wire_entry: &EndedGenerationMessage) -> EndedGeneration {
    let counts = Evidence {
        requests: wire_entry.requests,
        exposed: wire_entry.exposed,
        old: decode_counts(wire_entry.old_answers.iter().collect()),
        new: decode_counts(wire_entry.new_answers.iter().collect()),
        generations: std::iter::once(wire_entry.generation).collect(),
    };
    EndedGeneration { zone: ZoneName::new(&wire_entry.zone), generation: wire_entry.generation, counts }
}

fn decode_counts(rows: Vec<&AnswerCountsMessage>) -> CountsByBackEnd {
    let decode = |row: &AnswerCountsMessage| {
        let counts = AnswerCounts { answers: row.answers, bad: row.bad };
        ((row.route.clone(), BackendId::new(&row.back_end)), counts)
    };
    rows.into_iter().map(decode).collect()
}
