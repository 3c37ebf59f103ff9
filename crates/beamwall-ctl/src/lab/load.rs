//! `lab load`: replays a fleet's workload against a deployment of processes and reports.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use beamwall_http::{JsonClient, Pool};
use beamwall_lab::application::RanCall;
use beamwall_lab::caller::Caller;
use beamwall_lab::cloud::{LabMachine, Wave};
use beamwall_lab::load::{Results, ToldCall};
use beamwall_lab::report::Report;
use beamwall_lab::workload::Fleet;
use serde_json::{Value, json};

use crate::arguments::LoadOptions;
use crate::error::CommandError;
use crate::lab::deployment::Deployment;

const LIMIT: Duration = Duration::from_secs(5);

fn failed(reason: impl std::fmt::Display) -> CommandError {
    CommandError::Experiment(reason.to_string())
}

/// Runs the load and prints its report; fails when a promise was broken.
pub async fn run(options: &LoadOptions) -> Result<(), CommandError> {
    let name =
        options.directory.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let fleet = Fleet::of_directory(&name);
    let deployment = Deployment::start(&options.directory, options.speed).await?;
    let result = measure(options, fleet, &deployment).await;
    deployment.stop().await;
    let (report, broken) = result?;
    write_report(options, &report)?;
    print_report(&report);
    if broken.is_empty() { Ok(()) } else { Err(failed(broken.join("; "))) }
}

async fn measure(
    options: &LoadOptions,
    fleet: Fleet,
    deployment: &Deployment,
) -> Result<(Report, Vec<String>), CommandError> {
    let policy = options.policy.as_deref();
    if let Some(policy) = policy {
        set_policy(deployment, fleet, policy).await?;
    }
    let length = Duration::from_secs(options.seconds);
    let items = fleet.items(options.seed, options.rate, length);
    let sent = items.len();
    let wave = reclaim_later(options, deployment);
    let started = tokio::time::Instant::now();
    let mut results = beamwall_lab::load::run(fleet, items, &callers(deployment)).await;
    let elapsed = started.elapsed();
    wave.await.map_err(failed)?;
    let ran = ran_calls(deployment).await?;
    let broken = broken_promises(&results, &ran);
    add_facts(&mut results, sent, elapsed, &machines(deployment).await?, options);
    Ok((results.report, broken))
}

/// Sets the routing policy of the model service through the settings tree.
async fn set_policy(deployment: &Deployment, fleet: Fleet, policy: &str) -> Result<(), CommandError> {
    let (model, _) = fleet.services();
    let client = deployment.operator(0);
    let tree = client.tree("/").await?;
    let found = tree.documents.iter().find(|(_, text)| text.contains(&format!("model = \"{model}\"")));
    let (path, text) = found.ok_or_else(|| failed(format!("no service serves {model}")))?;
    let section = format!("[routing]\npolicy = \"{policy}\"");
    let text = text.replace("[routing]", &section);
    let edit = json!({"base_revision": tree.revision, "changes": [{"path": path, "text": text}]});
    let revision = client.post("/v1/admin/tree", &edit).await?["revision"].as_u64();
    deployment.wait_for_revision(revision.unwrap_or(0)).await
}

fn callers(deployment: &Deployment) -> BTreeMap<String, Vec<Caller>> {
    let of_tenant =
        |key: &String| deployment.nodes.iter().map(|node| Caller::new(node.callers, key)).collect();
    deployment.keys.tenants.iter().map(|(tenant, key)| (tenant.clone(), of_tenant(key))).collect()
}

fn cloud(deployment: &Deployment) -> JsonClient {
    JsonClient::new(Pool::new(LIMIT), deployment.nodes[0].cloud, LIMIT)
}

/// Takes the engines of the chosen zone back in the middle of the run.
fn reclaim_later(options: &LoadOptions, deployment: &Deployment) -> tokio::task::JoinHandle<()> {
    let client = cloud(deployment);
    let zone = options.reclaim_zone.clone();
    let in_zone = |machine: &&LabMachine| {
        zone.as_deref() == Some(machine.zone.as_str()) && machine.class != "application"
    };
    let machines: Vec<String> =
        deployment.machines.iter().filter(in_zone).map(|machine| machine.id.clone()).collect();
    let wave = Wave { machines, notice_ms: options.notice_ms };
    let middle = Duration::from_secs(options.seconds) / 2;
    tokio::spawn(async move {
        if !wave.machines.is_empty() {
            tokio::time::sleep(middle).await;
            let _ = client.post("/_lab/wave", &wave).await;
        }
    })
}

