//! Text of other writers in log lines.

/// Longest text that is logged, in characters: another writer's may take a megabyte.
const MAX_TEXT_CHARS: usize = 120;

/// The beginning of a text that another writer has chosen, or of a reason that repeats it.
pub(super) fn shortened(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
