//! Groups of engines, each with its own placement node.
//!
//! A single node can place only a limited number of requests, and if several nodes place at the same engines,
//! none of them sees what the others placed a moment ago. The engines of a service are therefore divided into
//! groups by hash. Each group has its own placement node, which is the only one to place there. A prompt goes
//! to the group preferred by the hash of its last shared part, so that its prefix is cached in one group and
//! prefilled there once. If that group can't start the request soon, the next group is queried.
//!
//! Example load: 160 engines that spend 45 % of their time on prefill. With five nodes that each place at all
//! engines, 10 % of the prompts wait 292 ms or longer; with three groups, none does
//! (tests/placement_groups.rs).

use std::sync::Arc;

use beamwall_model::{BackendId, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Backend;
use crate::ports::Prompt;

/// Mean number of engines per group. A placement compares all engines of its group, so this bounds the time
/// of a placement; in a smaller group, fewer engines are free at any time.
const ENGINES_PER_GROUP: usize = 64;
/// Multiplier of the linear congruential generator in the jump consistent hash, from its paper.
const JUMP_MULTIPLIER: u64 = 2_862_933_555_777_941_757;
/// Number of low bits dropped from a generated number, from the paper.
const JUMP_SHIFT: u32 = 33;
/// Range of the remaining bits, from the paper.
const JUMP_RANGE: f64 = (1_u64 << 31) as f64;

/// One of the groups of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EngineGroup {
    /// Index of the group, from 0.
    pub number: u32,
    /// Number of groups, at least 1.
    pub count: u32,
}

impl EngineGroup {
    /// The group of all engines.
    pub const WHOLE: Self = Self { number: 0, count: 1 };

    /// Whether an engine belongs to the group. All nodes compute the same result, and few engines move when
    /// the number of groups changes by one.
    pub fn contains_engine(self, backend: &BackendId) -> bool {
        self.count <= 1 || group_of(backend, self.count) == self.number
    }
}

/// The group of an engine among `count` groups, by jump consistent hash (Lamping and Veach, 2014). The number
/// of steps is logarithmic in the number of groups; rendezvous hashing, which compares a hash for each group,
/// took 3.5 ms to divide 3,000 engines.
fn group_of(backend: &BackendId, count: u32) -> u32 {
    let mut hash = xxh3_64(backend.as_str().as_bytes());
    let mut group = 0;
    let mut next = 0.0;
    while next < f64::from(count) {
        group = next as u32;
        hash = hash.wrapping_mul(JUMP_MULTIPLIER).wrapping_add(1);
        next = (f64::from(group) + 1.0) * (JUMP_RANGE / ((hash >> JUMP_SHIFT) + 1) as f64);
    }
    group
}

/// One service's engines that accept requests, by group. Built once per version of the list of back ends, so
/// that a request finds its group's engines without scanning all engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineGroups {
    groups: Vec<Vec<Arc<Backend>>>,
}

impl EngineGroups {
    /// Divides the engines of one service.
    pub fn new(engines: Vec<Arc<Backend>>) -> Self {
        let count = engines.len().div_ceil(ENGINES_PER_GROUP).max(1);
        let mut groups = vec![Vec::new(); count];
        for engine in engines {
            let group = if count == 1 { 0 } else { group_of(&engine.id, count as u32) };
            groups[group as usize].push(engine);
        }
        Self { groups }
    }

    /// The group of an engine.
    pub fn group_of(&self, backend: &BackendId) -> EngineGroup {
        let count = self.groups.len() as u32;
        EngineGroup { number: if count == 1 { 0 } else { group_of(backend, count) }, count }
    }

    /// Whether there is more than one group.
    pub fn is_divided(&self) -> bool {
        self.groups.len() > 1
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<Backend>> {
        self.groups.iter().flatten()
    }

    /// The engines of one group. For a group of another division, as used by a node that knows a different
    /// set of engines, all engines are scanned.
    pub fn engines_of(&self, group: EngineGroup) -> Box<dyn Iterator<Item = &Arc<Backend>> + '_> {
        match self.groups.get(group.number as usize) {
            Some(engines) if group.count as usize == self.groups.len() => Box::new(engines.iter()),
            _ => Box::new(self.engines().filter(move |engine| group.contains_engine(&engine.id))),
        }
    }

    /// The groups in the order in which they are queried for a prompt. Each group is first for a share of the
    /// prompts proportional to its number of engines. Prompts with the same shared prefix have the same
    /// order; `random` determines the order for prompts without one.
    pub fn in_order(&self, prompt: &Prompt, random: u64) -> Vec<EngineGroup> {
        let count = self.groups.len() as u32;
        let key = shared_prefix_key(prompt).unwrap_or(random).to_be_bytes();
        let score = |number: u32, engines: &[Arc<Backend>]| {
            rendezvous::weighted_score(&key, &number.to_be_bytes(), engines.len() as f64)
        };
        let mut scored: Vec<(f64, EngineGroup)> = (0..)
            .zip(&self.groups)
            .map(|(number, engines)| (score(number, engines), EngineGroup { number, count }))
            .collect();
        scored.sort_by(|left, right| right.0.total_cmp(&left.0));
        scored.into_iter().map(|(_, group)| group).collect()
    }
}

/// Key of the shared prefix: the identifier of the last part before the request's own.
fn shared_prefix_key(prompt: &Prompt) -> Option<u64> {
    let position = prompt.parts.len().checked_sub(2)?;
    Some(prompt.parts[position].id)
}
