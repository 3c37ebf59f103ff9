//! Continuous batching: the sequences that an engine computes, step by step.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::cache::{PrefixCache, block_hashes};
use super::timing::EngineTiming;
use crate::text;

/// One attempt that ran at this engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanAttempt {
    /// The attempt.
    pub attempt: String,
    /// Index of the first token asked for.
    pub first_index: u32,
    /// Prompt and resumed tokens that had to be computed.
    pub computed_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// A generate call as accepted.
#[derive(Debug, Clone, Deserialize)]
pub struct GenerateCall {
    /// The attempt.
    pub attempt: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens already delivered to the caller by an earlier attempt.
    #[serde(default)]
    pub generated: Vec<String>,
    /// Index after the last token wanted.
    pub max_tokens: u32,
    /// Smaller runs first.
    #[serde(default)]
    pub priority: u8,
}

/// What a stream carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Output {
    /// Sent when the prompt has been computed.
    Started {
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
        /// Tokens computed.
        computed_tokens: u32,
    },
    /// One token.
    Token {
        /// Its index in the answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The end.
    Finished {
        /// Why: `length`.
        finish: &'static str,
    },
}

#[derive(Debug)]
struct Sequence {
    call: GenerateCall,
    prompt_hash: u64,
    blocks: Vec<u64>,
    next_index: u32,
    prefill_left: u32,
    computed: u32,
    cached: u32,
    arrival: u64,
    output: mpsc::UnboundedSender<Output>,
}

/// The batch and its queue.
#[derive(Debug)]
pub struct Batch {
    timing: EngineTiming,
    /// The prefix cache.
    pub cache: PrefixCache,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    imported: HashMap<u64, u32>,
    ran: Vec<RanAttempt>,
    arrivals: u64,
}

impl Batch {
    /// An idle engine.
    pub fn new(timing: EngineTiming) -> Self {
        Self {
            timing,
            cache: PrefixCache::new(timing.cache_capacity_tokens),
            running: Vec::new(),
            waiting: Vec::new(),
            imported: HashMap::new(),
            ran: Vec::new(),
            arrivals: 0,
        }
    }

    /// Queues a call; its output arrives on the receiver.
    pub fn submit(&mut self, call: GenerateCall) -> mpsc::UnboundedReceiver<Output> {
        let (output, receiver) = mpsc::unbounded_channel();
        self.arrivals += 1;
        self.waiting.push(Sequence {
            prompt_hash: text::hash(&call.prompt),
            blocks: block_hashes(&call.prompt),
            next_index: u32::try_from(call.generated.len()).unwrap_or(u32::MAX),
            prefill_left: 0,
            computed: 0,
            cached: 0,
            arrival: self.arrivals,
            output,
            call,
        });
        receiver
    }

    /// Ends an attempt; its output closes without an end mark.
    pub fn cancel(&mut self, attempt: &str) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.call.attempt != attempt);
        self.waiting.retain(|sequence| sequence.call.attempt != attempt);
        before != self.running.len() + self.waiting.len()
    }

    /// Breaks all streams.
    pub fn abort_all(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Running and waiting sequences.
    pub fn depth(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Uncomputed prompt tokens of waiting and running sequences.
    pub fn queued_tokens(&self) -> u32 {
        let waiting = self.waiting.iter().map(|sequence| text::prompt_tokens(&sequence.call.prompt));
        let running = self.running.iter().map(|sequence| sequence.prefill_left);
        waiting.chain(running).sum()
    }

    /// Attempts that ran.
    pub fn ran(&self) -> &[RanAttempt] {
        &self.ran
    }

    /// KV tokens of an attempt that can be exported, with its prompt's hash and blocks.
    pub fn export(&self, attempt: &str) -> Option<(u64, Vec<u64>, u32)> {
        let sequence = self.running.iter().find(|sequence| sequence.call.attempt == attempt)?;
        let tokens = text::prompt_tokens(&sequence.call.prompt) - sequence.prefill_left + sequence.next_index;
        Some((sequence.prompt_hash, sequence.blocks.clone(), tokens))
    }

    /// Takes KV cache computed elsewhere.
    pub fn import(&mut self, prompt_hash: u64, blocks: &[u64], tokens: u32) {
        self.cache.store(blocks);
        self.imported.insert(prompt_hash, tokens);
    }

    /// Whether there is nothing to compute.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Plans one step and returns its length; [`Batch::finish_step`] delivers its output.
    pub fn begin_step(&mut self) -> Duration {
        self.running.retain(|sequence| !sequence.output.is_closed());
        self.waiting.retain(|sequence| !sequence.output.is_closed());
        self.admit();
        let prefilled = self.prefill();
        let decoding = self.running.iter().filter(|sequence| sequence.prefill_left == 0).count();
        self.timing.step(decoding, prefilled)
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|sequence| (sequence.call.priority, sequence.arrival));
        while self.running.len() < self.timing.max_batch && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            self.start(&mut sequence);
            self.running.push(sequence);
        }
    }

    fn start(&mut self, sequence: &mut Sequence) {
        let prompt = text::prompt_tokens(&sequence.call.prompt);
        let needed = prompt + sequence.next_index;
        let imported = self.imported.remove(&sequence.prompt_hash).unwrap_or(0);
        let cached = self.cache.lookup(&sequence.blocks).min(prompt).max(imported.min(needed));
        sequence.cached = cached;
        sequence.computed = needed - cached;
        sequence.prefill_left = sequence.computed;
        self.ran.push(RanAttempt {
            attempt: sequence.call.attempt.clone(),
            first_index: sequence.next_index,
            computed_tokens: sequence.computed,
            cached_tokens: cached,
        });
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.timing.prefill_chunk_tokens;
        for sequence in &mut self.running {
            let part = sequence.prefill_left.min(budget);
            sequence.prefill_left -= part;
            budget -= part;
            if part > 0 && sequence.prefill_left == 0 {
                self.cache.store(&sequence.blocks);
            }
        }
        self.timing.prefill_chunk_tokens - budget
    }

    /// Delivers a token to every sequence whose prompt is computed.
    pub fn finish_step(&mut self) {
        self.running.retain_mut(|sequence| sequence.prefill_left > 0 || sequence.emit());
    }
}

impl Sequence {
    /// Emits one token; false when the sequence has ended.
    fn emit(&mut self) -> bool {
        let first = u32::try_from(self.call.generated.len()).unwrap_or(u32::MAX);
        if self.next_index == first {
            let started = Output::Started { cached_tokens: self.cached, computed_tokens: self.computed };
            let _ = self.output.send(started);
        }
        if self.next_index < self.call.max_tokens {
            let text = text::token(self.prompt_hash, self.next_index);
            let sent = self.output.send(Output::Token { index: self.next_index, text });
            self.next_index += 1;
            if sent.is_err() {
                return false;
            }
        }
        let more = self.next_index < self.call.max_tokens;
        if !more {
            let _ = self.output.send(Output::Finished { finish: "length" });
        }
        more
    }
}
