//! `lab demo`: a whole deployment, one streamed answer and one badge call.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_http::{Pool, full, read_limited};
use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, Request, StatusCode};
use serde_json::json;

use crate::arguments::DeploymentOptions;
use crate::error::CommandError;
use crate::lab::deployment::Deployment;

const LIMIT: Duration = Duration::from_secs(30);
const BODY_LIMIT_BYTES: usize = 1 << 20;
/// Headers shown for each request.
const SHOWN: [&str; 5] =
    ["beamwall-node", "beamwall-backend", "beamwall-reason", "beamwall-request", "beamwall-outcome"];

/// Runs the demo.
pub async fn run(options: &DeploymentOptions) -> Result<(), CommandError> {
    println!("starting the deployment of {}", options.directory.display());
    let deployment = Deployment::start(&options.directory, options.speed).await?;
    println!("{} nodes and {} back ends serve", deployment.nodes.len(), deployment.machines.len());
    let result = serve_samples(&deployment).await;
    deployment.stop().await;
    println!("everything that was started is stopped");
    result
}

async fn serve_samples(deployment: &Deployment) -> Result<(), CommandError> {
    let (tenant, key) = deployment
        .keys
        .tenants
        .iter()
        .next()
        .ok_or_else(|| CommandError::Usage("keys.toml names no tenant".to_owned()))?;
    let status = deployment.operator(0).get("/v1/admin/status").await?;
    let service = |class_is_application: bool| {
        let backends = status["backends"].as_array().map_or(&[][..], Vec::as_slice);
        let of_kind =
            |backend: &&serde_json::Value| (backend["class"] == "application") == class_is_application;
        backends.iter().find(of_kind).cloned().unwrap_or_default()
    };
    let model = service(false)["model"].as_str().unwrap_or_default().to_owned();
    let plain = service(true)["service"].as_str().unwrap_or_default().to_owned();
    let chat = json!({
        "model": model,
        "messages": [{"role": "user", "content": "A hint for level 7, please"}],
        "max_tokens": 12,
        "stream": true,
    });
    println!("\ntenant {tenant} asks {model} for a streamed answer");
    let first = &deployment.nodes[0];
    let body = send(first.callers, "/v1/chat/completions", key, &chat, "demo-session").await?;
    for event in body.split("\n\n").filter(|event| event.contains("content")) {
        println!("  {}", event.replace('\n', " "));
    }
    println!("\ntenant {tenant} makes one call to {plain}, twice with the same key");
    let last = &deployment.nodes[deployment.nodes.len() - 1];
    let call = json!({"child": "c-17", "badge": "bridge-builder"});
    for node in [first, last] {
        let body = send(node.callers, &format!("/services/{plain}/badges"), key, &call, "badge-c-17").await?;
        println!("  {body}");
    }
    Ok(())
}

async fn send(
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &serde_json::Value,
    token: &str,
) -> Result<String, CommandError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .header("beamwall-session", token)
        .header("idempotency-key", token)
        .body(full(Bytes::from(body.to_string())))
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    let failed = |reason: String| CommandError::Experiment(format!("{path}: {reason}"));
    let response =
        Pool::new(LIMIT).send(address, request).await.map_err(|error| failed(error.to_string()))?;
    let (head, body) = response.into_parts();
    let bytes =
        read_limited(body, BODY_LIMIT_BYTES, LIMIT).await.map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if head.status != StatusCode::OK {
        return Err(failed(format!("status {}: {text}", head.status)));
    }
    print_headers(&head.headers);
    Ok(text)
}

fn print_headers(headers: &HeaderMap) {
    let shown = |name: &&str| Some(format!("{name}: {}", headers.get(*name)?.to_str().ok()?));
    let lines: Vec<String> = SHOWN.iter().filter_map(shown).collect();
    println!("  {}", lines.join(", "));
}
