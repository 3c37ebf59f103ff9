//! The deterministic text that engines generate.
//!
//! Token `i` of an answer depends only on the prompt and on `i`. A checker that knows the prompt
//! can therefore tell a lost, doubled or foreign token in any stream, also in one that moved
//! between engines.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The text of token `index` of the answer to `prompt`.
pub fn token(prompt_hash: u64, index: u32) -> String {
    let word = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!(" w{:05x}", word & 0xf_ffff)
}

/// The hash of a prompt.
pub fn hash(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// The whole answer to `prompt` of `count` tokens.
pub fn answer(prompt: &str, count: u32) -> String {
    let prompt_hash = hash(prompt);
    (0..count).map(|index| token(prompt_hash, index)).collect()
}
