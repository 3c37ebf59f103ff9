//! A settings tree as a directory: each node is a directory with a `node.toml`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use beamwall_config::{ConfigTree, TreePath};

use crate::error::CommandError;

/// File that holds the document of a node.
const DOCUMENT: &str = "node.toml";

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    let path = path.display().to_string();
    |cause| CommandError::File(path, cause)
}

/// Reads the documents of a directory.
pub fn read(root: &Path) -> Result<BTreeMap<TreePath, String>, CommandError> {
    let mut documents = BTreeMap::new();
    let mut waiting: Vec<(PathBuf, TreePath)> = vec![(root.to_owned(), TreePath::root())];
    while let Some((directory, path)) = waiting.pop() {
        let file = directory.join(DOCUMENT);
        let text = std::fs::read_to_string(&file).map_err(file_error(&file))?;
        documents.insert(path.clone(), text);
        let entries = std::fs::read_dir(&directory).map_err(file_error(&directory))?;
        for entry in entries {
            let entry = entry.map_err(file_error(&directory))?;
            if entry.path().is_dir() {
                waiting.push((entry.path(), child(&path, &entry.file_name().to_string_lossy())?));
            }
        }
    }
    Ok(documents)
}

fn child(parent: &TreePath, name: &str) -> Result<TreePath, CommandError> {
    let text = if parent.as_str() == "/" { format!("/{name}") } else { format!("{parent}/{name}") };
    text.parse()
        .map_err(|error: beamwall_config::path::PathError| CommandError::Format(text, error.to_string()))
}

/// Reads and validates a directory.
pub fn read_valid(root: &Path) -> Result<BTreeMap<TreePath, String>, CommandError> {
    let documents = read(root)?;
    ConfigTree::from_documents(&documents)?;
    Ok(documents)
}
