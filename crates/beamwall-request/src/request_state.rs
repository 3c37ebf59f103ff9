//! The `RequestState` aggregate: the tokens of one request, kept by the node until its readers have
//! them, and the rule that each index is taken exactly once and in order.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use beamwall_model::{BackendId, RequestId, TenantName};
use tokio::sync::watch;

use crate::end::End;

/// What became of a token that an engine sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenResult {
    /// It was the next one.
    Taken,
    /// It was taken before; ignored.
    Duplicate,
    /// One before it is missing: the stream cannot be trusted.
    Gap,
}

/// Where the request ran last and what it cost.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Progress {
    /// Tokens taken.
    pub tokens: usize,
    /// Whether an engine has started on it.
    pub started: bool,
    /// The end.
    pub end: Option<End>,
}

/// Facts for headers and usage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Usage {
    /// Engine of the last attempt.
    pub backend: Option<BackendId>,
    /// Why it was chosen.
    pub reason: String,
    /// Attempts made.
    pub attempts: u32,
    /// Prompt tokens that the first engine found in its cache.
    pub cached_tokens: u32,
    /// Tokens computed again by later attempts.
    pub recomputed_tokens: u32,
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<String>,
    usage: Usage,
}

/// One request in progress or ended.
#[derive(Debug)]
pub struct RequestState {
    /// Its identifier.
    pub id: RequestId,
    /// Who may read it.
    pub tenant: TenantName,
    inner: Mutex<Inner>,
    progress: watch::Sender<Progress>,
    readers: AtomicUsize,
    detached: AtomicBool,
    abandoned: watch::Sender<bool>,
}

impl RequestState {
    /// A request that has `tokens` already, from a node that handed it over.
    pub fn new(id: RequestId, tenant: TenantName, tokens: Vec<String>) -> Arc<Self> {
        let progress = Progress { tokens: tokens.len(), started: !tokens.is_empty(), end: None };
        Arc::new(Self {
            id,
            tenant,
            inner: Mutex::new(Inner { tokens, usage: Usage::default() }),
            progress: watch::channel(progress).0,
            readers: AtomicUsize::new(0),
            detached: AtomicBool::new(false),
            abandoned: watch::channel(false).0,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the request running without readers.
    pub fn detach(&self) {
        self.detached.store(true, Ordering::Relaxed);
    }

    /// Takes a token from an engine.
    pub fn take_token(&self, index: u32, text: String) -> TokenResult {
        let tokens = {
            let mut inner = self.lock();
            let next = inner.tokens.len();
            let index = index as usize;
            if index < next {
                return TokenResult::Duplicate;
            }
            if index > next {
                return TokenResult::Gap;
            }
            inner.tokens.push(text);
            inner.tokens.len()
        };
        self.progress.send_modify(|progress| {
            progress.tokens = tokens;
            progress.started = true;
        });
        TokenResult::Taken
    }

    /// The tokens from `from` on.
    pub fn tokens_from(&self, from: usize) -> Vec<String> {
        let inner = self.lock();
        inner.tokens.get(from..).unwrap_or_default().to_vec()
    }

    /// Tokens taken so far.
    pub fn token_count(&self) -> usize {
        self.lock().tokens.len()
    }

    /// Notes that an attempt began at a back end.
    pub fn note_attempt(&self, backend: &BackendId, reason: &str) {
        let mut inner = self.lock();
        inner.usage.backend = Some(backend.clone());
        inner.usage.reason = reason.to_owned();
        inner.usage.attempts += 1;
    }

    /// Notes what an engine found and computed.
    pub fn note_started(&self, cached_tokens: u32, computed_tokens: u32) {
        {
            let mut inner = self.lock();
            if inner.usage.attempts <= 1 {
                inner.usage.cached_tokens = cached_tokens;
            } else {
                inner.usage.recomputed_tokens += computed_tokens;
            }
        }
        self.progress.send_modify(|progress| progress.started = true);
    }

    /// Facts for headers and usage.
    pub fn usage(&self) -> Usage {
        self.lock().usage.clone()
    }

    /// Ends the request. Only the first end counts.
    pub fn finish(&self, end: End) -> bool {
        let mut first = false;
        self.progress.send_modify(|progress| {
            first = progress.end.is_none();
            progress.end.get_or_insert(end);
        });
        first
    }

    /// The end, if it has ended.
    pub fn end(&self) -> Option<End> {
        self.progress.borrow().end.clone()
    }

    /// Follows the request. Dropping the last reader of a request that is not detached abandons it.
    pub fn reader(self: &Arc<Self>) -> RequestReader {
        self.readers.fetch_add(1, Ordering::AcqRel);
        RequestReader { progress: self.progress.subscribe(), state: self.clone() }
    }

    /// Returns when nobody waits for the answer any more.
    pub async fn until_abandoned(&self) {
        let mut abandoned = self.abandoned.subscribe();
        let _ = abandoned.wait_for(|abandoned| *abandoned).await;
    }
}

/// Follows one request.
#[derive(Debug)]
pub struct RequestReader {
    progress: watch::Receiver<Progress>,
    /// The request.
    pub state: Arc<RequestState>,
}

impl RequestReader {
    /// Waits until an engine has started or the request has ended.
    pub async fn started(&mut self) -> Progress {
        self.wait(|progress| progress.started || progress.end.is_some()).await
    }

    /// Waits until there are more than `count` tokens or the request has ended.
    pub async fn beyond(&mut self, count: usize) -> Progress {
        self.wait(|progress| progress.tokens > count || progress.end.is_some()).await
    }

    /// Waits for the end.
    pub async fn ended(&mut self) -> Progress {
        self.wait(|progress| progress.end.is_some()).await
    }

    async fn wait(&mut self, condition: impl FnMut(&Progress) -> bool) -> Progress {
        match self.progress.wait_for(condition).await {
            Ok(progress) => progress.clone(),
            Err(_) => {
                Progress { tokens: 0, started: false, end: Some(End::unknown("request state is gone")) }
            }
        }
    }
}

impl Drop for RequestReader {
    fn drop(&mut self) {
        let left = self.state.readers.fetch_sub(1, Ordering::AcqRel) - 1;
        if left == 0 && !self.state.detached.load(Ordering::Relaxed) {
            self.state.abandoned.send_replace(true);
        }
    }
}
