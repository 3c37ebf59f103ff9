//! Rollouts in the form of messages.

use std::time::Duration;

use beamwall_model::{BackendId, EngineVersion, ServiceName, to_ms};
use beamwall_peer::rollout_message::{
    RolloutNews, ToldAnswers, ToldEvidence, ToldOrder, ToldOrderId, ToldStage,
};
use beamwall_rollout::{AnswerCounts, Evidence, OrderId, OrderNews, RolloutOrder, Stage, StageNews, Verdict};

fn encode_id(id: &OrderId) -> Option<ToldOrderId> {
    Some(ToldOrderId { service: id.service.to_string(), target: id.target.to_string(), made: id.made })
}

fn decode_id(id: Option<&ToldOrderId>) -> Option<OrderId> {
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
    orders: Vec<OrderNews>,
    stages: Vec<StageNews>,
    evidence: Vec<(OrderId, Evidence)>,
) -> Option<RolloutNews> {
    (!orders.is_empty()).then(|| RolloutNews {
        orders: orders.iter().map(encode_order).collect(),
        stages: stages.iter().map(encode_stage).collect(),
        evidence: evidence.iter().map(encode_evidence).collect(),
    })
}

fn encode_order(news: &OrderNews) -> ToldOrder {
    ToldOrder {
        id: encode_id(&news.order.id),
        interval_ms: to_ms(news.order.interval),
        revision: news.revision,
        age_ms: to_ms(news.age),
        verdict: encode_verdict(news.verdict),
        is_withdrawn: news.is_withdrawn,
    }
}

fn encode_stage(news: &StageNews) -> ToldStage {
    ToldStage {
        id: encode_id(&news.order),
        epoch: news.mark.0,
        number: news.mark.1,
        share: news.stage.share,
        back_ends: news.stage.back_ends as u64,
        takes_all_in_ms: news.stage.takes_all_in.map(to_ms),
        age_ms: to_ms(news.age),
    }
}

fn encode_evidence((id, evidence): &(OrderId, Evidence)) -> ToldEvidence {
    let row = |route: &String, back_end: String, counts: &AnswerCounts| ToldAnswers {
        route: route.clone(),
        back_end,
        answers: counts.answers,
        bad: counts.bad,
    };
    let old = evidence.old.iter().map(|(route, counts)| row(route, String::new(), counts));
    let new = evidence.new.iter().map(|((route, id), counts)| row(route, id.to_string(), counts));
    ToldEvidence {
        id: encode_id(id),
        requests: evidence.requests,
        exposed: evidence.exposed,
        answers: old.chain(new).collect(),
    }
}

/// Orders as heard.
pub fn decode_orders(news: &RolloutNews) -> Vec<OrderNews> {
    let decode = |told: &ToldOrder| {
        Some(OrderNews {
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
pub fn decode_stages(news: &RolloutNews) -> Vec<StageNews> {
    let decode = |told: &ToldStage| {
        Some(StageNews {
            order: decode_id(told.id.as_ref())?,
            mark: (told.epoch, told.number),
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

/// What others counted.
pub fn decode_evidence(news: &RolloutNews) -> Vec<(OrderId, Evidence)> {
    let decode = |told: &ToldEvidence| {
        let mut evidence = Evidence { requests: told.requests, exposed: told.exposed, ..Evidence::default() };
        for row in &told.answers {
            let counts = AnswerCounts { answers: row.answers, bad: row.bad };
            if row.back_end.is_empty() {
                evidence.old.insert(row.route.clone(), counts);
            } else {
                evidence.new.insert((row.route.clone(), BackendId::new(&row.back_end)), counts);
            }
        }
        Some((decode_id(told.id.as_ref())?, evidence))
    };
    news.evidence.iter().filter_map(decode).collect()
}
