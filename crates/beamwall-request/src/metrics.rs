//! Metrics of requests: histograms by tenant and class with a bounded set of labels.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use beamwall_model::{Outcome, ServiceClass, TenantName};
use prometheus::{Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry};

/// Tenants with labels of their own; further ones share the label `other`.
const TENANT_LABEL_LIMIT: usize = 100;
const OTHER: &str = "other";

/// Upper bounds in seconds.
const LATENCY_BOUNDS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.51, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0];
const TOKEN_BOUNDS: &[f64] = &[0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.046, 0.06, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Metrics of requests.
#[derive(Debug)]
pub struct RequestMetrics {
    tenants: Mutex<HashSet<TenantName>>,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    queue_wait: HistogramVec,
    whole_request: HistogramVec,
    outcomes: IntCounterVec,
    /// Tokens computed again after a stream moved.
    pub recomputed_tokens: IntCounter,
    /// Streams that continued at another engine.
    pub migrations: IntCounter,
    /// Tokens or answers that came for an attempt that was over.
    pub late_answers: IntCounter,
    /// Claims written to the platform.
    pub claims: IntCounter,
    /// Writes that carried claims.
    pub claim_writes: IntCounter,
    /// Broken invariants by name.
    pub broken_invariants: IntCounterVec,
}

fn histograms(
    name: &str,
    help: &str,
    bounds: &[f64],
    registry: &Registry,
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let vector = HistogramVec::new(options, &["tenant", "class"])?;
    registry.register(Box::new(vector.clone()))?;
    Ok(vector)
}

fn counters(
    name: &str,
    help: &str,
    labels: &[&str],
    registry: &Registry,
) -> Result<IntCounterVec, prometheus::Error> {
    let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(vector.clone()))?;
    Ok(vector)
}

fn counter(name: &str, help: &str, registry: &Registry) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

impl RequestMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let latency = |name, help| histograms(name, help, LATENCY_BOUNDS, registry);
        Ok(Self {
            tenants: Mutex::default(),
            first_token: latency("beamwall_first_token_seconds", "time to the first token")?,
            between_tokens: histograms(
                "beamwall_between_tokens_seconds",
                "time between tokens",
                TOKEN_BOUNDS,
                registry,
            )?,
            queue_wait: latency("beamwall_queue_wait_seconds", "time waited for admission")?,
            whole_request: latency("beamwall_request_seconds", "whole request")?,
            outcomes: counters(
                "beamwall_requests_total",
                "requests by outcome",
                &["tenant", "class", "outcome"],
                registry,
            )?,
            recomputed_tokens: counter(
                "beamwall_recomputed_tokens_total",
                "tokens computed again",
                registry,
            )?,
            migrations: counter("beamwall_migrations_total", "streams moved to another engine", registry)?,
            late_answers: counter(
                "beamwall_late_answers_total",
                "answers for attempts that were over",
                registry,
            )?,
            claims: counter("beamwall_claims_total", "claims written to the platform", registry)?,
            claim_writes: counter(
                "beamwall_claim_writes_total",
                "platform writes that carried claims",
                registry,
            )?,
            broken_invariants: counters(
                "beamwall_broken_invariants_total",
                "invariants broken",
                &["invariant"],
                registry,
            )?,
        })
    }

    fn label<'a>(&self, tenant: &'a TenantName) -> &'a str {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        if tenants.contains(tenant) {
            return tenant.as_str();
        }
        if tenants.len() >= TENANT_LABEL_LIMIT {
            return OTHER;
        }
        tenants.insert(tenant.clone());
        tenant.as_str()
    }

    /// The histograms of one tenant and class, looked up once for each request.
    pub fn of(&self, tenant: &TenantName, class: ServiceClass) -> ClassMetrics {
        let labels = [self.label(tenant), class.as_str()];
        ClassMetrics {
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
            queue_wait: self.queue_wait.with_label_values(&labels),
            whole_request: self.whole_request.with_label_values(&labels),
        }
    }

    /// Counts the end of a request.
    pub fn count_outcome(&self, tenant: &TenantName, class: ServiceClass, outcome: Outcome) {
        let labels = [self.label(tenant), class.as_str(), outcome.as_str()];
        self.outcomes.with_label_values(&labels).inc();
    }

    /// Counts a broken invariant, logs it, and panics in test builds.
    pub fn break_invariant(&self, invariant: &'static str, detail: String) {
        self.broken_invariants.with_label_values(&[invariant]).inc();
        let event =
            beamwall_events::internal_events::InvariantBroken { invariant: invariant.to_owned(), detail };
        beamwall_events::emit(&event);
        debug_assert!(false, "invariant broken: {invariant}: {}", event.detail);
    }
}

/// The histograms of one tenant and class.
#[derive(Debug, Clone)]
pub struct ClassMetrics {
    first_token: Histogram,
    between_tokens: Histogram,
    queue_wait: Histogram,
    whole_request: Histogram,
}

impl ClassMetrics {
    /// Records the time to the first token.
    pub fn first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn between_tokens(&self, time: Duration) {
        self.between_tokens.observe(time.as_secs_f64());
    }

    /// Records the time waited for admission.
    pub fn queue_wait(&self, time: Duration) {
        self.queue_wait.observe(time.as_secs_f64());
    }

    /// Records a whole request.
    pub fn whole_request(&self, time: Duration) {
        self.whole_request.observe(time.as_secs_f64());
    }
}
