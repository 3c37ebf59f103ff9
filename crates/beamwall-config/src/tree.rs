//! The `ConfigTree` aggregate: documents by path, with the rule that the whole tree is valid.

use std::collections::BTreeMap;

use crate::document::{Setting, Settings};
use crate::edit::Change;
use crate::fault::Faults;
use crate::path::TreePath;
use crate::resolve::ResolvedTree;
use crate::rule::find;
use crate::tree_rules::TREE_RULES;

/// What a node of the tree stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeKind {
    /// Holds settings for its children.
    Group,
    /// A service that callers reach.
    Service,
    /// A tenant whose requests are served.
    Tenant,
    /// Where and on what a service's back ends run.
    Placement,
}

impl NodeKind {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "group" => Some(Self::Group),
            "service" => Some(Self::Service),
            "tenant" => Some(Self::Tenant),
            "placement" => Some(Self::Placement),
            _ => None,
        }
    }
}

/// One node: its text as the operator wrote it and the checked values.
#[derive(Debug, Clone, PartialEq)]
pub struct TreeNode {
    /// The TOML text.
    pub text: String,
    /// The values by dotted key.
    pub settings: Settings,
}

/// A resolved setting with the ancestor that gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct Origin {
    /// The value in force.
    pub value: Setting,
    /// The node that set it; `None` for the built-in default.
    pub path: Option<TreePath>,
}

/// All documents of one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigTree {
    nodes: BTreeMap<TreePath, TreeNode>,
}

impl ConfigTree {
    /// Reads a whole tree from its documents and validates it.
    pub fn from_documents(documents: &BTreeMap<TreePath, String>) -> Result<(Self, ResolvedTree), Faults> {
        let changes: Vec<Change> = documents
            .iter()
            .map(|(path, text)| Change { path: path.clone(), text: Some(text.clone()) })
            .collect();
        Self::default().with_changes(&changes)
    }

    /// The tree after `changes`, if it is valid as a whole; every fault otherwise.
    pub fn with_changes(&self, changes: &[Change]) -> Result<(Self, ResolvedTree), Faults> {
        let mut faults = Faults::default();
        let mut tree = self.clone();
        for change in changes {
            tree.apply(change, &mut faults);
        }
        tree.check_parents(&mut faults);
        let resolved = ResolvedTree::resolve(&tree, &mut faults);
        faults.into_result((tree, resolved))
    }

    fn apply(&mut self, change: &Change, faults: &mut Faults) {
        let Some(text) = &change.text else {
            if self.nodes.remove(&change.path).is_none() {
                faults.push_at_node(change.path.as_str(), "", "node does not exist".to_owned(), "");
            }
            return;
        };
        match Settings::parse(change.path.as_str(), text, TREE_RULES) {
            Ok(settings) => {
                self.nodes.insert(change.path.clone(), TreeNode { text: text.clone(), settings });
            }
            Err(found) => faults.0.extend(found.0),
        }
    }

    fn check_parents(&self, faults: &mut Faults) {
        for path in self.nodes.keys() {
            let Some(parent) = path.parent() else { continue };
            if !self.nodes.contains_key(&parent) {
                faults.push_at_node(path.as_str(), "", format!("parent {parent} does not exist"), "");
            }
        }
    }

    /// The nodes by path.
    pub fn nodes(&self) -> impl Iterator<Item = (&TreePath, &TreeNode)> {
        self.nodes.iter()
    }

    /// One node.
    pub fn node(&self, path: &TreePath) -> Option<&TreeNode> {
        self.nodes.get(path)
    }

    /// The kind of a node.
    pub fn kind(&self, path: &TreePath) -> Option<NodeKind> {
        NodeKind::parse(self.nodes.get(path)?.settings.text("kind")?)
    }

    /// The documents as text, for storage.
    pub fn documents(&self) -> BTreeMap<TreePath, String> {
        self.nodes.iter().map(|(path, node)| (path.clone(), node.text.clone())).collect()
    }

    /// The value of a key at a node and the ancestor that gave it.
    pub fn explain(&self, path: &TreePath, key: &str) -> Option<Origin> {
        let rule = find(TREE_RULES, key)?;
        let own = || self.nodes.get(path)?.settings.0.get(key).map(|value| (value, path.clone()));
        let inherited = || {
            let lineage = path.lineage();
            lineage.into_iter().rev().find_map(|ancestor| {
                let value = self.nodes.get(&ancestor)?.settings.0.get(key)?;
                Some((value, ancestor))
            })
        };
        let found = if rule.inherited { inherited() } else { own() };
        match found {
            Some((value, giver)) => Some(Origin { value: value.clone(), path: Some(giver) }),
            None => Some(Origin { value: default_of(rule.default?)?, path: None }),
        }
    }

    /// Every key in force at a node with its origin.
    pub fn explain_all(&self, path: &TreePath) -> BTreeMap<String, Origin> {
        let keys = TREE_RULES.iter().map(|rule| rule.key);
        keys.filter_map(|key| Some((key.to_owned(), self.explain(path, key)?))).collect()
    }

    /// The values in force at a node, defaults included.
    pub fn resolve_node(&self, path: &TreePath) -> Settings {
        let origins = self.explain_all(path);
        Settings(origins.into_iter().map(|(key, origin)| (key, origin.value)).collect())
    }
}

fn default_of(text: &str) -> Option<Setting> {
    let value: toml_edit::Value = text.parse().ok()?;
    match value {
        toml_edit::Value::String(text) => Some(Setting::Text(text.value().clone())),
        toml_edit::Value::Integer(number) => Some(Setting::Integer(*number.value())),
        toml_edit::Value::Float(number) => Some(Setting::Number(*number.value())),
        toml_edit::Value::Boolean(value) => Some(Setting::Boolean(*value.value())),
        toml_edit::Value::Array(_) => Some(Setting::List(Vec::new())),
        _ => None,
    }
}
