//! Service classes: how urgently a caller needs the response.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error of parsing a service class.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ClassError {
        /// The text is none of the three class names.
        Unknown(text: String) {
            display("unknown service class {:?}: allowed are interactive, standard, batch", text)
        }
    }
}

/// How urgently a caller needs the response. The order is from most to least urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceClass {
    /// A person waits for the first token.
    Interactive,
    /// A person or a process waits for the complete response.
    Standard,
    /// Nobody waits; the work may take hours.
    Batch,
}

impl ServiceClass {
    /// All classes, most urgent first.
    pub const ALL: [ServiceClass; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// The lower-case name used in settings, headers and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }

    /// Engine priority: a smaller number is scheduled first.
    pub fn priority(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for ServiceClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for ServiceClass {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ClassError::Unknown(text.to_owned()))
    }
}
