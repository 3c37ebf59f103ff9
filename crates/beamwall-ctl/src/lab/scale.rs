//! `lab scale`: the cost of control for each node, and the time until an edit is in force everywhere,
//! measured over several sizes of a deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beamwall_config::Edit;
use beamwall_http::{JsonClient, Pool};
use beamwall_lab::object_store::ObjectCounts;
use serde_json::Value;

use crate::arguments::ScaleOptions;
use crate::error::CommandError;
use crate::lab::deployment::{Deployment, HOLLOW};
use crate::lab::overhead::{processor_seconds, resident_kib};
use crate::lab::sample::Sample;

const LIMIT: Duration = Duration::from_secs(5);
/// Time for views to settle before measuring.
const SETTLE: Duration = Duration::from_secs(8);
/// Edits timed.
const EDITS: u64 = 10;
/// Longest wait for an edit to be in force everywhere.
const EDIT_LIMIT: Duration = Duration::from_secs(30);

fn failed(reason: impl std::fmt::Display) -> CommandError {
    CommandError::Experiment(reason.to_string())
}

/// Measures each size and prints one row for each.
pub async fn run(options: &ScaleOptions) -> Result<(), CommandError> {
    println!(
        "| nodes | zones | engines | documents | processor % of a core a node | memory MiB a node | \
         sent to peers KiB/s a node | platform calls/s a node | edit in force everywhere ms: mean | most |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for per_zone in options.sizes.split(',') {
        let per_zone: usize =
            per_zone.trim().parse().map_err(|_| CommandError::Usage("sizes must be numbers".to_owned()))?;
        measure_size(options, per_zone).await?;
    }
    Ok(())
}

async fn measure_size(options: &ScaleOptions, per_zone: usize) -> Result<(), CommandError> {
    let directory = std::env::temp_dir().join(format!("beamwall-scale-{}-{per_zone}", std::process::id()));
    let sample = Sample {
        zones: options.zones,
        nodes_per_zone: 1,
        hollow_nodes_per_zone: per_zone.saturating_sub(1),
        engines_per_zone: per_zone * options.engines_per_node,
        applications_per_zone: 0,
        extra_documents: options.documents,
        threads: 1,
    };
    sample.write(&directory)?;
    let deployment = Deployment::start(&directory, 1.0).await?;
    let result = measure(options, &deployment).await;
    deployment.stop().await;
    let _ = std::fs::remove_dir_all(&directory);
    println!("{}", result?);
    Ok(())
}

/// Totals at one moment.
struct Totals {
    processor: f64,
    sent_bytes: u64,
    platform_calls: u64,
    at: Instant,
}

async fn measure(options: &ScaleOptions, deployment: &Deployment) -> Result<String, CommandError> {
    tokio::time::sleep(SETTLE).await;
    let hollow = deployment.process_id(HOLLOW).ok_or_else(|| failed("no hollow process"))?;
    let before = totals(deployment, hollow).await?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = totals(deployment, hollow).await?;
    let (mean, most) = time_edits(deployment).await?;
    let hollow_count = deployment.hollow.len() as f64;
    let count = hollow_count + deployment.nodes.len() as f64;
    let elapsed = (after.at - before.at).as_secs_f64();
    let processor = (after.processor - before.processor) / elapsed / hollow_count * 100.0;
    let memory = resident_kib(hollow)? as f64 / 1_024.0 / hollow_count;
    let sent = (after.sent_bytes - before.sent_bytes) as f64 / 1_024.0 / elapsed / hollow_count;
    let calls = (after.platform_calls - before.platform_calls) as f64 / elapsed / count;
    let (zones, engines, documents) = (options.zones, deployment.machines.len(), options.documents);
    Ok(format!(
        "| {count} | {zones} | {engines} | {documents} | {processor:.2} | {memory:.2} | {sent:.2} | {calls:.2} | {mean:.0} | {most:.0} |"
    ))
}

async fn totals(deployment: &Deployment, hollow: u32) -> Result<Totals, CommandError> {
    let pool = Pool::new(LIMIT);
    let mut sent_bytes = 0;
    for node in &deployment.hollow {
        let metrics = JsonClient::new(pool.clone(), node.operators, LIMIT).get("/metrics").await?.text();
        sent_bytes += metric(&metrics, "beamwall_peer_bytes_sent");
    }
    let platform = JsonClient::new(pool, deployment.nodes[0].platform, LIMIT);
    let counts: ObjectCounts = platform.get("/_lab/counts").await?.json()?;
    Ok(Totals {
        processor: processor_seconds(hollow)?,
        sent_bytes,
        platform_calls: counts.reads + counts.writes,
        at: Instant::now(),
    })
}

fn metric(text: &str, name: &str) -> u64 {
    let line = text.lines().find(|line| line.starts_with(name) && !line.starts_with('#'));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Commits edits one after another; gives the mean and the longest time until all nodes had one.
async fn time_edits(deployment: &Deployment) -> Result<(f64, f64), CommandError> {
    let all: Vec<SocketAddr> =
        deployment.nodes.iter().chain(&deployment.hollow).map(|node| node.operators).collect();
    let client = deployment.operator(0);
    let mut times = Vec::new();
    for number in 1..=EDITS {
        let base_revision = client.tree("/").await?.revision;
        let text = format!("kind = \"tenant\"\n[tenant]\nweight = {number}\n");
        let change = beamwall_config::Change { path: "/edited".parse().map_err(failed)?, text: Some(text) };
        let started = Instant::now();
        let revision = client.edit(&Edit { base_revision, changes: vec![change] }).await?;
        wait_for_all(&all, revision).await?;
        times.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    Ok((mean, times.into_iter().fold(0.0, f64::max)))
}

async fn wait_for_all(all: &[SocketAddr], revision: u64) -> Result<(), CommandError> {
    let pool = Pool::new(LIMIT);
    let deadline = Instant::now() + EDIT_LIMIT;
    let mut waiting: Vec<SocketAddr> = all.to_vec();
    while !waiting.is_empty() {
        if Instant::now() > deadline {
            return Err(failed(format!("without revision {revision}: {waiting:?}")));
        }
        let mut behind = Vec::new();
        for node in waiting {
            let answer = JsonClient::new(pool.clone(), node, LIMIT).get("/readyz").await?;
            let body: Value = answer.json()?;
            if body["revision"].as_u64() < Some(revision) {
                behind.push(node);
            }
        }
        waiting = behind;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
