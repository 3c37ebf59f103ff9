//! Pooled connections: one whose rest is over is not used again, also where the machine slept meanwhile.
//!
//! The load: a machine is suspended for seconds, while the other side closes connections that it has kept for long enough. A request
//! that is sent on such a connection may be lost, and a request that may run once can't be repeated then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_http::{Pool, full};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Time for which the other side says that it keeps a connection.
const KEPT_FOR: Duration = Duration::from_secs(4);
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A server that answers any request, and counts connections.
struct Server {
    address: SocketAddr,
    connections: Arc<Mutex<usize>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(0));
        let counted = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *counted.lock().await += 1;
                tokio::spawn(answer_all(stream));
            }
        });
        Self { address, connections }
    }
}

async fn answer_all(mut stream: TcpStream) {
    let answer =
        format!("HTTP/1.1 200 OK\r\nkeep-alive: timeout={}\r\ncontent-length: 0\r\n\r\n", KEPT_FOR.as_secs());
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn ask(pool: &Pool, address: SocketAddr) {
    let request = Request::get(format!("http://{address}/")).body(full(Vec::new())).expect("a request");
    let response = pool.send(address, request).await.expect("an answer");
    response.into_body().collect().await.expect("a whole answer");
}

#[tokio::test]
async fn a_connection_that_rested_for_a_moment_is_used_again() {
    let (server, pool) = (Server::start().await, Pool::new(CONNECT_LIMIT));
    ask(&pool, server.address).await;
    ask(&pool, server.address).await;
    beamwall_clock::simulation::simulate_suspension(KEPT_FOR / 4);
    ask(&pool, server.address).await;
    assert_eq!(*server.connections.lock().await, 1);
}

#[tokio::test]
async fn a_connection_whose_rest_ended_while_the_machine_slept_is_not_used_again() {
    let (server, pool) = (Server::start().await, Pool::new(CONNECT_LIMIT));
    ask(&pool, server.address).await;
    beamwall_clock::simulation::simulate_suspension(KEPT_FOR);
    ask(&pool, server.address).await;
    assert_eq!(*server.connections.lock().await, 2, "the other side may have closed the first");
}
