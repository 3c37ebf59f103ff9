//! Which operator calls, and which subtree the key is bound to.

use beamwall_config::{OperatorKey, TreePath};
use hyper::{HeaderMap, StatusCode};

use crate::callers::access::bearer_key;
use crate::callers::api_error::ApiError;
use crate::shared::Shared;

fn forbidden(message: String) -> ApiError {
    ApiError::refused(StatusCode::FORBIDDEN, "forbidden", message)
}

/// The operator whose key the request carries.
pub fn operator(shared: &Shared, headers: &HeaderMap) -> Result<OperatorKey, ApiError> {
    let unauthorized = |message: &str| ApiError::refused(StatusCode::UNAUTHORIZED, "unauthorized", message);
    let key = bearer_key(headers).ok_or_else(|| unauthorized("an operator key is required"))?;
    let tree = shared.tree.load();
    let found = tree.resolved.operator_keys.owner(key).or_else(|| shared.bootstrap_operators.owner(key));
    found.cloned().ok_or_else(|| unauthorized("the operator key is not known"))
}

/// Whether an operator may edit a node.
pub fn may_edit(operator: &OperatorKey, path: &TreePath) -> Result<(), ApiError> {
    if !operator.may_edit {
        return Err(forbidden("the operator key may only view".to_owned()));
    }
    if !operator.subtree.contains(path) {
        return Err(forbidden(format!("the operator key is bound to {}", operator.subtree)));
    }
    Ok(())
}

/// Whether an operator may see a node.
pub fn may_view(operator: &OperatorKey, path: &TreePath) -> Result<(), ApiError> {
    if operator.subtree.contains(path) || path.contains(&operator.subtree) {
        return Ok(());
    }
    Err(forbidden(format!("the operator key is bound to {}", operator.subtree)))
}

/// Whether an operator may act on a whole node process.
pub fn whole_tree(operator: &OperatorKey) -> Result<(), ApiError> {
    may_edit(operator, &TreePath::root())
}
