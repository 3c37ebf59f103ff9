//! The story of one request, from the log lines of any number of nodes.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;
use std::path::PathBuf;

use beamwall_events::internal_events::CATALOGUE;
use serde::Deserialize;

use crate::error::CommandError;

/// Time before a request within which a change of what its node believed is part of its story.
const CONTEXT_SECONDS: i64 = 10;
/// Changes told at most; the newest before the request's end.
const CONTEXT_LINES: usize = 8;
/// Events that change what a node believes: policy, back ends, peers, store, leases.
const CONTEXT_NUMBERS: std::ops::Range<u16> = 1_000..5_000;

/// One log line.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    diags: BTreeMap<String, serde_json::Value>,
}

impl Line {
    /// Reads a line; anything before its first brace is left out.
    fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    fn number(&self) -> u16 {
        let digits = self.message.strip_prefix("BW-").and_then(|rest| rest.split(' ').next());
        digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }

    fn field(&self, name: &str) -> &str {
        self.kvs.get(name).and_then(|value| value.as_str()).unwrap_or_default()
    }

    fn node(&self) -> &str {
        self.diags.get("node").and_then(|value| value.as_str()).unwrap_or("?")
    }

    /// Seconds of the day, which suffice to tell how near two lines are.
    fn second(&self) -> i64 {
        let clock = self.timestamp.split('T').nth(1).unwrap_or_default();
        let numbers =
            clock.split(':').take(3).map(|part| part.get(..2).and_then(|part| part.parse::<i64>().ok()));
        numbers.fold(0, |sum, number| sum * 60 + number.unwrap_or(0))
    }

    fn tell(&self) -> String {
        let fields: Vec<String> = self
            .kvs
            .iter()
            .filter(|(name, _)| name.as_str() != "request")
            .map(|(name, value)| format!("{name}={}", value.as_str().unwrap_or_default()))
            .collect();
        format!("{} {} {} {}", self.timestamp, self.node(), self.message, fields.join(" "))
    }
}

/// Reads the files, or standard input where there are none.
pub fn read_lines(files: &[PathBuf]) -> Result<Vec<String>, CommandError> {
    if files.is_empty() {
        let lines: Result<Vec<String>, std::io::Error> = std::io::stdin().lock().lines().collect();
        return lines.map_err(|cause| CommandError::File("standard input".to_owned(), cause));
    }
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| CommandError::File(file.display().to_string(), cause))?;
        lines.extend(text.lines().map(str::to_owned));
    }
    Ok(lines)
}

/// What happened to a request: its lines in order, what each means, and what its nodes had come to
/// believe shortly before.
pub fn explain(request: &str, lines: &[String]) -> Option<String> {
    let mut parsed: Vec<Line> = lines.iter().filter_map(|text| Line::parse(text)).collect();
    parsed.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    let of_request: Vec<&Line> = parsed.iter().filter(|line| line.field("request") == request).collect();
    let last = of_request.last()?;
    let mut story = format!("request {request}: {} lines\n", of_request.len());
    for line in context(&parsed, &of_request) {
        let _ = writeln!(story, "  before  {}", line.tell());
    }
    for line in &of_request {
        let _ = writeln!(story, "  {}\n      {}", line.tell(), meaning(line));
    }
    let _ = writeln!(story, "outcome: {}", outcome(last, &of_request));
    Some(story)
}

fn context<'a>(all: &'a [Line], of_request: &[&Line]) -> Vec<&'a Line> {
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else { return Vec::new() };
    let span = first.second() - CONTEXT_SECONDS..=last.second();
    let is_context = |line: &&Line| {
        let same_node = of_request.iter().any(|own| own.node() == line.node());
        same_node && CONTEXT_NUMBERS.contains(&line.number()) && span.contains(&line.second())
    };
    let mut lines: Vec<&Line> = all.iter().filter(is_context).collect();
    let surplus = lines.len().saturating_sub(CONTEXT_LINES);
    lines.drain(..surplus);
    lines
}

fn meaning(line: &Line) -> String {
    let known = CATALOGUE.iter().find(|entry| entry.number == line.number());
    match (line.number(), line.field("ran")) {
        (5_102, "no") => "the attempt gave no answer; it is proved that nothing ran".to_owned(),
        (5_102, _) => "the attempt gave no answer; the request may have run there".to_owned(),
        (5_104, _) => refusal_meaning(line).to_owned(),
        _ => known.map_or_else(|| "not in the catalogue".to_owned(), |entry| entry.message.to_owned()),
    }
}

fn refusal_meaning(line: &Line) -> &'static str {
    match line.field("quota_cause") {
        "limit_used" => "refused: the work that the node knew of had used the tenant's limit up",
        "share_used" => {
            "refused: the tenant's limit covered it, but the node or its zone had used its share and others \
             had not received its report yet"
        }
        "withheld" => {
            "refused: the rest of the tenant's limit was reserved for nodes that could not be reached, or \
             for work from before the node's start"
        }
        _ => "request refused",
    }
}

fn outcome(last: &Line, all: &[&Line]) -> String {
    let attempts = all.iter().filter(|line| line.number() == 5_101).count();
    let failures: Vec<&str> =
        all.iter().filter(|line| line.number() == 5_102).map(|line| line.field("reason")).collect();
    let end = match last.number() {
        5_103 => {
            format!("answered with status {} after {} ms", last.field("status"), last.field("elapsed_ms"))
        }
        5_104 => format!(
            "refused with status {} after {} ms: {}",
            last.field("status"),
            last.field("elapsed_ms"),
            last.field("reason")
        ),
        5_106 => format!("broke off after event {}: {}", last.field("last_event"), last.field("reason")),
        5_107 => format!("its stream ended whole after {} ms", last.field("elapsed_ms")),
        5_108 => "its caller went away".to_owned(),
        _ => "no final line: look at the node's end, or at lines that were dropped (BW-1007)".to_owned(),
    };
    format!("{end}; {attempts} attempts; failures: [{}]", failures.join("; "))
}
