//! Draining: the load balancer is notified first, then connections are closed and open requests finish. Requests that
//! arrive later, on connections that had begun one, are taken if they can be answered in the time left.

use std::time::Duration;

use beamwall_events::emit;
use beamwall_events::internal_events::{DrainFinished, DrainStarted};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::gateway::exchange::PeerExchange;
use crate::gateway::readiness::Readiness;

/// Time for the balancer, which polls once a second, to see twice that the node is not ready. New requests
/// are accepted until then and no longer: the longest streams need the rest of the limit to finish.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_400);
/// The balancer gets at most the limit divided by this.
const BALANCER_DIVISOR: u32 = 2;
/// Time reserved at the end for the final heartbeat.
const FINAL_HEARTBEAT_TIME: Duration = Duration::from_millis(300);
/// Time that an answer may take to be written and read by its caller.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Drains a node within `limit`.
pub async fn run(
    node: &str,
    limit: Duration,
    readiness: &Readiness,
    exchange: &PeerExchange,
    stopping: &watch::Sender<bool>,
    callers: &mut JoinHandle<()>,
) {
    if !readiness.begin_draining() {
        return;
    }
    let deadline = Instant::now() + limit;
    emit(&DrainStarted {
        node: node.to_owned(),
        open_requests: exchange.open_requests().to_string(),
        limit_ms: limit.as_millis().to_string(),
    });
    exchange.send_heartbeat().await;
    tokio::time::sleep(BALANCER_NOTICE_TIME.min(limit / BALANCER_DIVISOR)).await;
    let callers_end_at = deadline - FINAL_HEARTBEAT_TIME.min(limit);
    exchange.gateway.planned_stop.begin(callers_end_at - ANSWER_TIME.min(limit));
    stopping.send_replace(true);
    let ended = tokio::time::timeout_at(callers_end_at, callers).await.is_ok();
    let abandoned = if ended { 0 } else { exchange.open_requests() };
    // Peers need the final counts of this node.
    exchange.send_heartbeat().await;
    tokio::time::sleep(FINAL_HEARTBEAT_TIME.min(limit) / 2).await;
    emit(&DrainFinished {
        node: node.to_owned(),
        handed_over: "0".to_owned(),
        abandoned: abandoned.to_string(),
    });
}
