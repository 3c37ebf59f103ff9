//! Asynchronous requests: run them, write their results, and take over those of dead nodes.

use std::sync::Arc;
use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{RequestFailed, RequestTakenOver};
use beamwall_model::{NodeId, Outcome, RequestId, ServiceClass, ServiceName, TenantName};
use beamwall_request::async_record::{AsyncRecord, AsyncResult};
use beamwall_request::{ModelRequest, RequestState};
use beamwall_store::Version;
use tokio::time::Instant;

use crate::shared::Shared;
use crate::tasks::drain::start_request;

/// Longest write of a record.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Nodes that hold a request one after the other, each after the death of the one before: a request may be what ends them.
const MOST_HOLDERS: u32 = 4;
/// Pause between tries to write a result while the platform is away.
const RESULT_PAUSE: Duration = Duration::from_secs(1);
/// Tries to write a result.
const RESULT_TRIES: usize = 3_600;
/// Time between searches for requests whose holder is gone.
const SEARCH_PERIOD: Duration = Duration::from_secs(10);

/// Searches for requests whose holder is gone, until the node stops. One live node searches.
pub async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SEARCH_PERIOD).await;
        if is_searcher(&shared, b"search") {
            let _ = recover(&shared).await;
        }
    }
}

/// Takes over the requests of a node that died, if this node is the one to do it.
pub async fn recover_after(shared: Arc<Shared>, dead: NodeId) {
    if is_searcher(&shared, dead.as_str().as_bytes()) {
        let _ = recover(&shared).await;
    }
}

fn is_searcher(shared: &Shared, key: &[u8]) -> bool {
    !shared.is_draining() && shared.is_chosen(key, 1)
}

async fn recover(shared: &Arc<Shared>) -> Result<(), beamwall_request::async_record::RecordError> {
    let live = shared.members.load().alive_with(&shared.settings.node);
    for (version, record) in shared.records.orphaned(&live).await? {
        if record.holders >= MOST_HOLDERS {
            give_up(shared, record, version).await;
            continue;
        }
        let from = record.holder.clone();
        let taken =
            AsyncRecord { holder: shared.settings.node.to_string(), holders: record.holders + 1, ..record };
        let deadline = Instant::now() + WRITE_LIMIT;
        // Losing the write means that another node took the request over.
        if let Ok(version) = shared.records.write(&taken, version, deadline).await {
            emit(&RequestTakenOver { request: taken.request.clone(), from });
            start(shared, taken, version);
        }
    }
    Ok(())
}

/// Ends a request with which several nodes died one after the other: the next one might, too. Where the record can't be written,
/// the next search finds it again.
async fn give_up(shared: &Arc<Shared>, record: AsyncRecord, version: Version) {
    let reason = format!("{} nodes died while they held it", record.holders);
    let (request, outcome) = (record.request.clone(), Outcome::Unknown.to_string());
    let result =
        AsyncResult { outcome: outcome.clone(), reason: reason.clone(), text: String::new(), tokens: 0 };
    let ended = AsyncRecord { result: Some(result), ..record };
    if shared.records.write(&ended, version, Instant::now() + WRITE_LIMIT).await.is_ok() {
        emit(&RequestFailed { request, outcome, reason });
    }
}

/// Runs the request of a record that names this node as holder.
pub fn start(shared: &Arc<Shared>, record: AsyncRecord, version: Version) {
    let tree = shared.tree.load();
    let tenant = tree.resolved.tenants.get(&TenantName::new(&record.tenant)).cloned();
    let service = tree.resolved.services.get(&ServiceName::new(&record.work.service)).cloned();
    let (Some(tenant), Some(service)) = (tenant, service) else { return };
    let now = Instant::now();
    let id = RequestId::new(&record.request);
    let request = Arc::new(ModelRequest {
        id: id.clone(),
        deadline: now + Duration::from_millis(service.request_timeout_ms),
        tenant,
        service,
        prompt: record.work.prompt.clone(),
        session: record.work.session.clone(),
        class: record.work.class.parse().unwrap_or(ServiceClass::Batch),
        max_tokens: record.work.max_tokens,
        chat: record.work.chat,
        accepted: now,
    });
    let state = RequestState::new(id, request.tenant.name.clone(), Vec::new());
    state.detach();
    start_request(shared, request, state.clone(), true);
    tokio::spawn(write_result(shared.clone(), record, version, state));
}

async fn write_result(shared: Arc<Shared>, record: AsyncRecord, version: Version, state: Arc<RequestState>) {
    let progress = state.reader().ended().await;
    let Some(end) = progress.end else { return };
    let tokens = state.tokens_from(0);
    let result = AsyncResult {
        outcome: end.outcome.to_string(),
        reason: end.reason,
        tokens: tokens.len(),
        text: tokens.concat(),
    };
    let ended = AsyncRecord { result: Some(result), ..record };
    for _ in 0..RESULT_TRIES {
        use beamwall_request::async_record::RecordError;
        match shared.records.write(&ended, version, Instant::now() + WRITE_LIMIT).await {
            Ok(_) | Err(RecordError::Lost) => return,
            Err(_) => tokio::time::sleep(RESULT_PAUSE).await,
        }
    }
}
