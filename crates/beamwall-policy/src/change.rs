//! Differences between two versions of a policy.
//!
//! Two successive versions with thousands of routes usually differ in a few of them. A node that has an
//! earlier version therefore receives the fingerprints of removed items and the full content of new ones. The
//! digest of the result shows whether sender and receiver have the same policy.

use std::collections::HashMap;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, Service, Shared, Tenant, TrafficPolicy};

quick_error! {
    /// Why a change could not be applied.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ChangeError {
        /// The change starts from another version than the one it was applied to.
        BaseMismatch(base: u64, held: u64) {
            display("the change starts from version {}, version {} is held", base, held)
        }
        /// The digest of the result differs from that of the policy that the change leads to.
        DigestMismatch(version: u64) {
            display("the change to version {} gave another policy than it was made from", version)
        }
    }
}

/// Differences between two versions of a policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyChange {
    /// Version that the change starts from; 0 for the empty policy.
    pub base: u64,
    /// Version that the change leads to.
    pub version: u64,
    /// Digest of the version that the change leads to ([`TrafficPolicy::digest`]).
    pub digest: u64,
    routes: ListChange<Route>,
    services: ListChange<Service>,
    tenants: ListChange<Tenant>,
    caller_limits: CallerLimits,
}

/// Differences between two lists of items.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Serialize + Deserialize<'de>", serialize = "T: Serialize"))]
struct ListChange<T> {
    /// Fingerprints of removed items.
    gone: Vec<u64>,
    /// Items that are new or changed.
    new: Vec<Shared<T>>,
}

impl PolicyChange {
    /// Computes the change from `base` to `newest`.
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

    /// Applies the change to `base` and verifies the digest of the result.
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
    /// Computes the differences. A list may contain equal items, so occurrences are counted.
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
    /// Digest of the whole policy, independent of the order of its items.
    pub fn digest(&self) -> u64 {
        let limits = Shared::new(self.caller_limits);
        let routes = self.routes.iter().map(Shared::fingerprint);
        let services = self.services.iter().map(Shared::fingerprint);
        let tenants = self.tenants.iter().map(Shared::fingerprint);
        let items = routes.chain(services).chain(tenants).chain([limits.fingerprint(), self.version]);
        items.fold(0, u64::wrapping_add)
    }

    /// Replaces routes and tenants that are equal to those of `earlier` by them, so that both versions share
    /// the memory.
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
