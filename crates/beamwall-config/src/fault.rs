//! Faults found in settings text.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault: where it is, which key, what is wrong and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The file name or the path in the settings tree.
    pub place: String,
    /// The line, counted from 1; 0 when the fault has no single line.
    pub line: usize,
    /// The dotted key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed; empty when the problem says it.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.place, self.line, self.key, self.problem)?;
        if !self.allowed.is_empty() {
            write!(formatter, " (allowed: {})", self.allowed)?;
        }
        Ok(())
    }
}

/// All faults of one check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    /// Adds a fault that concerns a whole tree node rather than a line.
    pub fn push_at_node(&mut self, place: &str, key: &str, problem: String, allowed: &str) {
        self.push(Fault {
            place: place.to_owned(),
            line: 0,
            key: key.to_owned(),
            problem,
            allowed: allowed.to_owned(),
        });
    }

    /// `Ok` with the value when there are no faults.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}
