//! A model request as accepted from a caller.

use beamwall_config::{Service, Tenant};
use beamwall_model::{RequestId, ServiceClass};
use beamwall_quarantine::{Fingerprint, FingerprintHasher};
use tokio::time::Instant;

/// Prompt bytes counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// A model request as accepted from a caller.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Its identifier.
    pub id: RequestId,
    /// Who asked.
    pub tenant: Tenant,
    /// What was asked.
    pub service: Service,
    /// The prompt.
    pub prompt: String,
    /// The caller's session key.
    pub session: Option<String>,
    /// Its class.
    pub class: ServiceClass,
    /// Most tokens wanted.
    pub max_tokens: u32,
    /// Whether the caller asked in chat form.
    pub chat: bool,
    /// When the caller gives up.
    pub deadline: Instant,
    /// When it was accepted.
    pub accepted: Instant,
}

impl ModelRequest {
    /// Estimated tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
    }

    /// What all tries of this request have in common.
    pub fn fingerprint(&self) -> Fingerprint {
        let service = self.service.name.as_str();
        let mut hasher = FingerprintHasher::new(Some(self.tenant.name.as_str()), service, "");
        hasher.update(&self.max_tokens.to_le_bytes());
        hasher.update(self.prompt.as_bytes());
        hasher.finish()
    }

    /// Estimated tokens of work: prompt and answer.
    pub fn work_tokens(&self) -> u32 {
        self.prompt_tokens().saturating_add(self.max_tokens)
    }
}
