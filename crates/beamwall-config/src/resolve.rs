//! The resolved tree: typed values after inheritance, the same on every node for one revision.

use std::collections::{BTreeMap, HashMap};

use beamwall_model::{ServiceClass, ServiceName, TenantName, ZoneName};
use xxhash_rust::xxh3::Xxh3;

use crate::document::Settings;
use crate::fault::Faults;
use crate::keys::{KeyDigest, KeyIndex};
use crate::path::TreePath;
use crate::tree::{ConfigTree, NodeKind};

/// Model engine pool or plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceType {
    /// Engines that generate tokens; every request is repeatable.
    Model,
    /// Application back ends.
    Plain,
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Session affinity where asked for, else the lowest predicted time to the first token.
    PredictedWait,
    /// The fewest running and waiting requests: a baseline.
    LeastRequests,
    /// Each in turn: a baseline.
    RoundRobin,
}

impl RoutingPolicy {
    fn parse(text: Option<&str>) -> Self {
        match text {
            Some("least-requests") => Self::LeastRequests,
            Some("round-robin") => Self::RoundRobin,
            _ => Self::PredictedWait,
        }
    }
}

/// A service as resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The last segment of the path.
    pub name: ServiceName,
    /// The path in the tree.
    pub path: TreePath,
    /// Model engine pool or plain service.
    pub service_type: ServiceType,
    /// The model name callers ask for; the service's name when the tree gives none.
    pub model: String,
    /// The model version to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// Whether a call may be sent again.
    pub repeatable: bool,
    /// Whether back ends refuse orders of an older epoch.
    pub orders_checked: bool,
    /// Whether a call that may not be repeated must carry an idempotency key.
    pub key_required: bool,
    /// Whether keyed calls are served while claims cannot be written.
    pub serve_when_platform_away: bool,
    /// Longest whole request.
    pub request_timeout_ms: u64,
    /// Longest wait for an engine's first output before another is tried.
    pub first_token_timeout_ms: u64,
    /// Longest silence of a started stream before another engine is tried.
    pub stall_timeout_ms: u64,
    /// Most tokens one answer may have.
    pub max_tokens: u32,
    /// How engines are chosen.
    pub policy: RoutingPolicy,
    /// Whether a session stays on its engine.
    pub affinity: bool,
    /// Load over the average at which a session leaves its engine.
    pub max_load_skew: f64,
    /// Retries allowed, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// Attempts of one repeatable request.
    pub max_attempts: u32,
    /// Waiting requests on one node.
    pub max_waiting: usize,
    /// Running and waiting requests sent to one engine.
    pub max_engine_requests: usize,
}

/// A tenant as resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The last segment of the path.
    pub name: TenantName,
    /// The path in the tree.
    pub path: TreePath,
    /// Class of requests that name none.
    pub class: ServiceClass,
    /// Share of engine work under contention.
    pub weight: u32,
    /// Token limit over all nodes.
    pub tokens_per_second: u64,
    /// Plain-call limit over all nodes.
    pub calls_per_second: u64,
    /// Open requests on one node.
    pub max_concurrent: usize,
    /// Services the tenant may call.
    pub services: Vec<ServiceName>,
}

/// A placement as resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The path in the tree.
    pub path: TreePath,
    /// The service placed.
    pub service: ServiceName,
    /// Zones that hold replicas.
    pub zones: Vec<ZoneName>,
    /// Replicas needed after the largest zone is lost.
    pub replicas: usize,
    /// Replicas on machines that are not reclaimable.
    pub minimum_on_demand: usize,
    /// Machine classes allowed; empty for all.
    pub machine_classes: Vec<String>,
}

/// An operator key with its subtree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// The subtree the key is bound to.
    pub subtree: TreePath,
    /// Whether the key may edit.
    pub may_edit: bool,
}

