//! Finds out whether the engines of an unreachable service can be reached again, without a caller's request.

use std::time::Duration;

use beamwall_http::empty;
use beamwall_model::ServiceName;
use hyper::Request;
use rand::seq::IteratorRandom;

use crate::call::LOWEST_PRIORITY_RANK;
use crate::directory::Backend;
use crate::forward::Forwarder;

/// Interval between two probes of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes one engine of each unreachable service at intervals, until the task is aborted.
pub async fn run(forwarder: &Forwarder) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for service in forwarder.reachability.unreachable() {
            if probe(forwarder, &service).await {
                forwarder.note_reachable(&service);
            }
        }
    }
}

/// Whether any engine of a service responds. The request is one that no engine runs.
async fn probe(forwarder: &Forwarder, service: &ServiceName) -> bool {
    let Some(engine) = any_engine(forwarder, service) else { return false };
    let Ok(_permit) = forwarder.gate.admit(&engine.id, LOWEST_PRIORITY_RANK).await else { return false };
    let mut request = Request::new(empty());
    *request.headers_mut() = forwarder.dialect.probe_headers();
    let sent = forwarder.pool.send(engine.address, request);
    tokio::time::timeout(PROBE_TIMEOUT, sent).await.is_ok_and(|response| response.is_ok())
}

fn any_engine(forwarder: &Forwarder, service: &ServiceName) -> Option<Backend> {
    let directory = forwarder.directory.load();
    let available = directory.usable(service).filter(|engine| forwarder.gate.check(&engine.id).is_ok());
    available.choose(&mut rand::rng()).cloned()
}
