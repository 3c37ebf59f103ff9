//! Rollouts in the form of messages.

use std::collections::BTreeMap;
use std::time::Duration;

use beamwall_model::{BackendId, EngineVersion, ServiceName, to_ms};
use beamwall_peer::rollout_message::{
    AnswerCountsMessage, EvidenceMessage, OrderIdMessage, OrderMessage, RolloutUpdate, StageMessage,
};
use beamwall_rollout::{
    AnswerCounts, CountsByBackEnd, Evidence, OrderId, OrderUpdate, RolloutOrder, Stage, StageUpdate, Verdict,
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

/// What is told of rollouts; `None` where there are none.
pub fn encode(
    orders: Vec<OrderUpdate>,
    stages: Vec<StageUpdate>,
    evidence: Vec<(OrderId, Evidence)>,
) -> Option<RolloutUpdate> {
    (!orders.is_empty()).then(|| RolloutUpdate {
        orders: orders.iter().map(encode_order).collect(),
        stages: stages.iter().map(encode_stage).collect(),
        evidence: evidence.iter().map(encode_evidence).collect(),
    })
}

fn encode_order(news: &OrderUpdate) -> OrderMessage {
    OrderMessage {
        id: encode_id(&news.order.id),
        interval_ms: to_ms(news.order.interval),
        revision: news.revision,
        age_ms: to_ms(news.age),
        verdict: encode_verdict(news.verdict),
        is_withdrawn: news.is_withdrawn,
    }
}

fn encode_stage(news: &StageUpdate) -> StageMessage {
    StageMessage {
        id: encode_id(&news.order),
        epoch: news.sequence.0,
        number: news.sequence.1,
        share: news.stage.share,
        back_ends: news.stage.back_ends as u64,
        takes_all_in_ms: news.stage.takes_all_in.map(to_ms),
        age_ms: to_ms(news.age),
    }
}

fn encode_evidence((id, evidence): &(OrderId, Evidence)) -> EvidenceMessage {
    let mut answers = encode_sums_by_route(&evidence.old);
    answers.extend(encode_counts(&evidence.new));
    EvidenceMessage {
        id: encode_id(id),
        requests: evidence.requests,
        exposed: evidence.exposed,
        answers,
        old_answers: encode_counts(&evidence.old),
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

/// The sums that builds read which do not tell the old version's back ends apart.
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

/// Orders as heard.
pub fn decode_orders(news: &RolloutUpdate) -> Vec<OrderUpdate> {
    let decode = |told: &OrderMessage| {
        Some(OrderUpdate {
            order: RolloutOrder {
                id: decode_id(told.id.as_ref())?,
                interval: Duration::from_millis(told.interval_ms),
            },
            revision: told.revision,
            age: Duration::from_millis(told.age_ms),
            verdict: decode_verdict(told.verdict),
            is_withdrawn: told.is_withdrawn,
        })
    };
    news.orders.iter().filter_map(decode).collect()
}

/// Stages as heard.
pub fn decode_stages(news: &RolloutUpdate) -> Vec<StageUpdate> {
    let decode = |told: &StageMessage| {
        Some(StageUpdate {
            order: decode_id(told.id.as_ref())?,
            sequence: (told.epoch, told.number),
            stage: Stage {
                share: told.share.clamp(0.0, 1.0),
                back_ends: usize::try_from(told.back_ends).unwrap_or(usize::MAX),
                takes_all_in: told.takes_all_in_ms.map(Duration::from_millis),
            },
            age: Duration::from_millis(told.age_ms),
        })
    };
    news.stages.iter().filter_map(decode).collect()
}

/// What others counted. Builds that do not tell the old version's back ends apart tell their sums: these stand as those of one
/// back end without a name.
pub fn decode_evidence(news: &RolloutUpdate) -> Vec<(OrderId, Evidence)> {
    let decode = |told: &EvidenceMessage| {
        let (sums, of_new): (Vec<&AnswerCountsMessage>, Vec<&AnswerCountsMessage>) =
            told.answers.iter().partition(|row| row.back_end.is_empty());
        let of_old = if told.old_answers.is_empty() { sums } else { told.old_answers.iter().collect() };
        let evidence = Evidence {
            requests: told.requests,
            exposed: told.exposed,
            old: decode_counts(of_old),
            new: decode_counts(of_new),
        };
        Some((decode_id(told.id.as_ref())?, evidence))
    };
    news.evidence.iter().filter_map(decode).collect()
}

fn decode_counts(rows: Vec<&AnswerCountsMessage>) -> CountsByBackEnd {
    let decode = |row: &AnswerCountsMessage| {
        let counts = AnswerCounts { answers: row.answers, bad: row.bad };
        ((row.route.clone(), BackendId::new(&row.back_end)), counts)
    };
    rows.into_iter().map(decode).collect()
}
