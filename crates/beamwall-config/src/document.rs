//! One TOML document checked against a table of key rules.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use toml_edit::{Document, Item, TableLike, Value};

use crate::fault::{Fault, Faults};
use crate::rule::{KeyRule, find};

/// A value of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Setting {
    /// `true` or `false`.
    Boolean(bool),
    /// A whole number.
    Integer(i64),
    /// Any other number.
    Number(f64),
    /// Text.
    Text(String),
    /// A list of texts.
    List(Vec<String>),
}

impl fmt::Display for Setting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Boolean(value) => write!(formatter, "{value}"),
            Self::Integer(value) => write!(formatter, "{value}"),
            Self::Number(value) => write!(formatter, "{value}"),
            Self::Text(value) => write!(formatter, "{value:?}"),
            Self::List(values) => write!(formatter, "{values:?}"),
        }
    }
}

/// The values of a document by dotted key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings(pub BTreeMap<String, Setting>);

impl Settings {
    /// Reads a document, reporting every fault at once.
    pub fn parse(place: &str, text: &str, rules: &'static [KeyRule]) -> Result<Self, Faults> {
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(error) => return Err(syntax_fault(place, text, &error)),
        };
        let mut reader = Reader { place, text, rules, faults: Faults::default(), values: BTreeMap::new() };
        reader.read_table("", document.as_table());
        reader.check_required();
        reader.faults.0.sort_by_key(|fault| fault.line);
        reader.faults.into_result(Self(reader.values))
    }

    /// Text value of a key.
    pub fn text(&self, key: &str) -> Option<&str> {
        match self.0.get(key) {
            Some(Setting::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Whole-number value of a key.
    pub fn integer(&self, key: &str) -> Option<i64> {
        match self.0.get(key) {
            Some(Setting::Integer(number)) => Some(*number),
            _ => None,
        }
    }

    /// Number value of a key.
    pub fn number(&self, key: &str) -> Option<f64> {
        match self.0.get(key) {
            Some(Setting::Number(number)) => Some(*number),
            Some(Setting::Integer(number)) => Some(*number as f64),
            _ => None,
        }
    }

    /// Boolean value of a key.
    pub fn boolean(&self, key: &str) -> Option<bool> {
        match self.0.get(key) {
            Some(Setting::Boolean(value)) => Some(*value),
            _ => None,
        }
    }

    /// Number value of a key, or the default of its rule; 0 where there is neither.
    pub fn number_or_default(&self, key: &str, rules: &'static [KeyRule]) -> f64 {
        let default = || find(rules, key)?.default?.parse().ok();
        self.number(key).or_else(default).unwrap_or(0.0)
    }

    /// Address value of a key; unspecified when absent.
    pub fn address(&self, key: &str) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.text(key).and_then(|text| text.parse().ok()).unwrap_or(unspecified)
    }

    /// Notes a fault for each of `keys` that holds the same address as an earlier one.
    pub fn check_distinct_addresses(&self, file: &str, keys: &[&str], faults: &mut Faults) {
        for (index, key) in keys.iter().enumerate() {
            let same = keys[..index].iter().find(|other| self.text(other) == self.text(key));
            if let Some(other) = same {
                let problem = format!("same address as {other}");
                faults.push_at_node(file, key, problem, "different addresses");
            }
        }
    }

    /// List value of a key; empty when absent.
    pub fn list(&self, key: &str) -> &[String] {
        match self.0.get(key) {
            Some(Setting::List(values)) => values,
            _ => &[],
        }
    }
}

fn syntax_fault(place: &str, text: &str, error: &toml_edit::TomlError) -> Faults {
    Faults(vec![Fault {
        place: place.to_owned(),
        line: error.span().map_or(0, |span| line_of(text, &span)),
        key: String::new(),
        problem: error.message().trim().to_owned(),
        allowed: "TOML 1.1".to_owned(),
    }])
}

fn line_of(text: &str, span: &Range<usize>) -> usize {
    let end = span.start.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

struct Reader<'a> {
    place: &'a str,
    text: &'a str,
    rules: &'static [KeyRule],
    faults: Faults,
    values: BTreeMap<String, Setting>,
}

impl Reader<'_> {
    fn read_table(&mut self, prefix: &str, table: &dyn TableLike) {
        for (name, item) in table.iter() {
            let key = if prefix.is_empty() { name.to_owned() } else { format!("{prefix}.{name}") };
            let line = self.line_of_key(table, name, item);
            match item.as_table_like() {
                Some(inner) if find(self.rules, &key).is_none() => self.read_section(&key, inner, line),
                _ => self.read_value(&key, item, line),
            }
        }
    }

    fn read_section(&mut self, key: &str, table: &dyn TableLike, line: usize) {
        let section = format!("{key}.");
        if self.rules.iter().any(|rule| rule.key.starts_with(&section)) {
            self.read_table(key, table);
        } else {
            self.fault(line, key, "unknown section".to_owned(), self.known_sections());
        }
    }

    fn read_value(&mut self, key: &str, item: &Item, line: usize) {
        let Some(rule) = find(self.rules, key) else {
            self.fault(line, key, "unknown key".to_owned(), self.known_keys(key));
            return;
        };
        match item.as_value().and_then(to_setting) {
            Some(setting) if rule.kind.allows(&setting) => {
                self.values.insert(key.to_owned(), setting);
            }
            _ => {
                let shown = item.to_string();
                self.fault(line, key, format!("value {} is not allowed", shown.trim()), rule.kind.describe());
            }
        }
    }

    fn check_required(&mut self) {
        for rule in self.rules {
            let present = self.values.contains_key(rule.key);
            let faulted = self.faults.0.iter().any(|fault| fault.key == rule.key);
            if rule.required && !present && !faulted {
                self.fault(0, rule.key, "key is missing".to_owned(), rule.kind.describe());
            }
        }
    }

    fn line_of_key(&self, table: &dyn TableLike, name: &str, item: &Item) -> usize {
        let key_span = table.get_key_value(name).and_then(|(key, _)| key.span());
        key_span.or_else(|| item.span()).map_or(0, |span| line_of(self.text, &span))
    }

    fn known_sections(&self) -> String {
        let mut sections: Vec<&str> =
            self.rules.iter().map(|rule| rule.key.split('.').next().unwrap_or(rule.key)).collect();
        sections.sort_unstable();
        sections.dedup();
        sections.join(", ")
    }

    fn known_keys(&self, key: &str) -> String {
        let section = key.rsplit_once('.').map_or("", |(section, _)| section);
        let in_section = |rule: &&KeyRule| rule.key.rsplit_once('.').map_or("", |(name, _)| name) == section;
        let keys: Vec<&str> = self.rules.iter().filter(in_section).map(|rule| rule.key).collect();
        keys.join(", ")
    }

    fn fault(&mut self, line: usize, key: &str, problem: String, allowed: String) {
        self.faults.push(Fault { place: self.place.to_owned(), line, key: key.to_owned(), problem, allowed });
    }
}

fn to_setting(value: &Value) -> Option<Setting> {
    match value {
        Value::String(text) => Some(Setting::Text(text.value().clone())),
        Value::Integer(number) => Some(Setting::Integer(*number.value())),
        Value::Float(number) => Some(Setting::Number(*number.value())),
        Value::Boolean(value) => Some(Setting::Boolean(*value.value())),
        Value::Array(items) => {
            let texts: Option<Vec<String>> =
                items.iter().map(|item| item.as_str().map(str::to_owned)).collect();
            texts.map(Setting::List)
        }
        _ => None,
    }
}
