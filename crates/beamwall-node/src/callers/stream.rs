//! Server-sent events: one task writes the tokens of one request to one caller.
//!
//! Every event carries `id: <request>:<tokens so far>`. A caller that lost its connection sends the
//! last id back in `Last-Event-ID` and gets what follows.

use std::sync::Arc;

use beamwall_http::{Body, BodySender, channel};
use beamwall_model::Outcome;
use beamwall_request::request_state::RequestReader;
use beamwall_request::{End, ModelRequest};
use bytes::Bytes;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde_json::{Value, json};

use crate::callers::access::OpenWork;
use crate::callers::api_error::ApiError;
use crate::callers::model::usage_json;

/// Events that a slow caller may lag behind before the writer waits.
const CAPACITY: usize = 32;

/// A streamed response from token `from` on.
pub fn response(
    request: Arc<ModelRequest>,
    reader: RequestReader,
    from: usize,
    work: Option<OpenWork>,
) -> Response<Body> {
    let (sender, body) = channel(CAPACITY);
    tokio::spawn(write(request, reader, sender, from, work));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

async fn write(
    request: Arc<ModelRequest>,
    mut reader: RequestReader,
    sender: BodySender,
    from: usize,
    _work: Option<OpenWork>,
) {
    let mut sent = from;
    loop {
        let progress = tokio::select! {
            progress = reader.beyond(sent) => progress,
            () = sender.disconnected() => return,
        };
        let tokens = reader.state.tokens_from(sent);
        let mut events = String::new();
        for token in &tokens {
            sent += 1;
            push_event(&mut events, &request, sent, &chunk(&request, Some(token)));
        }
        if !events.is_empty() && sender.send(Bytes::from(events)).await.is_err() {
            return;
        }
        // Tokens may have come between the progress and the reading of them: end only when all are sent.
        if let Some(end) = progress.end
            && reader.state.token_count() == sent
        {
            finish(&request, &reader, &sender, sent, &end).await;
            return;
        }
    }
}

async fn finish(request: &ModelRequest, reader: &RequestReader, sender: &BodySender, sent: usize, end: &End) {
    let mut events = String::new();
    match end.outcome {
        Outcome::Completed => {
            let mut last = chunk(request, None);
            last["usage"] = usage_json(request, sent, &reader.state.usage());
            push_event(&mut events, request, sent, &last);
            events.push_str("data: [DONE]\n\n");
        }
        Outcome::Interrupted => {
            let body = json!({"request": request.id.as_str(), "resume_at": sent, "reason": end.reason});
            events.push_str(&format!("event: interrupted\nid: {}:{sent}\ndata: {body}\n\n", request.id));
        }
        Outcome::NotRun | Outcome::Unknown => {
            let body = ApiError::from(end.clone()).to_json();
            events.push_str(&format!("event: error\ndata: {body}\n\n"));
        }
    }
    let _ = sender.send(Bytes::from(events)).await;
}

fn push_event(events: &mut String, request: &ModelRequest, sent: usize, body: &Value) {
    events.push_str(&format!("id: {}:{sent}\ndata: {body}\n\n", request.id));
}

/// One piece of the answer; the last has no token.
fn chunk(request: &ModelRequest, token: Option<&String>) -> Value {
    let finish = if token.is_none() { json!("length") } else { Value::Null };
    let choice = match (request.chat, token) {
        (true, Some(token)) => json!({"index": 0, "delta": {"content": token}, "finish_reason": finish}),
        (true, None) => json!({"index": 0, "delta": {}, "finish_reason": finish}),
        (false, token) => {
            json!({"index": 0, "text": token.map_or("", String::as_str), "finish_reason": finish})
        }
    };
    json!({
        "id": request.id.as_str(),
        "object": if request.chat { "chat.completion.chunk" } else { "text_completion" },
        "model": request.service.model,
        "choices": [choice],
    })
}
