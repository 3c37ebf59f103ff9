//! Stand-in for the platform's balancer: spreads connections over the nodes that are ready.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use beamwall_http::{JsonClient, Pool};
use hyper::StatusCode;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time between readiness checks.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// A node behind the balancer.
#[derive(Debug, Clone, Copy)]
pub struct BalancedNode {
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it answers readiness checks.
    pub operators: SocketAddr,
}

/// The stand-in.
#[derive(Debug)]
pub struct Balancer {
    /// Where callers connect.
    pub address: SocketAddr,
}

impl Balancer {
    /// Listens on `address` and spreads connections.
    pub async fn start(address: SocketAddr, nodes: Vec<BalancedNode>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (ready, readiness) = watch::channel(nodes.iter().map(|node| node.callers).collect::<Vec<_>>());
        tokio::spawn(check_loop(nodes, ready));
        tokio::spawn(accept_loop(listener, readiness));
        Ok(Self { address })
    }
}

async fn check_loop(nodes: Vec<BalancedNode>, ready: watch::Sender<Vec<SocketAddr>>) {
    let pool = Pool::new(CHECK_PERIOD);
    loop {
        let mut found = Vec::new();
        for node in &nodes {
            let client = JsonClient::new(pool.clone(), node.operators, CHECK_PERIOD);
            if matches!(client.get("/readyz").await, Ok(answer) if answer.status == StatusCode::OK) {
                found.push(node.callers);
            }
        }
        if ready.send(found).is_err() {
            return;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

async fn accept_loop(listener: TcpListener, ready: watch::Receiver<Vec<SocketAddr>>) {
    let next = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let nodes = ready.borrow().clone();
        let next = next.clone();
        tokio::spawn(async move {
            for _ in 0..nodes.len() {
                let node = nodes[next.fetch_add(1, Ordering::Relaxed) % nodes.len()];
                if let Ok(mut far) = TcpStream::connect(node).await {
                    let _ = copy_bidirectional(&mut stream, &mut far).await;
                    return;
                }
            }
        });
    }
}
