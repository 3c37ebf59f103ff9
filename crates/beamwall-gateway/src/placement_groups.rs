//! Groups of engines, each placed by one node.
//!
//! One node can place only so many requests, and where several place at the same engines, each is blind to what the others
//! placed a moment ago. So the engines of a service are divided into groups by hash, each group has a node of its own,
//! and that node places alone there. A prompt goes to the group that the hash of its last shared part prefers, so its
//! beginning is kept in one group and read there once; where that group can't begin soon, the next one is asked.
//!
//! The load that this answers: 160 engines that read prompts 45 in 100 of their time. Five nodes that each place at all of
//! them leave 10 in 100 prompts waiting 292 ms and more, three groups none (tests/placement_groups.rs).

use std::sync::Arc;

use beamwall_model::{BackendId, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Backend;
use crate::ports::Prompt;

/// Engines of a group in the mean. A placement compares all of them, so this bounds the time that it takes; with fewer, a
/// request finds fewer engines that are free.
const ENGINES_PER_GROUP: usize = 64;
/// Multiplier of the generator behind the jump consistent hash, from its paper.
const JUMP_MULTIPLIER: u64 = 2_862_933_555_777_941_757;
/// Bits of a generated number that are dropped, from the paper.
const JUMP_SHIFT: u32 = 33;
/// Range of the bits that stay, from the paper.
const JUMP_RANGE: f64 = (1_u64 << 31) as f64;

/// One of the groups of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EngineGroup {
    /// Its number, from 0.
    pub number: u32,
    /// The number of groups, at least 1.
    pub count: u32,
}

impl EngineGroup {
    /// The group of all engines.
    pub const WHOLE: Self = Self { number: 0, count: 1 };

    /// Whether an engine belongs to it. All nodes agree; when the number of groups changes by one, few engines move.
    pub fn holds(self, backend: &BackendId) -> bool {
        self.count <= 1 || group_of(backend, self.count) == self.number
    }
}

/// The group of an engine among `count`, by jump consistent hash (Lamping and Veach, 2014): some steps by the logarithm of
/// the groups, where comparing a hash for each of them took 3.5 ms a division at 3,000 engines.
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

/// One service's engines that take requests, by group. Made once for each list of back ends, so that a request finds the
/// engines of its group without looking at the others.
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

    /// The engines of one group. A group of another division, as one of a node that sees other engines, is looked for among
    /// all.
    pub fn engines_of(&self, group: EngineGroup) -> Box<dyn Iterator<Item = &Arc<Backend>> + '_> {
        match self.groups.get(group.number as usize) {
            Some(engines) if group.count as usize == self.groups.len() => Box::new(engines.iter()),
            _ => Box::new(self.engines().filter(move |engine| group.holds(&engine.id))),
        }
    }

    /// The groups in the order in which they are asked for a prompt. Each is first for a share of the prompts in
    /// proportion to its engines; prompts with the same shared part have the same order. `random` decides for prompts that
    /// share nothing.
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

/// What prompts with the same beginning have in common: the last part but the request's own.
fn shared_prefix_key(prompt: &Prompt) -> Option<u64> {
    let position = prompt.parts.len().checked_sub(2)?;
    Some(prompt.parts[position].id)
}
