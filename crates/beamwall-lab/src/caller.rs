//! A caller: sends requests to a node and checks that each answer is whole and its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beamwall_http::{Pool, PooledBody, full, read_limited};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::text;

const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const ANSWER_LIMIT: Duration = Duration::from_secs(120);
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// What a caller asks a model for.
#[derive(Debug, Clone)]
pub struct Question {
    /// Model name.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Session key; empty for none.
    pub session: String,
    /// Class; empty for the tenant's.
    pub class: String,
}

/// How a stream ended, as the caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// The end mark came.
    Done,
    /// The node said that the request continues elsewhere.
    Interrupted,
    /// An error event or an error answer, with the outcome told.
    Refused {
        /// Status of the answer.
        status: u16,
        /// The `beamwall-outcome` told.
        outcome: String,
        /// Milliseconds after which to come back; 0 for none.
        retry_after_ms: u64,
    },
    /// The connection broke without a word.
    Broken(String),
}

/// A stream as the caller saw it.
#[derive(Debug, Clone)]
pub struct StreamAnswer {
    /// Text received.
    pub text: String,
    /// Tokens received.
    pub tokens: u32,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Id of the last event.
    pub last_event: String,
    /// Engine named in the headers.
    pub backend: String,
    /// Request named in the headers.
    pub request: String,
    /// How it ended.
    pub end: StreamEnd,
    /// Usage told at the end.
    pub usage: Value,
}

impl StreamAnswer {
    fn failed(end: StreamEnd) -> Self {
        Self {
            text: String::new(),
            tokens: 0,
            first_token: None,
            gaps: Vec::new(),
            last_event: String::new(),
            backend: String::new(),
            request: String::new(),
            end,
            usage: Value::Null,
        }
    }

    /// Whether this is exactly the whole answer to the question.
    pub fn is_exact(&self, question: &Question) -> bool {
        self.end == StreamEnd::Done && self.text == text::answer(&question.prompt, question.max_tokens)
    }
}

/// A call's answer as the caller saw it.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Status; 0 when no answer came.
    pub status: u16,
    /// The `beamwall-outcome` told; empty when no answer came.
    pub outcome: String,
    /// Back end named; empty for a replay.
    pub backend: String,
    /// Whether an earlier answer was replayed.
    pub replayed: bool,
    /// Body.
    pub body: Bytes,
    /// Whole time.
    pub time: Duration,
}

/// A caller with one bearer key.
#[derive(Clone)]
pub struct Caller {
    pool: Pool,
    address: SocketAddr,
    key: String,
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
}

impl Caller {
    /// A caller of one address.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self { pool: Pool::new(CONNECT_LIMIT), address, key: key.to_owned() }
    }

    /// The same caller at another address.
    pub fn at(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Request<beamwall_http::Body> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            builder = builder.header(*name, *value);
        }
        builder.body(full(body)).unwrap_or_default()
    }

    /// Sends any request and gives the raw response.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<PooledBody>, String> {
        let request = self.request(method, path, headers, body);
        let sending = self.pool.send(self.address, request);
        match tokio::time::timeout(ANSWER_LIMIT, sending).await {
            Ok(result) => result.map_err(|error| error.to_string()),
            Err(_) => Err("no answer".to_owned()),
        }
    }

    /// Sends any request and reads the whole answer.
    pub async fn fetch(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, HeaderMap, Bytes), String> {
        let (head, body) = self.send(method, path, headers, body).await?.into_parts();
        let bytes =
            read_limited(body, ANSWER_LIMIT_BYTES, ANSWER_LIMIT).await.map_err(|error| error.to_string())?;
        Ok((head.status, head.headers, bytes))
    }

    /// Asks for a streamed answer in the plain form.
    pub async fn stream(&self, question: &Question) -> StreamAnswer {
        let body = json!({
            "model": question.model,
            "prompt": question.prompt,
            "max_tokens": question.max_tokens,
            "stream": true,
        });
        let headers =
            [("beamwall-session", question.session.as_str()), ("beamwall-class", question.class.as_str())];
        let started = Instant::now();
        match self.send(Method::POST, "/v1/completions", &headers, Bytes::from(body.to_string())).await {
            Ok(response) => read_stream(response, started).await,
            Err(reason) => StreamAnswer::failed(StreamEnd::Broken(reason)),
        }
    }

    /// Continues a stream after the last event seen, following a redirect to the node that holds it.
    pub async fn resume(&self, request: &str, last_event: &str) -> StreamAnswer {
        let path = format!("/v1/requests/{request}");
        let mut caller = self.clone();
        for _ in 0..2 {
            let started = Instant::now();
            let headers = [("last-event-id", last_event)];
            let response = match caller.send(Method::GET, &path, &headers, Bytes::new()).await {
                Ok(response) => response,
                Err(reason) => return StreamAnswer::failed(StreamEnd::Broken(reason)),
            };
            if response.status() != StatusCode::TEMPORARY_REDIRECT {
                return read_stream(response, started).await;
            }
            let location = header(response.headers(), "location");
            let address =
                location.trim_start_matches("http://").split('/').next().and_then(|text| text.parse().ok());
            match address {
                Some(address) => caller = caller.at(address),
                None => break,
            }
        }
        StreamAnswer::failed(StreamEnd::Broken("redirected too often".to_owned()))
    }

    /// Calls a plain service.
    pub async fn call(&self, service: &str, path: &str, key: &str, call: &str, body: &Value) -> CallAnswer {
        let started = Instant::now();
        let headers = [("idempotency-key", key), ("lab-call", call)];
        let path = format!("/services/{service}/{path}");
        let result = self.fetch(Method::POST, &path, &headers, Bytes::from(body.to_string())).await;
        let time = started.elapsed();
        match result {
            Ok((status, headers, body)) => CallAnswer {
                status: status.as_u16(),
                outcome: header(&headers, "beamwall-outcome"),
                backend: header(&headers, "beamwall-backend"),
                replayed: headers.contains_key("beamwall-replayed"),
                body,
                time,
            },
            Err(_) => CallAnswer {
                status: 0,
                outcome: String::new(),
                backend: String::new(),
                replayed: false,
                body: Bytes::new(),
                time,
            },
        }
    }
}

