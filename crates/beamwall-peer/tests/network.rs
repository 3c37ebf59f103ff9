//! Sessions between nodes that stop and start at any time.
//!
//! Seen: gateways ended with a segmentation fault some hundred milliseconds after their start, while many of their peers
//! were restarted, and a caller's stream was cut by it. How: in the library that carried the sessions, while
//! connections to peers were opened and refused in great number. Cause: its own bookkeeping of pending connections;
//! a process must not end whatever its peers do, so sessions do without it. Proof: restarts as below.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use beamwall_peer::gateway_message::VersionNews;
use beamwall_peer::{Body, Envelope, PeerNetwork};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

const NODES: usize = 40;
const ROUNDS: usize = 400;
const ROUND: Duration = Duration::from_millis(10);

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

fn news(from: SocketAddr, version: u64) -> Envelope {
    Envelope {
        sender: from.to_string(),
        address: from.to_string(),
        body: Some(Body::VersionNews(VersionNews { policy_version: version, ..VersionNews::default() })),
        ..Envelope::default()
    }
}

type Node = (Arc<PeerNetwork>, mpsc::Receiver<Envelope>);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_that_stop_and_start_end_no_other() {
    let addresses = free_addresses(NODES);
    let mut nodes: Vec<Option<Node>> =
        addresses.iter().map(|address| PeerNetwork::listen(*address).ok()).collect();
    let mut random = StdRng::seed_from_u64(1);
    for round in 0..ROUNDS {
        for (from, node) in nodes.iter().enumerate() {
            let Some((network, _)) = node else { continue };
            for to in addresses.iter().filter(|to| **to != addresses[from]) {
                network.send(*to, &news(addresses[from], round as u64));
            }
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            if let Some((_, inbox)) = node {
                while inbox.try_recv().is_ok() {}
            }
            if random.random_bool(0.05) {
                match node.take() {
                    Some((network, _)) => network.close(),
                    None => *node = PeerNetwork::listen(addresses[number]).ok(),
                }
            }
        }
        tokio::time::sleep(ROUND).await;
    }
}
