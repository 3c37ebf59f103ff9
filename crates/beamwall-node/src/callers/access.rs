//! Who calls, and whether the tenant may use a service.

use std::sync::Arc;

use beamwall_config::{Service, Tenant};
use beamwall_model::TenantName;
use beamwall_routing::tenant_limit::Work;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, StatusCode};

use crate::callers::api_error::ApiError;
use crate::shared::{ActiveTree, Shared};

/// The bearer key of a request.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// The tenant whose key the request carries.
pub fn tenant<'a>(tree: &'a ActiveTree, headers: &HeaderMap) -> Result<&'a Tenant, ApiError> {
    let unauthorized =
        |message: &str| ApiError::refused(StatusCode::UNAUTHORIZED, "unauthorized", message.to_owned());
    let key = bearer_key(headers).ok_or_else(|| unauthorized("a bearer key is required"))?;
    let name =
        tree.resolved.tenant_keys.owner(key).ok_or_else(|| unauthorized("the bearer key is not known"))?;
    tree.resolved.tenants.get(name).ok_or_else(|| unauthorized("the tenant is gone"))
}

/// Whether a tenant may use a service.
pub fn check_service(tenant: &Tenant, service: &Service) -> Result<(), ApiError> {
    if tenant.services.contains(&service.name) {
        return Ok(());
    }
    let message = format!("tenant {} may not use {}", tenant.name, service.name);
    Err(ApiError::refused(StatusCode::FORBIDDEN, "forbidden", message))
}

/// Work taken from a tenant's limit; the request is closed when this is dropped.
pub struct OpenWork {
    shared: Arc<Shared>,
    tenant: TenantName,
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.shared.limits.close(&self.tenant);
    }
}

/// Takes work from a tenant's limit.
pub fn open_work(shared: &Arc<Shared>, tenant: &Tenant, work: Work) -> Result<OpenWork, ApiError> {
    shared.limits.open(tenant, work)?;
    Ok(OpenWork { shared: shared.clone(), tenant: tenant.name.clone() })
}
