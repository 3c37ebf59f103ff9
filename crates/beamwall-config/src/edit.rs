//! An operator's edit of the settings tree.

use serde::{Deserialize, Serialize};

use crate::path::TreePath;

/// One changed node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The node.
    pub path: TreePath,
    /// Its new TOML text; `None` deletes the node.
    pub text: Option<String>,
}

/// A set of changes that is accepted or refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The revision the operator saw; the edit is refused when another is in force.
    pub base_revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
}
