//! Paths in the settings tree.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

const MAX_SEGMENT_LENGTH: usize = 64;
const MAX_DEPTH: usize = 12;

quick_error! {
    /// Why a text is not a path of the settings tree.
    #[derive(Debug, PartialEq, Eq)]
    pub enum PathError {
        /// The text does not start with a slash.
        NotAbsolute(text: String) {
            display("path {:?} does not start with '/'", text)
        }
        /// A segment has a character that is not allowed or a wrong length.
        BadSegment(segment: String) {
            display("path segment {:?} must be 1 to {} characters of a-z, 0-9 and '-'", segment, MAX_SEGMENT_LENGTH)
        }
        /// The path has too many segments.
        TooDeep(depth: usize) {
            display("path has {} segments; {} at most", depth, MAX_DEPTH)
        }
    }
}

/// A path such as `/puzzle-world/studios/alder`; the root is `/`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TreePath(String);

impl TreePath {
    /// The root of the tree.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The last segment; empty for the root.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or("")
    }

    /// The parent; `None` for the root.
    pub fn parent(&self) -> Option<TreePath> {
        if self.0 == "/" {
            return None;
        }
        match self.0.rsplit_once('/') {
            Some(("", _)) | None => Some(Self::root()),
            Some((parent, _)) => Some(Self(parent.to_owned())),
        }
    }

    /// The path and its ancestors, the root first.
    pub fn lineage(&self) -> Vec<TreePath> {
        let mut lineage = vec![self.clone()];
        let mut current = self.clone();
        while let Some(parent) = current.parent() {
            lineage.push(parent.clone());
            current = parent;
        }
        lineage.reverse();
        lineage
    }

    /// Whether `other` is this node or below it.
    pub fn contains(&self, other: &TreePath) -> bool {
        self.0 == "/" || other.0 == self.0 || other.0.starts_with(&format!("{}/", self.0))
    }
}

impl FromStr for TreePath {
    type Err = PathError;

    fn from_str(text: &str) -> Result<Self, PathError> {
        if text == "/" {
            return Ok(Self::root());
        }
        let Some(rest) = text.strip_prefix('/') else {
            return Err(PathError::NotAbsolute(text.to_owned()));
        };
        let segments: Vec<&str> = rest.split('/').collect();
        if segments.len() > MAX_DEPTH {
            return Err(PathError::TooDeep(segments.len()));
        }
        match segments.iter().find(|segment| !is_segment(segment)) {
            Some(bad) => Err(PathError::BadSegment((*bad).to_owned())),
            None => Ok(Self(text.to_owned())),
        }
    }
}

fn is_segment(segment: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_SEGMENT_LENGTH).contains(&segment.len()) && segment.bytes().all(allowed)
}

impl TryFrom<String> for TreePath {
    type Error = PathError;

    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<TreePath> for String {
    fn from(path: TreePath) -> String {
        path.0
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