/// Everything the tree says, ready for use on the request path.
#[derive(Debug, Clone, Default)]
pub struct ResolvedTree {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Tenant>,
    /// Placements in order of path.
    pub placements: Vec<Placement>,
    /// Owners of tenant keys.
    pub tenant_keys: KeyIndex<TenantName>,
    /// Operator keys.
    pub operator_keys: KeyIndex<OperatorKey>,
    /// Service names by model name.
    pub models: HashMap<String, ServiceName>,
    /// Digest of every resolved value: equal on all nodes that hold the same revision.
    pub digest: u64,
}

impl ResolvedTree {
    /// Resolves a tree, adding every fault that concerns more than one document.
    pub fn resolve(tree: &ConfigTree, faults: &mut Faults) -> Self {
        let mut resolved = Self::default();
        let mut hasher = Xxh3::new();
        for (path, node) in tree.nodes() {
            let settings = tree.resolve_node(path);
            hash_settings(&mut hasher, path, &settings);
            resolved.add_operators(path, &node.settings);
            match tree.kind(path) {
                Some(NodeKind::Service) => resolved.add_service(path, &settings, faults),
                Some(NodeKind::Tenant) => resolved.add_tenant(path, &settings, faults),
                Some(NodeKind::Placement) => resolved.add_placement(path, &settings, faults),
                Some(NodeKind::Group) | None => {}
            }
        }
        resolved.digest = hasher.digest();
        resolved.check_references(faults);
        resolved
    }

    /// The service that serves a model name.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        self.services.get(self.models.get(model)?)
    }

    fn add_service(&mut self, path: &TreePath, settings: &Settings, faults: &mut Faults) {
        let service = read_service(path, settings);
        if service.service_type == ServiceType::Model {
            let taken = self.models.insert(service.model.clone(), service.name.clone());
            if let Some(other) = taken {
                let problem = format!("model {:?} is already served by {other}", service.model);
                faults.push_at_node(path.as_str(), "service.model", problem, "a model name used once");
            }
        }
        if let Some(other) = self.services.insert(service.name.clone(), service) {
            let problem = format!("service name is already used by {}", other.path);
            faults.push_at_node(path.as_str(), "kind", problem, "a service name used once");
        }
    }

    fn add_tenant(&mut self, path: &TreePath, settings: &Settings, faults: &mut Faults) {
        let tenant = read_tenant(path, settings);
        for text in settings.list("tenant.key_digests") {
            let Some(digest) = KeyDigest::from_hex(text) else { continue };
            self.tenant_keys.insert(digest, tenant.name.clone());
        }
        if let Some(other) = self.tenants.insert(tenant.name.clone(), tenant) {
            let problem = format!("tenant name is already used by {}", other.path);
            faults.push_at_node(path.as_str(), "kind", problem, "a tenant name used once");
        }
    }

    fn add_placement(&mut self, path: &TreePath, settings: &Settings, faults: &mut Faults) {
        let Some(service) = settings.text("placement.service") else {
            faults.push_at_node(
                path.as_str(),
                "placement.service",
                "key is missing".to_owned(),
                "path of a service",
            );
            return;
        };
        let name = service.rsplit('/').next().unwrap_or(service);
        self.placements.push(Placement {
            path: path.clone(),
            service: ServiceName::new(name),
            zones: settings.list("placement.zones").iter().map(ZoneName::new).collect(),
            replicas: count(settings, "placement.replicas"),
            minimum_on_demand: count(settings, "placement.minimum_on_demand"),
            machine_classes: settings.list("placement.machine_classes").to_vec(),
        });
    }

    fn add_operators(&mut self, path: &TreePath, settings: &Settings) {
        let may_edit = settings.text("operator.role") != Some("view");
        for text in settings.list("operator.key_digests") {
            let Some(digest) = KeyDigest::from_hex(text) else { continue };
            self.operator_keys.insert(digest, OperatorKey { subtree: path.clone(), may_edit });
        }
    }

    fn check_references(&self, faults: &mut Faults) {
        for tenant in self.tenants.values() {
            for service in &tenant.services {
                if !self.services.contains_key(service) {
                    let problem = format!("service {service} does not exist");
                    faults.push_at_node(
                        tenant.path.as_str(),
                        "tenant.services",
                        problem,
                        "names of services in the tree",
                    );
                }
            }
        }
        for placement in &self.placements {
            if !self.services.contains_key(&placement.service) {
                let problem = format!("service {} does not exist", placement.service);
                faults.push_at_node(
                    placement.path.as_str(),
                    "placement.service",
                    problem,
                    "path of a service",
                );
            }
            if placement.replicas > 0 && placement.zones.is_empty() {
                let problem = "replicas are asked for but no zone is named".to_owned();
                faults.push_at_node(placement.path.as_str(), "placement.zones", problem, "at least one zone");
            }
            if placement.minimum_on_demand > placement.replicas {
                let problem = "is larger than placement.replicas".to_owned();
                faults.push_at_node(
                    placement.path.as_str(),
                    "placement.minimum_on_demand",
                    problem,
                    "at most placement.replicas",
                );
            }
        }
    }
}

