//! What differs between two versions of a policy.
//!
//! A version with thousands of routes mostly differs from the one before in a few. A node that holds an
//! earlier version is told the parts that are gone, by their fingerprints, and those that are new, whole. The
//! digest of the result tells whether both sides arrived at the same policy.

use std::collections::HashMap;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, Service, Shared, Tenant, TrafficPolicy};

quick_error! {
    /// Why a change cannot be applied.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ChangeError {
        /// It starts from another version.
        BaseMismatch(base: u64, held: u64) {
            display("the change starts from version {}, version {} is held", base, held)
        }
        /// The result is not the policy that the change was made from.
        DigestMismatch(version: u64) {
            display("the change to version {} gave another policy than it was made from", version)
        }
    }
}

/// What differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyChange {
    /// Version that it starts from; 0 for the empty policy.
    pub base: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Digest of that version ([`TrafficPolicy::digest`]).
    pub digest: u64,
    routes: ListChange<Route>,
    services: ListChange<Service>,
    tenants: ListChange<Tenant>,
    caller_limits: CallerLimits,
}

/// What differs between two lists of parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Serialize + Deserialize<'de>", serialize = "T: Serialize"))]
struct ListChange<T> {
    /// Fingerprints of parts that are gone.
    gone: Vec<u64>,
    /// Parts that are new or changed.
    new: Vec<Shared<T>>,
}

impl PolicyChange {
    /// What leads from `base` to `newest`.
    pub fn between(base: &TrafficPolicy, newest: &TrafficPolicy) -> Self {
        Self {
            base: base.version,
            version: newest.version,
            digest: newest.digest(),
            routes: ListChange::between(&base.routes, &newest.routes),
            services: ListChange::between(&base.services, &newest.services),
            tenants: ListChange::between(&base.tenants, &newest.tenants),
            caller_limits: newest.caller_limits,
        }
    }

    /// The policy that it leads to.
    pub fn apply(&self, base: &TrafficPolicy) -> Result<TrafficPolicy, ChangeError> {
        if base.version != self.base {
            return Err(ChangeError::BaseMismatch(self.base, base.version));
        }
        let policy = TrafficPolicy {
            version: self.version,
            routes: self.routes.apply(&base.routes),
            services: self.services.apply(&base.services),
            tenants: self.tenants.apply(&base.tenants),
            caller_limits: self.caller_limits,
        };
        if policy.digest() == self.digest {
            Ok(policy)
        } else {
            Err(ChangeError::DigestMismatch(self.version))
        }
    }
}

impl<T> ListChange<T> {
    /// Equal parts may stand in a list more than once, so they are counted.
    fn between(base: &[Shared<T>], newest: &[Shared<T>]) -> Self {
        let mut base_counts: HashMap<u64, usize> = HashMap::new();
        for item in base {
            *base_counts.entry(item.fingerprint()).or_default() += 1;
        }
        let is_new = |item: &&Shared<T>| match base_counts.get_mut(&item.fingerprint()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        };
        let new = newest.iter().filter(is_new).cloned().collect();
        let mut gone: Vec<u64> =
            base_counts.into_iter().flat_map(|(item, count)| std::iter::repeat_n(item, count)).collect();
        gone.sort_unstable();
        Self { gone, new }
    }

    fn apply(&self, base: &[Shared<T>]) -> Vec<Shared<T>> {
        let mut removed: HashMap<u64, usize> = HashMap::new();
        for item in &self.gone {
            *removed.entry(*item).or_default() += 1;
        }
        let is_kept = |item: &&Shared<T>| match removed.get_mut(&item.fingerprint()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        };
        base.iter().filter(is_kept).chain(&self.new).cloned().collect()
    }
}

impl TrafficPolicy {
    /// A digest of the whole policy, whatever the order of its parts.
    pub fn digest(&self) -> u64 {
        let limits = Shared::new(self.caller_limits);
        let routes = self.routes.iter().map(Shared::fingerprint);
        let services = self.services.iter().map(Shared::fingerprint);
        let tenants = self.tenants.iter().map(Shared::fingerprint);
        let items = routes.chain(services).chain(tenants).chain([limits.fingerprint(), self.version]);
        items.fold(0, u64::wrapping_add)
    }

    /// The same policy, whose parts are those of `earlier` wherever they are equal.
    pub fn sharing_with(mut self, earlier: &Self) -> Self {
        reuse_equal(&mut self.routes, &earlier.routes);
        reuse_equal(&mut self.tenants, &earlier.tenants);
        self
    }
}

fn reuse_equal<T: PartialEq>(items: &mut [Shared<T>], earlier: &[Shared<T>]) {
    let by_fingerprint: HashMap<u64, &Shared<T>> =
        earlier.iter().map(|item| (item.fingerprint(), item)).collect();
    for item in items {
        if let Some(equal) = by_fingerprint.get(&item.fingerprint()).filter(|equal| **equal == item) {
            *item = (*equal).clone();
        }
    }
}
