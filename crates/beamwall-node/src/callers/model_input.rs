//! Model requests as callers write them.

use std::time::Duration;

use beamwall_config::{Service, Tenant};
use beamwall_model::{RequestId, ServiceClass};
use beamwall_request::ModelRequest;
use hyper::HeaderMap;
use serde::Deserialize;
use tokio::time::Instant;

use crate::callers::api_error::ApiError;

/// Tokens generated when the caller names no number.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Header with the caller's session key.
pub const SESSION: &str = "beamwall-session";
/// Header with the class of the request.
pub const CLASS: &str = "beamwall-class";

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// The fields that are understood. Others are ignored, as sampling settings differ by client.
#[derive(Debug, Deserialize)]
pub struct ModelInput {
    /// Model name.
    pub model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
}

impl ModelInput {
    /// Reads a body.
    pub fn parse(body: &[u8]) -> Result<Self, ApiError> {
        serde_json::from_slice(body)
            .map_err(|error| ApiError::bad_request(format!("body is not a request: {error}")))
    }

    /// The prompt, in chat form or plain.
    pub fn prompt(&self, chat: bool) -> Result<String, ApiError> {
        let prompt = if chat {
            let messages = self.messages.as_ref().filter(|messages| !messages.is_empty());
            let messages = messages.ok_or_else(|| ApiError::bad_request("messages must not be empty"))?;
            messages.iter().map(|message| format!("{}: {}\n", message.role, message.content)).collect()
        } else {
            self.prompt.clone().ok_or_else(|| ApiError::bad_request("prompt is missing"))?
        };
        if prompt.is_empty() { Err(ApiError::bad_request("prompt must not be empty")) } else { Ok(prompt) }
    }

    /// Tokens wanted, checked against the service.
    pub fn tokens(&self, service: &Service) -> Result<u32, ApiError> {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        let tokens = asked.unwrap_or(DEFAULT_MAX_TOKENS.min(service.max_tokens));
        if tokens == 0 || tokens > service.max_tokens {
            let message = format!("max_tokens must be from 1 to {}", service.max_tokens);
            return Err(ApiError::bad_request(message));
        }
        Ok(tokens)
    }
}

/// The class that the headers ask for, or the tenant's.
pub fn class(headers: &HeaderMap, tenant: &Tenant) -> Result<ServiceClass, ApiError> {
    let Some(value) = headers.get(CLASS) else { return Ok(tenant.class) };
    let text = value.to_str().map_err(|_| ApiError::bad_request("class header is not text"))?;
    text.parse().map_err(|error: beamwall_model::class::ClassError| ApiError::bad_request(error.to_string()))
}

/// The session key of the headers.
pub fn session(headers: &HeaderMap) -> Option<String> {
    headers.get(SESSION)?.to_str().ok().map(str::to_owned)
}

/// Makes the request.
pub fn to_request(
    id: RequestId,
    input: &ModelInput,
    chat: bool,
    headers: &HeaderMap,
    tenant: &Tenant,
    service: &Service,
) -> Result<ModelRequest, ApiError> {
    let now = Instant::now();
    Ok(ModelRequest {
        id,
        tenant: tenant.clone(),
        service: service.clone(),
        prompt: input.prompt(chat)?,
        session: session(headers),
        class: class(headers, tenant)?,
        max_tokens: input.tokens(service)?,
        chat,
        deadline: now + Duration::from_millis(service.request_timeout_ms),
        accepted: now,
    })
}
