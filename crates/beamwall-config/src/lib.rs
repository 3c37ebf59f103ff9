//! The settings tree, its resolution and the checked process settings.
//!
//! Two kinds of TOML text are read here: the settings of one process, and the documents of the
//! settings tree that all nodes share. Both are checked against a table of key rules, so every
//! fault is reported at once with its line, the key and what is allowed.

pub mod document;
pub mod edit;
pub mod fault;
pub mod gateway;
pub mod keys;
pub mod path;
pub mod process;
pub mod resolve;
pub mod rule;
pub mod tree;
pub mod tree_rules;

pub use document::{Setting, Settings};
pub use edit::{Change, Edit};
pub use fault::{Fault, Faults};
pub use gateway::GatewaySettings;
pub use keys::{KeyDigest, KeyIndex};
pub use path::TreePath;
pub use process::ProcessSettings;
pub use resolve::{OperatorKey, Placement, ResolvedTree, RoutingPolicy, Service, ServiceType, Tenant};
pub use tree::{ConfigTree, NodeKind};
