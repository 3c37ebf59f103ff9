//! A client that keeps its connections for many requests, and tells of each request what came back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// What came of a request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Whether the connection had served a request before.
    pub kept: bool,
    /// Whether the whole request was written.
    pub written: bool,
    /// The status; `None` if no head came.
    pub status: Option<u16>,
    /// Headers in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its marked end.
    pub whole: bool,
    /// Whether the client gave up waiting.
    pub gave_up: bool,
}

impl Outcome {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub id: String,
    pub key: String,
    pub deadline: Duration,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Sends requests to one address over kept connections.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<BufReader<TcpStream>>>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Arc::default() }
    }

    /// Sends a request and waits up to its deadline and a little longer.
    pub async fn send(&self, request: &Request) -> Outcome {
        let mut outcome = Outcome::default();
        let limit = request.deadline + Duration::from_millis(500);
        let result = tokio::time::timeout(limit, self.exchange(request, &mut outcome)).await;
        outcome.gave_up = result.is_err();
        outcome
    }

    fn take_idle(&self) -> Option<BufReader<TcpStream>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            // A connection that the other side has closed is not used again.
            let mut byte = [0; 1];
            let state = connection.get_ref().try_read(&mut byte);
            if state.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(connection);
            }
        }
        None
    }

    async fn exchange(&self, request: &Request, outcome: &mut Outcome) -> Option<()> {
        let mut connection = match self.take_idle() {
            Some(kept) => {
                outcome.kept = true;
                kept
            }
            None => BufReader::new(TcpStream::connect(self.address).await.ok()?),
        };
        let _ = connection.get_ref().set_nodelay(true);
        connection.get_mut().write_all(&head_and_body(request)).await.ok()?;
        outcome.written = true;
        let closes = read_answer(&mut connection, outcome).await?;
        if outcome.whole && !closes {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
        }
        Some(())
    }
}

fn head_and_body(request: &Request) -> Vec<u8> {
    let Request { method, path, host, id, key, deadline, headers, body } = request;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Key: {key}\r\nX-Deadline-Ms: {}\r\n",
        deadline.as_millis()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if *method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads an answer; returns whether the connection ends with it.
async fn read_answer(connection: &mut BufReader<TcpStream>, outcome: &mut Outcome) -> Option<bool> {
    let first = read_line(connection).await?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    loop {
        let line = read_line(connection).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        outcome.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    outcome.status = Some(status);
    let closes = outcome.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if outcome.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(connection).await?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            connection.read_exact(&mut chunk).await.ok()?;
            outcome.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = outcome.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        connection.read_exact(&mut body).await.ok()?;
        outcome.body = body;
    }
    outcome.whole = true;
    Some(closes)
}

async fn read_line(connection: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = connection.read_line(&mut line).await.ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}
