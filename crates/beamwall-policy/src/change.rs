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
        OtherBase(base: u64, held: u64) {
            display("the change starts from version {}, version {} is held", base, held)
        }
        /// The result is not the policy that the change was made from.
        DigestDiffers(version: u64) {
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
    routes: PartsChange<Route>,
    services: PartsChange<Service>,
    tenants: PartsChange<Tenant>,
    caller_limits: CallerLimits,
}

/// What differs between two lists of parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "T: Serialize + Deserialize<'de>", serialize = "T: Serialize"))]
struct PartsChange<T> {
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
            routes: PartsChange::between(&base.routes, &newest.routes),
            services: PartsChange::between(&base.services, &newest.services),
            tenants: PartsChange::between(&base.tenants, &newest.tenants),
            caller_limits: newest.caller_limits,
        }
    }

    /// The policy that it leads to.
    pub fn apply(&self, base: &TrafficPolicy) -> Result<TrafficPolicy, ChangeError> {
        if base.version != self.base {
            return Err(ChangeError::OtherBase(self.base, base.version));
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
            Err(ChangeError::DigestDiffers(self.version))
        }
    }
}

impl<T> PartsChange<T> {
    /// Equal parts may stand in a list more than once, so they are counted.
    fn between(base: &[Shared<T>], newest: &[Shared<T>]) -> Self {
        let mut held: HashMap<u64, usize> = HashMap::new();
        for part in base {
            *held.entry(part.fingerprint()).or_default() += 1;
        }
        let is_new = |part: &&Shared<T>| match held.get_mut(&part.fingerprint()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        };
        let new = newest.iter().filter(is_new).cloned().collect();
        let mut gone: Vec<u64> =
            held.into_iter().flat_map(|(part, count)| std::iter::repeat_n(part, count)).collect();
        gone.sort_unstable();
        Self { gone, new }
    }

    fn apply(&self, base: &[Shared<T>]) -> Vec<Shared<T>> {
        let mut gone: HashMap<u64, usize> = HashMap::new();
        for part in &self.gone {
            *gone.entry(*part).or_default() += 1;
        }
        let stays = |part: &&Shared<T>| match gone.get_mut(&part.fingerprint()) {
            Some(count) if *count > 0 => {
                *count -= 1;
                false
            }
            _ => true,
        };
        base.iter().filter(stays).chain(&self.new).cloned().collect()
    }
}

impl TrafficPolicy {
    /// A digest of the whole policy, whatever the order of its parts.
    pub fn digest(&self) -> u64 {
        let limits = Shared::new(self.caller_limits);
        let routes = self.routes.iter().map(Shared::fingerprint);
        let services = self.services.iter().map(Shared::fingerprint);
        let tenants = self.tenants.iter().map(Shared::fingerprint);
        let parts = routes.chain(services).chain(tenants).chain([limits.fingerprint(), self.version]);
        parts.fold(0, u64::wrapping_add)
    }

    /// The same policy, whose parts are those of `earlier` wherever they are equal.
    pub fn sharing_with(mut self, earlier: &Self) -> Self {
        share(&mut self.routes, &earlier.routes);
        share(&mut self.tenants, &earlier.tenants);
        self
    }
}

fn share<T: PartialEq>(parts: &mut [Shared<T>], earlier: &[Shared<T>]) {
    let by_fingerprint: HashMap<u64, &Shared<T>> =
        earlier.iter().map(|part| (part.fingerprint(), part)).collect();
    for part in parts {
        if let Some(same) = by_fingerprint.get(&part.fingerprint()).filter(|same| **same == part) {
            *part = (*same).clone();
        }
    }
}
