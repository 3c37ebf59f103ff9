//! The settings tree: read, validate, edit, history.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use beamwall_config::{Change, Edit, Faults, OperatorKey, TreePath};
use beamwall_events::emit;
use beamwall_events::internal_events::{EditCommitted, EditConflict, EditRefused};
use beamwall_http::{Body, json_response};
use beamwall_model::Outcome;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::actors::tree::ActivateChange;
use crate::callers::api_error::ApiError;
use crate::operators::access::{may_edit, may_view};
use crate::shared::{ActiveTree, Shared};
use crate::tasks::tree_spread;
use crate::tasks::tree_watch::load_head;
use crate::tree_store::{Head, Manifest, TreeStoreError, content_digest};

/// Revisions shown when no number is given.
const DEFAULT_HISTORY: usize = 20;
/// Revisions shown at most.
const HISTORY_LIMIT: usize = 200;

impl From<TreeStoreError> for ApiError {
    fn from(error: TreeStoreError) -> Self {
        let (status, kind, outcome) = match &error {
            TreeStoreError::Conflict(_) => (StatusCode::CONFLICT, "revision_conflict", Outcome::NotRun),
            TreeStoreError::Undecided(_) => (StatusCode::GATEWAY_TIMEOUT, "edit_undecided", Outcome::Unknown),
            TreeStoreError::Unavailable(_) => {
                (StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable", Outcome::NotRun)
            }
            TreeStoreError::Corrupt(_) => {
                (StatusCode::INTERNAL_SERVER_ERROR, "stored_settings_unreadable", Outcome::NotRun)
            }
        };
        Self::refused(status, kind, error.to_string()).outcome(outcome)
    }
}

/// Shows the documents at and below a path.
pub fn get(shared: &Shared, operator: &OperatorKey, path: Option<&str>) -> Result<Response<Body>, ApiError> {
    let path = parse_path(path.unwrap_or("/"))?;
    may_view(operator, &path)?;
    let active = shared.tree.load();
    let documents: BTreeMap<String, String> = active
        .tree
        .documents()
        .into_iter()
        .filter(|(node, _)| path.contains(node) && may_view(operator, node).is_ok())
        .map(|(node, text)| (node.to_string(), text))
        .collect();
    Ok(json_response(StatusCode::OK, &json!({"revision": active.revision, "documents": documents})))
}

/// Reads a path of the settings tree.
pub fn parse_path(text: &str) -> Result<TreePath, ApiError> {
    text.parse().map_err(|error: beamwall_config::path::PathError| ApiError::bad_request(error.to_string()))
}

fn parse_edit(body: &Bytes) -> Result<Edit, ApiError> {
    serde_json::from_slice(body)
        .map_err(|error| ApiError::bad_request(format!("an edit is expected: {error}")))
}

fn faults_response(faults: &Faults) -> Response<Body> {
    let body = json!({"error": {"type": "invalid_settings", "outcome": "not-run", "faults": faults.0}});
    json_response(StatusCode::UNPROCESSABLE_ENTITY, &body)
}

/// Checks an edit against the whole resulting tree without committing it.
pub fn validate(shared: &Shared, body: &Bytes) -> Result<Response<Body>, ApiError> {
    let edit = parse_edit(body)?;
    let active = shared.tree.load();
    Ok(match active.tree.with_changes(&edit.changes) {
        Ok(_) => json_response(StatusCode::OK, &json!({"valid": true, "revision": active.revision})),
        Err(faults) => faults_response(&faults),
    })
}

/// Commits an edit.
pub async fn edit(
    shared: &Arc<Shared>,
    operator: &OperatorKey,
    body: &Bytes,
) -> Result<Response<Body>, ApiError> {
    let edit = parse_edit(body)?;
    for change in &edit.changes {
        may_edit(operator, &change.path)?;
    }
    let head = shared.tree_store.head().await?;
    if head.1.revision > shared.tree.load().revision {
        load_head(shared).await?;
    }
    let active = shared.tree.load_full();
    if head.1.revision != edit.base_revision || active.revision != edit.base_revision {
        return Ok(conflict(operator, &edit, &active, head.1.revision));
    }
    if let Err(faults) = active.tree.with_changes(&edit.changes) {
        emit(&EditRefused { operator: operator.subtree.to_string(), reason: faults.to_string() });
        return Ok(faults_response(&faults));
    }
    match commit(shared, operator, &edit, &active, &head).await {
        Ok(revision) => {
            announce(shared, operator, edit, revision).await;
            Ok(json_response(StatusCode::OK, &json!({"revision": revision})))
        }
        Err(TreeStoreError::Conflict(current)) => {
            let _ = load_head(shared).await;
            Ok(conflict(operator, &edit, &shared.tree.load_full(), current))
        }
        Err(error) => Err(error.into()),
    }
}

async fn commit(
    shared: &Shared,
    operator: &OperatorKey,
    edit: &Edit,
    active: &ActiveTree,
    head: &(beamwall_store::Version, Head),
) -> Result<u64, TreeStoreError> {
    let mut digests: BTreeMap<TreePath, String> =
        active.tree.documents().into_iter().map(|(path, text)| (path, content_digest(&text))).collect();
    let mut contents = Vec::new();
    for change in &edit.changes {
        match &change.text {
            Some(text) => {
                digests.insert(change.path.clone(), content_digest(text));
                contents.push(text.clone());
            }
            None => {
                digests.remove(&change.path);
            }
        }
    }
    let manifest = Manifest {
        revision: edit.base_revision + 1,
        previous: head.1.edit.clone(),
        operator: operator.subtree.to_string(),
        made: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs()),
        changed: edit.changes.iter().map(|change| change.path.clone()).collect(),
        documents: digests,
    };
    let id = shared.dispatcher.identifiers.request();
    let deadline = Instant::now() + shared.control_limit() * 3;
    shared.tree_store.commit(head, id.as_str(), &manifest, &contents, deadline).await
}

