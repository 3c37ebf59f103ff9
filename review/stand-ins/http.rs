//! The little HTTP/1.1 that the stand-ins speak.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as read from a connection.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A connection with its read buffer.
pub type Connection = BufReader<TcpStream>;

impl Request {
    /// A header's value; empty if absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// Accepts connections and serves each in a thread of its own.
pub fn listen<F>(address: SocketAddr, serve: F) -> io::Result<SocketAddr>
where
    F: Fn(Connection) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || serve(BufReader::new(stream)));
        }
    });
    Ok(address)
}

/// Reads one request; `None` when the connection ended before one.
pub fn read_request(connection: &mut Connection) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if connection.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut request =
        Request { method, path: path.to_owned(), query: query.to_owned(), ..Request::default() };
    request.headers = read_headers(connection)?;
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    connection.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn read_headers(connection: &mut Connection) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if connection.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(headers) };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Writes a whole answer with a JSON body.
pub fn answer_json(connection: &mut Connection, status: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.get_mut().write_all(text.as_bytes())
}

/// Writes one chunk of a chunked body.
pub fn write_chunk(connection: &mut Connection, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    connection.get_mut().write_all(&chunk)
}

/// What a client got for one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if no head came.
    pub status: u16,
    /// Whether the head has an engine's signature.
    pub is_signed: bool,
    /// Whether the body came to its marked end.
    pub is_whole: bool,
    pub retry_after_s: Option<f64>,
    pub body: Vec<u8>,
}

/// Sends a request over a new connection and reads its answer within `patience`.
pub fn ask(address: SocketAddr, text: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    // What was read until an error is kept in the answer.
    let _ = try_ask(address, text, patience, &mut answer);
    answer
}

fn try_ask(address: SocketAddr, text: &[u8], patience: Duration, answer: &mut Answer) -> io::Result<()> {
    let until = std::time::Instant::now() + patience;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut connection = BufReader::new(stream);
    connection.get_mut().write_all(text)?;
    let limit = |connection: &Connection| {
        let left = until.saturating_duration_since(std::time::Instant::now());
        connection.get_ref().set_read_timeout(Some(left.max(Duration::from_millis(1))))
    };
    limit(&connection)?;
    let mut line = String::new();
    connection.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let headers = read_headers(&mut connection)?;
    answer.status = status.unwrap_or(0);
    let header =
        |name: &str| headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
    answer.is_signed = header("x-server-stamp").is_some();
    answer.retry_after_s = header("retry-after").and_then(|seconds| seconds.parse().ok());
    if let Some(length) = header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        connection.read_exact(&mut body)?;
        answer.body = body;
        answer.is_whole = true;
        return Ok(());
    }
    loop {
        limit(&connection)?;
        let mut size = String::new();
        if connection.read_line(&mut size)? == 0 {
            return Ok(());
        }
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        connection.read_exact(&mut chunk)?;
        if size == 0 {
            answer.is_whole = true;
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
}
