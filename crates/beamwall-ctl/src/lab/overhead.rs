//! `lab overhead`: what a node adds to a direct call, and the calls it takes a second on one core.
//!
//! Direct calls and calls through the node alternate within one run, so that both see the same
//! machine. The throughput figure is calls for each second of the node's own processor time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beamwall_http::{Pool, PoolError, full, read_limited};
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request};
use serde_json::json;

use crate::arguments::OverheadOptions;
use crate::error::CommandError;
use crate::lab::deployment::Deployment;
use crate::lab::sample::{NODE, Sample, TENANT_KEY};

const LIMIT: Duration = Duration::from_secs(30);
const BODY_LIMIT_BYTES: usize = 1 << 20;
/// Engines run so fast that their own time does not hide the node's.
const ENGINE_SPEED: f64 = 1_000_000.0;
/// Calls before measuring.
const WARM_UP: usize = 500;
/// Clock ticks a second in the process table of this platform.
const TICKS_PER_SECOND: f64 = 100.0;

fn failed(reason: impl std::fmt::Display) -> CommandError {
    CommandError::Experiment(reason.to_string())
}

/// Runs the measurement and prints a table.
pub async fn run(options: &OverheadOptions) -> Result<(), CommandError> {
    let directory = std::env::temp_dir().join(format!("beamwall-overhead-{}", std::process::id()));
    let sample = Sample {
        zones: 1,
        nodes_per_zone: 1,
        engines_per_zone: 1,
        applications_per_zone: 1,
        threads: 1,
        ..Sample::default()
    };
    sample.write(&directory)?;
    let deployment = Deployment::start(&directory, ENGINE_SPEED).await?;
    let result = measure(options, &deployment).await;
    deployment.stop().await;
    let _ = std::fs::remove_dir_all(&directory);
    result
}

struct Target<'a> {
    address: SocketAddr,
    path: &'a str,
    body: String,
}

async fn measure(options: &OverheadOptions, deployment: &Deployment) -> Result<(), CommandError> {
    let callers = deployment.nodes[0].callers;
    let machine = |class: &str| {
        let found = deployment.machines.iter().find(|machine| machine.class == class);
        found.and_then(|machine| machine.address.parse::<SocketAddr>().ok()).ok_or_else(|| failed(class))
    };
    let (engine, application) = (machine("large")?, machine("application")?);
    let pool = Pool::new(LIMIT);
    let small = json!({"child": "c-17", "badge": "bridge-builder"}).to_string();
    let prompt = "a question of a few words";
    let direct_plain = Target { address: application, path: "/badges", body: small.clone() };
    let node_plain = Target { address: callers, path: "/services/game/badges", body: small };
    let generate = json!({"attempt": "direct", "prompt": prompt, "max_tokens": 1}).to_string();
    let direct_model = Target { address: engine, path: "/generate", body: generate };
    let complete = json!({"model": "helper", "prompt": prompt, "max_tokens": 1, "stream": true}).to_string();
    let node_model = Target { address: callers, path: "/v1/completions", body: complete };
    println!(
        "| call | direct p50 ms | through node p50 ms | added p50 ms | direct p99 ms | through node p99 ms | added p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, direct, through) in
        [("plain call", &direct_plain, &node_plain), ("one streamed token", &direct_model, &node_model)]
    {
        let (direct, through) = compare(&pool, direct, through, options.calls).await?;
        print_row(name, &direct, &through);
    }
    throughput(options, deployment, &pool, &node_plain).await
}

async fn compare(
    pool: &Pool,
    direct: &Target<'_>,
    through: &Target<'_>,
    calls: usize,
) -> Result<(Histogram<u64>, Histogram<u64>), CommandError> {
    let new = || Histogram::<u64>::new(3).map_err(failed);
    let (mut direct_times, mut through_times) = (new()?, new()?);
    for number in 0..calls + WARM_UP {
        let direct_time = timed(pool, direct).await?;
        let through_time = timed(pool, through).await?;
        if number >= WARM_UP {
            direct_times.record(direct_time.as_nanos() as u64).map_err(failed)?;
            through_times.record(through_time.as_nanos() as u64).map_err(failed)?;
        }
    }
    Ok((direct_times, through_times))
}

fn print_row(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    let ms = |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e6;
    let columns: Vec<String> = [0.5, 0.99]
        .into_iter()
        .flat_map(|quantile| {
            let (direct, through) = (ms(direct, quantile), ms(through, quantile));
            [direct, through, through - direct]
        })
        .map(|value| format!("{value:.3}"))
        .collect();
    println!("| {name} | {} |", columns.join(" | "));
}

async fn timed(pool: &Pool, target: &Target<'_>) -> Result<Duration, CommandError> {
    let started = Instant::now();
    send(pool, target).await?;
    Ok(started.elapsed())
}

async fn send(pool: &Pool, target: &Target<'_>) -> Result<(), CommandError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(target.path)
        .header(HOST, "lab")
        .header(AUTHORIZATION, format!("Bearer {TENANT_KEY}"))
        .body(full(Bytes::from(target.body.clone())))
        .map_err(failed)?;
    let response = pool.send(target.address, request).await.map_err(|error: PoolError| failed(error))?;
    let status = response.status();
    let body = read_limited(response.into_body(), BODY_LIMIT_BYTES, LIMIT).await.map_err(failed)?;
    if status.is_success() {
        Ok(())
    } else {
        Err(failed(format!("{status}: {}", String::from_utf8_lossy(&body))))
    }
}

async fn throughput(
    options: &OverheadOptions,
    deployment: &Deployment,
    pool: &Pool,
    target: &Target<'_>,
) -> Result<(), CommandError> {
    let id = deployment.process_id(NODE).ok_or_else(|| failed("the node has no process id"))?;
    let left = Arc::new(AtomicUsize::new(options.throughput_calls));
    let (cpu_before, memory_before) = (processor_seconds(id)?, resident_kib(id)?);
    let started = Instant::now();
    let workers: Vec<_> = (0..options.connections)
        .map(|_| {
            let (pool, left) = (pool.clone(), left.clone());
            let (address, path, body) = (target.address, target.path.to_owned(), target.body.clone());
            tokio::spawn(async move {
                let target = Target { address, path: &path, body };
                while left
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
                    .is_ok()
                {
                    send(&pool, &target).await?;
                }
                Ok::<(), CommandError>(())
            })
        })
        .collect();
    for worker in workers {
        worker.await.map_err(failed)??;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let processor = processor_seconds(id)? - cpu_before;
    let calls = options.throughput_calls as f64;
    println!(
        "\n| plain calls | wall s | calls a second | node processor s | calls a processor second | node memory before KiB | after KiB |"
    );
    println!("|---|---|---|---|---|---|---|");
    println!(
        "| {} | {elapsed:.2} | {:.0} | {processor:.2} | {:.0} | {memory_before} | {} |",
        options.throughput_calls,
        calls / elapsed,
        calls / processor,
        resident_kib(id)?,
    );
    Ok(())
}

/// Processor time of a process, in seconds.
pub fn processor_seconds(id: u32) -> Result<f64, CommandError> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).map_err(failed)?;
    let after_name = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// Resident memory of a process, in KiB.
pub fn resident_kib(id: u32) -> Result<u64, CommandError> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).map_err(failed)?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    Ok(line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0))
}
