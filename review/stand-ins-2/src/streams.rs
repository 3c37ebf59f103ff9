//! Streams of callers that take them up again.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::client::{Client, Outcome, Request};
use crate::record::Record;

/// What all streams of a case have in common.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub host: &'static str,
    pub key: &'static str,
    /// Events of each.
    pub events: u64,
    /// A caller whose stream broke off takes it up again, at most so often and so long.
    pub max_tries: usize,
    pub deadline: Duration,
}

/// A caller's stream over all its tries.
pub struct Stream {
    kind: Kind,
    pub number: usize,
    pub tries: usize,
    /// The try that brought the first event.
    pub first_try: Option<String>,
    pub events: Vec<u64>,
    pub writers: Vec<String>,
    pub is_whole: bool,
    /// Whether a later try brought events.
    pub went_on: bool,
    started: Instant,
}

impl Stream {
    pub fn new(kind: Kind, number: usize) -> Self {
        Self {
            kind,
            number,
            tries: 0,
            first_try: None,
            events: Vec::new(),
            writers: Vec::new(),
            is_whole: false,
            went_on: false,
            started: Instant::now(),
        }
    }

    /// Begins the stream, or takes it up after the last event that came.
    pub async fn ask(&mut self, client: &Client, record: &Record) {
        self.tries += 1;
        let id = format!("s{}-{}", self.number, self.tries);
        let prompt = 1_000_000 + self.number;
        let mut headers = vec![
            ("X-Model".to_owned(), "m".to_owned()),
            ("X-Token-Counts".to_owned(), "715,180".to_owned()),
            ("X-Prefix-Hash".to_owned(), format!("{prompt:x}:715")),
        ];
        if let (Some(first), Some(last)) = (&self.first_try, self.events.last()) {
            headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            headers.push(("Resumes".to_owned(), first.clone()));
        }
        let request = Request {
            method: "POST",
            path: format!("/hints/stream-{}", self.kind.events),
            host: self.kind.host,
            id: id.clone(),
            key: self.kind.key.to_owned(),
            deadline: self.kind.deadline.saturating_sub(self.started.elapsed()),
            headers,
            body: format!("hint {}", self.number).into_bytes(),
        };
        let outcome = client.send(&request).await;
        self.note(&id, &outcome);
        let last = self.events.last().copied().unwrap_or(0);
        let status = outcome.status;
        record.note(&format!(
            "{id}: {status:?}, whole {}, events through {last} by {:?}",
            self.is_whole,
            self.engines()
        ));
    }

    fn note(&mut self, id: &str, outcome: &Outcome) {
        if outcome.status != Some(200) {
            return;
        }
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        for event in text.split("\n\n") {
            let number = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
            let writer = event.lines().find_map(|line| line.strip_prefix("data: piece ")?.split_once(" of "));
            if let (Some(number), Some((_, writer))) = (number, writer) {
                self.went_on |= self.tries > 1 && self.first_try.is_some();
                self.first_try.get_or_insert_with(|| id.to_owned());
                self.events.push(number);
                self.writers.push(writer.to_owned());
            }
        }
        self.is_whole = outcome.whole;
    }

    pub fn engines(&self) -> Vec<&str> {
        let mut engines: Vec<&str> = self.writers.iter().map(String::as_str).collect();
        engines.dedup();
        engines
    }

    pub async fn take_up(&mut self, clients: &[Client], place: usize, record: &Record) {
        while !self.is_whole
            && self.tries < self.kind.max_tries
            && self.started.elapsed() < self.kind.deadline
        {
            sleep(Duration::from_millis(700)).await;
            self.ask(&clients[(place + self.tries) % clients.len()], record).await;
        }
    }

    /// Whether it holds events of engines of two versions.
    pub fn is_mixed(&self) -> bool {
        let mut versions: Vec<&str> =
            self.writers.iter().filter_map(|writer| writer.split('-').next()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len() > 1
    }
}
