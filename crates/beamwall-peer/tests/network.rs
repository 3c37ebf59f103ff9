//! Sessions between nodes that stop and start at any time.
//!
//! Guards against a crash of the process while its peers restart. With an earlier messaging library, gateways
//! ended with a segmentation fault some hundred milliseconds after their start, while many connections to
//! restarting peers were opened and refused, and a caller's stream was cut. The library used a lock after its
//! destruction, as it reported when it aborted the first test below; the fault of the gateways is suspected
//! to be the same. Sessions therefore do without that library.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_lab::running::free_addresses;
use beamwall_peer::gateway_message::VersionUpdate;
use beamwall_peer::outbox::Outbox;
use beamwall_peer::{Body, Envelope, PeerError, PeerNetwork};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

const NODES: usize = 40;
const ROUNDS: usize = 400;
const ROUND: Duration = Duration::from_millis(10);
/// Maximum time to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(5);

fn version_message(from: SocketAddr, version: u64) -> Envelope {
    Envelope {
        sender: from.to_string(),
        address: from.to_string(),
        body: Some(Body::VersionNews(VersionUpdate { policy_version: version, ..VersionUpdate::default() })),
        ..Envelope::default()
    }
}

fn version(envelope: &Envelope) -> u64 {
    match &envelope.body {
        Some(Body::VersionNews(update)) => update.policy_version,
        other => panic!("unexpected: {other:?}"),
    }
}

async fn receive(inbox: &mut mpsc::Receiver<Envelope>) -> Envelope {
    timeout(TIMEOUT, inbox.recv()).await.expect("in time").expect("open")
}

