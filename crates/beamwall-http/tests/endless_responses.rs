//! A server that never stops sending does not hold a request, a connection or memory for good.
//!
//! Guards against: an engine answers with bytes that never end, in a head or on an idle connection, and the
//! gateway reads them until the caller gives up.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_http::{Pool, full};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time within which the pool must have closed the connection.
const CLOSED_WITHIN: Duration = Duration::from_secs(5);
/// Bytes that a server may have sent by then; socket buffers of both sides included.
const MAX_SENT_BYTES: usize = 16 << 20;

/// A server that sends `start` after a request, and then `repeated` until the connection is closed. The
/// receiver gets the number of bytes sent by then.
async fn start_endless(
    start: &'static str,
    repeated: &'static str,
) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let _ = sender.send(send_endlessly(stream, start, repeated).await);
    });
    (address, receiver)
}

async fn send_endlessly(mut stream: TcpStream, start: &str, repeated: &str) -> usize {
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await;
    if stream.write_all(start.as_bytes()).await.is_err() {
        return 0;
    }
    let chunk = repeated.repeat(1 + 4_096 / repeated.len());
    let mut sent = start.len();
    while stream.write_all(chunk.as_bytes()).await.is_ok() {
        sent += chunk.len();
        tokio::task::yield_now().await;
    }
    sent
}

async fn assert_is_closed(sent: oneshot::Receiver<usize>) {
    let sent =
        timeout(CLOSED_WITHIN, sent).await.expect("the connection is closed in time").expect("a count");
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were sent");
}

/// Sends a request whose response head never ends, and checks that it fails and the connection is closed.
async fn assert_head_is_bounded(start: &'static str, repeated: &'static str) {
    let (address, sent) = start_endless(start, repeated).await;
    let pool = Pool::new(CONNECT_LIMIT);
    let request = Request::get(format!("http://{address}/")).body(full(Vec::new())).expect("a request");
    let answered = timeout(CLOSED_WITHIN, pool.send(address, request)).await.expect("an end in time");
    let error = answered.err().expect("no whole head is sent");
    assert!(!error.nothing_sent(), "the request may have been received: {error}");
    assert_is_closed(sent).await;
}

#[tokio::test]
async fn endless_bytes_that_are_no_response_are_not_read_on() {
    assert_head_is_bounded("", "no response at all ").await;
}

#[tokio::test]
async fn an_endless_status_line_is_not_read_on() {
    assert_head_is_bounded("HTTP/1.1 200 ", "OK ").await;
}

#[tokio::test]
async fn an_endless_header_line_is_not_read_on() {
    assert_head_is_bounded("HTTP/1.1 200 OK\r\nx-long: ", "abcdefgh").await;
}

#[tokio::test]
async fn endless_headers_are_not_read_on() {
    assert_head_is_bounded("HTTP/1.1 200 OK\r\n", "x-more: abcdefgh\r\n").await;
}

#[tokio::test]
async fn endless_informational_responses_are_not_read_on() {
    assert_head_is_bounded("", "HTTP/1.1 103 Early Hints\r\n\r\n").await;
}

/// Receives a whole response after which the server sends on, and drops it.
async fn assert_rest_is_bounded(start: &'static str, repeated: &'static str) {
    let (address, sent) = start_endless(start, repeated).await;
    let pool = Pool::new(CONNECT_LIMIT);
    let request = Request::get(format!("http://{address}/")).body(full(Vec::new())).expect("a request");
    let response =
        timeout(CLOSED_WITHIN, pool.send(address, request)).await.expect("in time").expect("a head");
    // The body ends or fails; either is an end.
    let _ = timeout(CLOSED_WITHIN, response.into_body().collect()).await.expect("an end in time");
    assert_is_closed(sent).await;
}

#[tokio::test]
async fn bytes_beyond_the_content_length_close_the_connection() {
    assert_rest_is_bounded("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", "beyond the end ").await;
}

#[tokio::test]
async fn an_endless_chunk_extension_closes_the_connection() {
    assert_rest_is_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=", "abcdefgh").await;
}

#[tokio::test]
async fn endless_trailers_close_the_connection() {
    assert_rest_is_bounded(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
        "x-more: abcdefgh\r\n",
    )
    .await;
}

/// Guards against: the bound on a head cuts a large body that arrives at once with its head and is read late.
#[tokio::test]
async fn a_large_body_that_arrives_with_its_head_is_read_whole() {
    const BODY_BYTES: usize = 8 << 20;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1_024]).await;
        let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n").into_bytes();
        response.resize(response.len() + BODY_BYTES, b'x');
        let _ = stream.write_all(&response).await;
    });
    let pool = Pool::new(CONNECT_LIMIT);
    let request = Request::get(format!("http://{address}/")).body(full(Vec::new())).expect("a request");
    let response = pool.send(address, request).await.expect("a head");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let body = response.into_body().collect().await.expect("a whole body");
    assert_eq!(body.to_bytes().len(), BODY_BYTES);
}