fn hash_settings(hasher: &mut Xxh3, path: &TreePath, settings: &Settings) {
    hasher.update(path.as_str().as_bytes());
    for (key, value) in &settings.0 {
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        hasher.update(&[1]);
        hasher.update(value.to_string().as_bytes());
    }
    hasher.update(&[2]);
}

fn count(settings: &Settings, key: &str) -> usize {
    settings.integer(key).and_then(|number| usize::try_from(number).ok()).unwrap_or(0)
}

fn read_service(path: &TreePath, settings: &Settings) -> Service {
    let model = settings.text("service.type") != Some("plain");
    Service {
        name: ServiceName::new(path.name()),
        path: path.clone(),
        service_type: if model { ServiceType::Model } else { ServiceType::Plain },
        model: settings.text("service.model").unwrap_or(path.name()).to_owned(),
        version: settings.text("service.version").unwrap_or("1").to_owned(),
        adapters: settings.list("service.adapters").to_vec(),
        repeatable: model || settings.boolean("service.repeatable").unwrap_or(false),
        orders_checked: settings.boolean("service.orders_checked").unwrap_or(false),
        key_required: settings.text("service.idempotency_key") == Some("required"),
        serve_when_platform_away: settings.text("service.when_platform_away") == Some("serve"),
        request_timeout_ms: count(settings, "service.request_timeout_ms") as u64,
        first_token_timeout_ms: count(settings, "service.first_token_timeout_ms") as u64,
        stall_timeout_ms: count(settings, "service.stall_timeout_ms") as u64,
        max_tokens: count(settings, "service.max_tokens") as u32,
        policy: RoutingPolicy::parse(settings.text("routing.policy")),
        affinity: settings.boolean("routing.affinity").unwrap_or(true),
        max_load_skew: settings.number("routing.max_load_skew").unwrap_or(1.5),
        retry_budget_percent: count(settings, "retry.budget_percent") as u32,
        max_attempts: count(settings, "retry.max_attempts") as u32,
        max_waiting: count(settings, "queue.max_waiting"),
        max_engine_requests: count(settings, "queue.max_engine_requests"),
    }
}

fn read_tenant(path: &TreePath, settings: &Settings) -> Tenant {
    let class = settings.text("tenant.class").and_then(|text| text.parse().ok());
    Tenant {
        name: TenantName::new(path.name()),
        path: path.clone(),
        class: class.unwrap_or(ServiceClass::Standard),
        weight: count(settings, "tenant.weight") as u32,
        tokens_per_second: count(settings, "tenant.tokens_per_second") as u64,
        calls_per_second: count(settings, "tenant.calls_per_second") as u64,
        max_concurrent: count(settings, "tenant.max_concurrent"),
        services: settings.list("tenant.services").iter().map(ServiceName::new).collect(),
    }
}