type Node = (Arc<PeerNetwork>, mpsc::Receiver<Envelope>);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarting_nodes_do_not_crash_the_process() {
    let addresses = free_addresses(NODES);
    let mut nodes: Vec<Option<Node>> =
        addresses.iter().map(|address| PeerNetwork::listen(*address).ok()).collect();
    let mut random = StdRng::seed_from_u64(1);
    for round in 0..ROUNDS {
        for (from, node) in nodes.iter().enumerate() {
            let Some((network, _)) = node else { continue };
            for to in addresses.iter().filter(|to| **to != addresses[from]) {
                network.send(*to, &version_message(addresses[from], round as u64));
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

#[tokio::test]
async fn messages_arrive_in_order_and_answers_reach_the_requester() {
    let addresses = free_addresses(2);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    let (receiver, mut inbox) = PeerNetwork::listen(addresses[1]).expect("listens");
    for number in 1..=100 {
        sender.send(addresses[1], &version_message(addresses[0], number));
    }
    for number in 1..=100 {
        assert_eq!(version(&receive(&mut inbox).await), number);
    }
    let (from, to) = (addresses[0], addresses[1]);
    let request = tokio::spawn(async move { sender.ask(to, version_message(from, 7), TIMEOUT).await });
    let question = receive(&mut inbox).await;
    receiver.send(addresses[0], &Envelope { answers: question.question, ..version_message(addresses[1], 8) });
    assert_eq!(version(&request.await.expect("the task").expect("an answer")), 8);
}

#[tokio::test]
async fn a_large_message_arrives_intact_before_a_small_one() {
    let addresses = free_addresses(2);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    let (_receiver, mut inbox) = PeerNetwork::listen(addresses[1]).expect("listens");
    let large = Envelope { zone: "z".repeat(5 << 20), ..version_message(addresses[0], 1) };
    sender.send(addresses[1], &large);
    sender.send(addresses[1], &version_message(addresses[0], 2));
    assert_eq!(receive(&mut inbox).await, large);
    assert_eq!(version(&receive(&mut inbox).await), 2);
}

#[tokio::test]
async fn a_restarted_peer_receives_messages_again() {
    let addresses = free_addresses(2);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    for generation in 1..=3 {
        let since = Instant::now();
        let (receiver, mut inbox) = loop {
            // The previous generation releases its port shortly after it was closed.
            match PeerNetwork::listen(addresses[1]) {
                Ok(node) => break node,
                Err(error) => assert!(since.elapsed() < TIMEOUT, "{error}"),
            }
            tokio::time::sleep(ROUND).await;
        };
        while inbox.is_empty() {
            sender.send(addresses[1], &version_message(addresses[0], generation));
            tokio::time::sleep(ROUND).await;
            assert!(since.elapsed() < TIMEOUT, "generation {generation} receives nothing");
        }
        // A message to the previous generation may still arrive, but none that is older.
        assert!(version(&receive(&mut inbox).await) + 1 >= generation);
        receiver.close();
        drop(inbox);
        // Messages to an absent peer are lost and do not block the sender.
        (0..1_000).for_each(|_| sender.send(addresses[1], &version_message(addresses[0], generation)));
    }
}

#[tokio::test]
async fn a_request_to_an_absent_peer_times_out() {
    let addresses = free_addresses(2);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    let limit = Duration::from_millis(200);
    let answer = sender.ask(addresses[1], version_message(addresses[0], 1), limit).await;
    assert!(matches!(answer, Err(PeerError::NoAnswer(waited)) if waited == limit));
}

#[tokio::test]
async fn invalid_bytes_close_only_their_connection() {
    let addresses = free_addresses(2);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    let (_receiver, mut inbox) = PeerNetwork::listen(addresses[1]).expect("listens");
    let mut stream = TcpStream::connect(addresses[1]).await.expect("connects");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("writes");
    // The first four bytes are a length prefix of more than a gigabyte.
    let ended = timeout(TIMEOUT, stream.read(&mut [0; 1])).await.expect("in time");
    assert!(!matches!(ended, Ok(1..)), "the connection is closed");
    sender.send(addresses[1], &version_message(addresses[0], 1));
    assert_eq!(version(&receive(&mut inbox).await), 1);
}

async fn read_version(stream: &mut TcpStream) -> std::io::Result<u64> {
    let length = timeout(TIMEOUT, stream.read_u32()).await??;
    let mut message = vec![0; length as usize];
    stream.read_exact(&mut message).await?;
    Ok(version(&prost::Message::decode(message.as_slice()).expect("a message")))
}

#[tokio::test]
async fn a_peer_that_resumes_reading_receives_recent_messages() {
    let addresses = free_addresses(1);
    let (sender, _inbox) = PeerNetwork::listen(addresses[0]).expect("listens");
    let peer = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = peer.local_addr().expect("an address");
    let filler = "z".repeat(1 << 20);
    let send = |number| {
        let message = Envelope { zone: filler.clone(), ..version_message(addresses[0], number) };
        sender.send(address, &message);
    };
    send(0);
    let (mut stream, _) = peer.accept().await.expect("a connection");
    // Sends more than the socket buffers hold, for longer than the TTL of a message.
    for number in 1..=60 {
        send(number);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut received = Vec::new();
    while received.last() != Some(&60) {
        match read_version(&mut stream).await {
            Ok(number) => received.push(number),
            // The session has closed the connection in the meantime and opened another.
            Err(_) => stream = timeout(TIMEOUT, peer.accept()).await.expect("in time").expect("accepts").0,
        }
    }
    assert!(received.is_sorted(), "{received:?}");
    assert!(received.len() < 58, "expired messages were sent: {received:?}");
}

#[tokio::test]
async fn a_full_outbox_drops_the_oldest_messages() {
    let outbox = Outbox::default();
    let now = Instant::now();
    let dropped = (0..300_u32).filter(|number| outbox.push(number.to_be_bytes().to_vec(), now)).count();
    assert_eq!(dropped, 44);
    assert_eq!(outbox.next().await.message, 44_u32.to_be_bytes());
    // A message that could not be sent is the next one again.
    let unsent = outbox.next().await;
    outbox.put_back(unsent);
    assert_eq!(outbox.next().await.message, 45_u32.to_be_bytes());
}

#[tokio::test]
async fn an_expired_message_is_not_sent() {
    let outbox = Outbox::default();
    let now = Instant::now();
    outbox.push(vec![1], now - Duration::from_secs(3));
    outbox.push(vec![2], now);
    assert_eq!(outbox.next().await.message, [2]);
}

/// A refused connection distinguishes a silent member whose process has ended from one that is partitioned
/// and may still serve requests.
#[tokio::test]
async fn refused_connections_show_whether_the_peer_process_runs() {
    let addresses = free_addresses(2);
    let (own, _own_inbox) = PeerNetwork::listen(addresses[0]).expect("it listens");
    assert!(!own.is_refused(addresses[1]), "no connection was attempted yet");
    let wait_for_refused = async |expected: bool| {
        timeout(TIMEOUT, async {
            while own.is_refused(addresses[1]) != expected {
                own.send(addresses[1], &version_message(addresses[0], 1));
                tokio::time::sleep(ROUND).await;
            }
        })
        .await
        .is_ok()
    };
    assert!(wait_for_refused(true).await, "no process listens at the address");
    let (peer, _peer_inbox) = PeerNetwork::listen(addresses[1]).expect("it listens");
    assert!(wait_for_refused(false).await, "a process listens at the address");
    peer.close();
    assert!(wait_for_refused(true).await, "the process no longer listens");
}
