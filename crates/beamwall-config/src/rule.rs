//! Key rules: which keys a document may hold and which values each allows.

use std::net::SocketAddr;

use crate::document::Setting;

/// The values that a key allows.
#[derive(Debug, Clone, Copy)]
pub enum ValueKind {
    /// Text that is not empty.
    Text,
    /// A whole number in a closed range.
    Integer {
        /// Smallest allowed.
        minimum: i64,
        /// Largest allowed.
        maximum: i64,
    },
    /// A number in a closed range.
    Number {
        /// Smallest allowed.
        minimum: f64,
        /// Largest allowed.
        maximum: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A list of texts.
    TextList,
    /// `IP:port`.
    Address,
    /// A list of `IP:port`.
    AddressList,
    /// A list of SHA-256 digests as 64 hexadecimal digits.
    DigestList,
}

/// The rule of one key.
#[derive(Debug, Clone, Copy)]
pub struct KeyRule {
    /// The dotted key.
    pub key: &'static str,
    /// The values allowed.
    pub kind: ValueKind,
    /// The value when the key is absent, as TOML text; `None` when there is none.
    pub default: Option<&'static str>,
    /// Whether the key must be present (process settings only).
    pub required: bool,
    /// Whether children in the tree inherit the value.
    pub inherited: bool,
    /// What the key does, for the operators' page.
    pub summary: &'static str,
}

/// A key of process settings that must be present.
pub(crate) const fn required(key: &'static str, kind: ValueKind, summary: &'static str) -> KeyRule {
    KeyRule { key, kind, default: None, required: true, inherited: false, summary }
}

/// A key of process settings with a default.
pub(crate) const fn optional(
    key: &'static str,
    kind: ValueKind,
    default: &'static str,
    summary: &'static str,
) -> KeyRule {
    KeyRule { key, kind, default: Some(default), required: false, inherited: false, summary }
}

/// Whole numbers of a closed range.
pub(crate) const fn integer(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Integer { minimum, maximum }
}

const DIGEST_DIGITS: usize = 64;

impl ValueKind {
    /// Describes the allowed values.
    pub fn describe(&self) -> String {
        match self {
            Self::Text => "a text that is not empty".to_owned(),
            Self::Integer { minimum, maximum } => format!("a whole number from {minimum} to {maximum}"),
            Self::Number { minimum, maximum } => format!("a number from {minimum} to {maximum}"),
            Self::Boolean => "true or false".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::TextList => "a list of texts".to_owned(),
            Self::Address => "an address as IP:port".to_owned(),
            Self::AddressList => "a list of addresses as IP:port".to_owned(),
            Self::DigestList => "a list of SHA-256 digests as 64 hexadecimal digits".to_owned(),
        }
    }

    /// Whether a value is allowed.
    pub fn allows(&self, setting: &Setting) -> bool {
        match (self, setting) {
            (Self::Text, Setting::Text(text)) => !text.trim().is_empty(),
            (Self::Integer { minimum, maximum }, Setting::Integer(number)) => {
                (minimum..=maximum).contains(&number)
            }
            (Self::Number { minimum, maximum }, Setting::Number(number)) => {
                (minimum..=maximum).contains(&number)
            }
            (Self::Number { minimum, maximum }, Setting::Integer(number)) => {
                (*minimum..=*maximum).contains(&(*number as f64))
            }
            (Self::Boolean, Setting::Boolean(_)) => true,
            (Self::Choice(words), Setting::Text(text)) => words.contains(&text.as_str()),
            (Self::TextList, Setting::List(items)) => items.iter().all(|item| !item.trim().is_empty()),
            (Self::Address, Setting::Text(text)) => text.parse::<SocketAddr>().is_ok(),
            (Self::AddressList, Setting::List(items)) => {
                items.iter().all(|item| item.parse::<SocketAddr>().is_ok())
            }
            (Self::DigestList, Setting::List(items)) => items.iter().all(|item| is_digest(item)),
            _ => false,
        }
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Finds the rule of a key.
pub fn find(rules: &'static [KeyRule], key: &str) -> Option<&'static KeyRule> {
    rules.iter().find(|rule| rule.key == key)
}
