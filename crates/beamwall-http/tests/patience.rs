//! Calls to a server that is slow, and to one that is silent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use beamwall_http::{Body, ClientError, Handler, JsonClient, Pool, json_response, serve};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_millis(200);
const SLOW: Duration = Duration::from_millis(600);
const SILENT: Duration = Duration::from_secs(60);

/// Answers each call after a time.
struct SlowServer {
    delay_ms: AtomicU64,
}

impl Handler for SlowServer {
    async fn handle(self: &Arc<Self>, _: Request<Incoming>) -> Response<Body> {
        tokio::time::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
        json_response(StatusCode::OK, &1)
    }
}

async fn start(delay: Duration) -> (Arc<SlowServer>, JsonClient, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = Arc::new(SlowServer { delay_ms: AtomicU64::new(delay.as_millis() as u64) });
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, server.clone(), stopped));
    (server, JsonClient::new(Pool::new(TIMEOUT), address, TIMEOUT), stop)
}

/// Guards against: a server that takes longer than a call waits is never heard, however often it is called.
#[tokio::test]
async fn a_slow_server_is_heard_after_the_first_call() {
    let (_server, client, _stop) = start(SLOW).await;
    let client = client.with_patience();
    assert!(matches!(client.get("/").await, Err(ClientError::TimedOut(limit)) if limit == TIMEOUT));
    tokio::time::sleep(SLOW * 2).await;
    assert!(client.get("/").await.is_ok(), "it waits as long as the server takes");
    assert!(
        client.clone().with_timeout(TIMEOUT * 2).get("/").await.is_ok(),
        "so do calls that it holds open"
    );
}

/// Guards against: calls to a server that was slow once wait longer for good.
#[tokio::test]
async fn patience_ends_once_the_server_is_fast_again() {
    let (server, client, _stop) = start(SLOW).await;
    let client = client.with_patience();
    assert!(client.get("/").await.is_err());
    tokio::time::sleep(SLOW * 2).await;
    server.delay_ms.store(0, Ordering::Relaxed);
    assert!(client.get("/").await.is_ok());
    server.delay_ms.store(SILENT.as_millis() as u64, Ordering::Relaxed);
    assert!(matches!(client.get("/").await, Err(ClientError::TimedOut(limit)) if limit == TIMEOUT));
}

/// Guards against: calls to a silent server, or of a client that is not patient, wait longer and longer.
#[tokio::test]
async fn silence_and_clients_without_patience_keep_their_timeout() {
    let (_server, client, _stop) = start(SILENT).await;
    for client in [client.clone(), client.with_patience()] {
        for _ in 0..3 {
            assert!(matches!(client.get("/").await, Err(ClientError::TimedOut(limit)) if limit == TIMEOUT));
        }
    }
    let (_server, client, _stop) = start(SLOW).await;
    for _ in 0..3 {
        assert!(client.get("/").await.is_err());
        tokio::time::sleep(SLOW).await;
    }
}
