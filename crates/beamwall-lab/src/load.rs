//! Sends a workload open-loop and records what the callers saw.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::caller::{CallAnswer, Caller, Question, StreamAnswer, StreamEnd};
use crate::report::{Report, Series, record};
use crate::workload::{Fleet, Item, Work};

/// Status of an answer over a limit.
const LIMITED: u16 = 429;

/// What one call was told, to be held against what truly ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldCall {
    /// The caller's own identifier of the call.
    pub call: String,
    /// Idempotency key; empty for none.
    pub key: String,
    /// The outcome told; empty when there was no word.
    pub outcome: String,
    /// Whether an earlier answer was replayed.
    pub replayed: bool,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Results {
    /// Times and ends.
    pub report: Report,
    /// Calls and what their callers were told.
    pub told: Vec<ToldCall>,
    /// Tokens computed again, as told in the answers.
    pub recomputed_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Prompt tokens asked for.
    pub prompt_tokens: u64,
    /// Tokens received.
    pub tokens: u64,
}

/// Sends all items; a tenant's requests go to the callers' addresses in turn.
pub async fn run(fleet: Fleet, items: Vec<Item>, callers: &BTreeMap<String, Vec<Caller>>) -> Results {
    let results = Arc::new(Mutex::new(Results::default()));
    let start = Instant::now();
    let mut tasks = Vec::new();
    for item in items {
        sleep_until(start + item.at).await;
        let Some(of_tenant) = callers.get(item.tenant) else { continue };
        let caller = of_tenant[item.number % of_tenant.len()].clone();
        let results = results.clone();
        tasks.push(tokio::spawn(async move { send(fleet, &item, &caller, &results).await }));
    }
    for task in tasks {
        let _ = task.await;
    }
    Arc::into_inner(results)
        .map(|results| results.into_inner().unwrap_or_else(PoisonError::into_inner))
        .unwrap_or_default()
}

async fn send(fleet: Fleet, item: &Item, caller: &Caller, results: &Mutex<Results>) {
    let (model, service) = fleet.services();
    match &item.work {
        Work::Model { class, session, prompt, max_tokens } => {
            let question = Question {
                model: model.to_owned(),
                prompt: prompt.clone(),
                max_tokens: *max_tokens,
                session: session.clone(),
                class: (*class).to_owned(),
            };
            let answer = caller.stream(&question).await;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            note_stream(&mut results, item, &question, &answer);
        }
        Work::Call { path, key } => {
            let call = format!("call-{}", item.number);
            let answer = caller.call(service, path, key, &call, &json!({"call": call})).await;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            note_call(&mut results, item, call, key, &answer);
        }
    }
}

fn series<'a>(results: &'a mut Results, item: &Item) -> &'a mut Series {
    results.report.series.entry((item.label.to_owned(), item.tenant.to_owned())).or_default()
}

fn note_stream(results: &mut Results, item: &Item, question: &Question, answer: &StreamAnswer) {
    let usage = |name: &str| answer.usage[name].as_u64().unwrap_or(0);
    results.recomputed_tokens += usage("recomputed_tokens");
    results.cached_tokens += answer.usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
    results.prompt_tokens += usage("prompt_tokens");
    results.tokens += u64::from(answer.tokens);
    let whole = crate::text::answer(&question.prompt, question.max_tokens);
    let series = series(results, item);
    if let Some(first) = answer.first_token {
        record(&mut series.first, first);
    }
    for gap in &answer.gaps {
        record(&mut series.between, *gap);
    }
    let ends = &mut series.ends;
    match &answer.end {
        _ if !whole.starts_with(&answer.text) => ends.wrong += 1,
        StreamEnd::Done if answer.text == whole => ends.exact += 1,
        StreamEnd::Done => ends.wrong += 1,
        StreamEnd::Interrupted => ends.interrupted += 1,
        StreamEnd::Refused { status: LIMITED, .. } => ends.limited += 1,
        StreamEnd::Refused { outcome, .. } if outcome == "not-run" => ends.not_run += 1,
        StreamEnd::Refused { .. } => ends.unknown += 1,
        StreamEnd::Broken(_) => ends.silent += 1,
    }
}

fn note_call(results: &mut Results, item: &Item, call: String, key: &str, answer: &CallAnswer) {
    results.told.push(ToldCall {
        call,
        key: key.to_owned(),
        outcome: answer.outcome.clone(),
        replayed: answer.replayed,
    });
    let series = series(results, item);
    record(&mut series.first, answer.time);
    let ends = &mut series.ends;
    match (answer.status, answer.outcome.as_str()) {
        (200, _) => ends.exact += 1,
        (LIMITED, _) => ends.limited += 1,
        (0, _) => ends.silent += 1,
        (_, "not-run") => ends.not_run += 1,
        _ => ends.unknown += 1,
    }
}
