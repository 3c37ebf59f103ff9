//! Pooled connections are not reused after their keep-alive timeout, also when the machine was suspended.
//!
//! Guards against lost requests: while a machine is suspended for seconds, the server closes connections
//! whose keep-alive timeout has ended. A request sent on such a connection may be lost, and a request that
//! may run only once cannot be repeated then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{Pool, full};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Keep-alive timeout sent by the server.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A server that responds to any request and counts its connections.
struct Server {
    address: SocketAddr,
    connections: Arc<Mutex<usize>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(0));
        let connection_count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *connection_count.lock().await += 1;
                tokio::spawn(respond_to_all(stream));
            }
        });
        Self { address, connections }
    }
}

async fn respond_to_all(mut stream: TcpStream) {
    let response = format!(
        "HTTP/1.1 200 OK\r\nkeep-alive: timeout={}\r\ncontent-length: 0\r\n\r\n",
        KEEP_ALIVE.as_secs()
    );
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn send_request(pool: &Pool, address: SocketAddr) {
    let request = Request::get(format!("http://{address}/")).body(full(Vec::new())).expect("a request");
    let response = pool.send(address, request).await.expect("a response");
    response.into_body().collect().await.expect("a whole response");
}

#[tokio::test]
async fn a_connection_idle_for_less_than_its_keep_alive_is_reused() {
    let (server, pool) = (Server::start().await, Pool::new(CONNECT_LIMIT));
    send_request(&pool, server.address).await;
    send_request(&pool, server.address).await;
    beamwall_clock::simulation::simulate_suspension(KEEP_ALIVE / 4);
    send_request(&pool, server.address).await;
    assert_eq!(*server.connections.lock().await, 1);
}

#[tokio::test]
async fn a_connection_whose_keep_alive_ended_during_suspension_is_not_reused() {
    let (server, pool) = (Server::start().await, Pool::new(CONNECT_LIMIT));
    send_request(&pool, server.address).await;
    beamwall_clock::simulation::simulate_suspension(KEEP_ALIVE);
    send_request(&pool, server.address).await;
    assert_eq!(*server.connections.lock().await, 2, "the server may have closed the first connection");
}