async fn machines(deployment: &Deployment) -> Result<Vec<LabMachine>, CommandError> {
    Ok(cloud(deployment).get("/_lab/machines").await?.json()?)
}

async fn ran_calls(deployment: &Deployment) -> Result<Vec<RanCall>, CommandError> {
    let mut ran = Vec::new();
    for machine in deployment.machines.iter().filter(|machine| machine.class == "application") {
        let address = machine.address.parse().map_err(failed)?;
        let client = JsonClient::new(Pool::new(LIMIT), address, LIMIT);
        ran.extend(client.get("/_lab/ran").await?.json::<Vec<RanCall>>()?);
    }
    Ok(ran)
}

/// Holds what callers were told against what truly ran.
fn broken_promises(results: &Results, ran: &[RanCall]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for call in ran.iter().filter(|call| !call.key.is_empty()) {
        *by_key.entry(call.key.as_str()).or_default() += 1;
    }
    let doubled = by_key.values().filter(|count| **count > 1).count();
    if doubled > 0 {
        broken.push(format!("{doubled} keys took effect more than once"));
    }
    let ran_calls: BTreeSet<&str> = ran.iter().map(|call| call.call.as_str()).collect();
    let lied = |told: &&ToldCall| told.outcome == "not-run" && ran_calls.contains(told.call.as_str());
    let lies = results.told.iter().filter(lied).count();
    if lies > 0 {
        broken.push(format!("{lies} calls were told not run, but ran"));
    }
    let ends = results.report.by_kind();
    let wrong: u64 = ends.values().map(|series| series.ends.wrong).sum();
    if wrong > 0 {
        broken.push(format!("{wrong} answers were not the caller's own whole answer"));
    }
    broken
}

fn add_facts(
    results: &mut Results,
    sent: usize,
    elapsed: Duration,
    machines: &[LabMachine],
    options: &LoadOptions,
) {
    let price: u64 = machines.iter().map(|machine| machine.price_micros_per_hour).sum();
    let facts: [(&str, Value); 9] = [
        ("requests", json!(sent)),
        ("seed", json!(options.seed)),
        ("seconds", json!(elapsed.as_secs_f64())),
        ("policy", json!(options.policy.as_deref().unwrap_or("as the tree says"))),
        ("tokens", json!(results.tokens)),
        ("prompt_tokens", json!(results.prompt_tokens)),
        ("cached_tokens", json!(results.cached_tokens)),
        ("recomputed_tokens", json!(results.recomputed_tokens)),
        ("price_micros_per_hour_at_end", json!(price)),
    ];
    results.report.facts.extend(facts.into_iter().map(|(name, value)| (name.to_owned(), value)));
}

fn write_report(options: &LoadOptions, report: &Report) -> Result<(), CommandError> {
    let file_error = |path: &Path| {
        let shown = path.display().to_string();
        move |cause| CommandError::File(shown, cause)
    };
    if let Some(path) = &options.report {
        let text = serde_json::to_string_pretty(&report.to_json()).unwrap_or_default();
        std::fs::write(path, text).map_err(file_error(path))?;
    }
    if let Some(path) = &options.plot {
        report.plot(path).map_err(failed)?;
    }
    Ok(())
}

fn print_report(report: &Report) {
    for (name, value) in &report.facts {
        println!("{name}: {value}");
    }
    println!(
        "\n| kind | exact | not run | unknown | limited | silent | wrong | first p50 ms | p95 | p99 | between p50 ms | p95 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (kind, series) in report.by_kind() {
        let ends = &series.ends;
        let first = |quantile| series.first.value_at_quantile(quantile) as f64 / 1_000.0;
        let between = |quantile| series.between.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "| {kind} | {} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
            ends.exact,
            ends.not_run,
            ends.unknown,
            ends.limited,
            ends.silent,
            ends.wrong,
            first(0.5),
            first(0.95),
            first(0.99),
            between(0.5),
            between(0.95),
        );
    }
}