async fn read_stream(response: Response<PooledBody>, started: Instant) -> StreamAnswer {
    let (head, body) = response.into_parts();
    if head.status != StatusCode::OK {
        return read_refusal(head.status, &head.headers, body).await;
    }
    let mut answer = StreamAnswer::failed(StreamEnd::Broken("ended without an end mark".to_owned()));
    answer.backend = header(&head.headers, "beamwall-backend");
    answer.request = header(&head.headers, "beamwall-request");
    let mut events = Events { body, buffer: BytesMut::new() };
    let mut last: Option<Instant> = None;
    loop {
        let event = match events.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return answer,
            Err(reason) => {
                answer.end = StreamEnd::Broken(reason);
                return answer;
            }
        };
        let now = Instant::now();
        if !event.id.is_empty() {
            answer.last_event = event.id;
        }
        match event.name.as_str() {
            "interrupted" => answer.end = StreamEnd::Interrupted,
            "error" => answer.end = refusal(head.status, &event.data),
            _ if event.data == "[DONE]" => answer.end = StreamEnd::Done,
            _ => {
                let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
                if !data["usage"].is_null() {
                    answer.usage = data["usage"].clone();
                }
                let token = data["choices"][0]["text"].as_str().unwrap_or("");
                if !token.is_empty() {
                    answer.text.push_str(token);
                    answer.tokens += 1;
                    answer.first_token.get_or_insert(now.duration_since(started));
                    if let Some(last) = last {
                        answer.gaps.push(now.duration_since(last));
                    }
                    last = Some(now);
                }
            }
        }
    }
}

fn refusal(status: StatusCode, body: &str) -> StreamEnd {
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    let error = &value["error"];
    StreamEnd::Refused {
        status: status.as_u16(),
        outcome: error["outcome"].as_str().unwrap_or("").to_owned(),
        retry_after_ms: error["retry_after_ms"].as_u64().unwrap_or(0),
    }
}

async fn read_refusal(status: StatusCode, headers: &HeaderMap, body: PooledBody) -> StreamAnswer {
    let bytes = read_limited(body, ANSWER_LIMIT_BYTES, ANSWER_LIMIT).await.unwrap_or_default();
    let mut answer = StreamAnswer::failed(refusal(status, &String::from_utf8_lossy(&bytes)));
    answer.request = header(headers, "beamwall-request");
    answer
}

struct Event {
    name: String,
    id: String,
    data: String,
}

struct Events {
    body: PooledBody,
    buffer: BytesMut,
}

impl Events {
    async fn next(&mut self) -> Result<Option<Event>, String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let block = self.buffer.split_to(end);
                self.buffer.advance(2);
                return Ok(Some(parse_event(&String::from_utf8_lossy(&block))));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn parse_event(block: &str) -> Event {
    let mut event = Event { name: String::new(), id: String::new(), data: String::new() };
    for line in block.lines() {
        match line.split_once(": ") {
            Some(("event", value)) => event.name = value.to_owned(),
            Some(("id", value)) => event.id = value.to_owned(),
            Some(("data", value)) => event.data = value.to_owned(),
            _ => {}
        }
    }
    event
}