/// Activates a committed edit here and pushes it to the peers that this node sends to.
async fn announce(shared: &Arc<Shared>, operator: &OperatorKey, edit: Edit, revision: u64) {
    let paths: Vec<String> = edit.changes.iter().map(|change| change.path.to_string()).collect();
    emit(&EditCommitted {
        revision: revision.to_string(),
        operator: operator.subtree.to_string(),
        paths: paths.join(" "),
    });
    let activate = ActivateChange {
        base_revision: edit.base_revision,
        revision,
        changes: edit.changes,
        source: "operator".to_owned(),
    };
    let _ = shared.tree_actor.ask(activate).await;
    shared.note_revision(revision);
    tree_spread::push(shared);
}

/// The answer to an edit that lost a race: the revision in force and how it differs at the paths
/// that the edit concerns.
fn conflict(operator: &OperatorKey, edit: &Edit, active: &ActiveTree, current: u64) -> Response<Body> {
    emit(&EditConflict {
        operator: operator.subtree.to_string(),
        base_revision: edit.base_revision.to_string(),
        current_revision: current.to_string(),
    });
    let current_text = |change: &Change| {
        let text = active.tree.node(&change.path).map(|node| node.text.clone());
        json!({"path": change.path.as_str(), "current": text, "proposed": change.text})
    };
    let difference: Vec<Value> = edit.changes.iter().map(current_text).collect();
    let body = json!({"error": {
        "type": "revision_conflict",
        "message": format!("the edit is based on revision {}, in force is {current}", edit.base_revision),
        "outcome": "not-run",
        "current_revision": current,
        "difference": difference,
    }});
    json_response(StatusCode::CONFLICT, &body)
}

/// The last revisions, newest first.
pub async fn history(shared: &Shared, limit: Option<usize>) -> Result<Response<Body>, ApiError> {
    let limit = limit.unwrap_or(DEFAULT_HISTORY).min(HISTORY_LIMIT);
    let (_, head) = shared.tree_store.head().await?;
    let mut edit = head.edit;
    let mut revisions = Vec::new();
    while !edit.is_empty() && revisions.len() < limit {
        let manifest = shared.tree_store.manifest(&edit).await?;
        revisions.push(json!({
            "revision": manifest.revision,
            "operator": manifest.operator,
            "made": manifest.made,
            "changed": manifest.changed,
        }));
        edit = manifest.previous;
    }
    Ok(json_response(StatusCode::OK, &json!({"history": revisions})))
}
