//! Membership under random message loss: all nodes see running nodes as alive and stopped nodes as dead, also
//! after a partition has healed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use beamwall_model::{NodeId, ZoneName};
use beamwall_peer::message::{Envelope, MemberUpdate};
use beamwall_peer::{Member, MemberState, Membership, MembershipTiming, Target};
use tokio::time::Instant;

const SEEDS: [u64; 12] = [
    0x1_0000_4000,
    0x2_0000_4000,
    0x3_0000_4000,
    0x4_0000_4000,
    0x5_0000_4000,
    0x6_0000_4000,
    0x7_0000_4000,
    0x8_0000_4000,
    0x9_0000_4000,
    0xa_0000_4000,
    0xb_0000_4000,
    0xc_0000_4000,
];

/// Nodes that exchange heartbeats in steps of one period, over links that may lose messages or be
/// partitioned.
struct Network {
    nodes: BTreeMap<SocketAddr, (String, String, Membership)>,
    stopped: Vec<SocketAddr>,
    links_mbps: BTreeMap<SocketAddr, u32>,
    sent: usize,
    /// Member updates sent in the last period, immediate replies included.
    updates_sent: usize,
    broadcasts: bool,
    now: Instant,
    timing: MembershipTiming,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

impl Network {
    fn new(zones: usize, per_zone: usize) -> Self {
        Self::with_links(zones, per_zone, |_| 0)
    }

    /// Creates nodes on links whose capacity depends on the index of the node in its zone.
    fn with_links(zones: usize, per_zone: usize, link_mbps: impl Fn(usize) -> u32) -> Self {
        let timing = MembershipTiming::default();
        let mut nodes = BTreeMap::new();
        let mut links_mbps = BTreeMap::new();
        for number in 0..zones * per_zone {
            let (name, zone) = (format!("n{number}"), format!("z{}", number / per_zone));
            let link = link_mbps(number % per_zone);
            let membership =
                Membership::new(NodeId::new(&name), ZoneName::new(&zone), 1, timing).with_link(link);
            links_mbps.insert(address(number), link);
            nodes.insert(address(number), (name, zone, membership));
        }
        Self {
            nodes,
            stopped: Vec::new(),
            links_mbps,
            sent: 0,
            updates_sent: 0,
            broadcasts: false,
            now: Instant::now(),
            timing,
        }
    }

    /// Makes all nodes send their heartbeats to their whole zone.
    fn with_broadcast(mut self) -> Self {
        self.broadcasts = true;
        let with_broadcast = |(address, (name, zone, membership))| {
            (address, (name, zone, Membership::with_broadcast(membership)))
        };
        self.nodes = self.nodes.into_iter().map(with_broadcast).collect();
        self
    }

    fn envelope(&self, from: SocketAddr) -> Envelope {
        let (name, zone, membership) = &self.nodes[&from];
        Envelope {
            sender: name.clone(),
            incarnation: membership.incarnation(),
            zone: zone.clone(),
            address: from.to_string(),
            ready: true,
            link_mbps: self.links_mbps[&from],
            ..Envelope::default()
        }
    }

    /// Simulates one period. `is_delivered` decides whether a message from one zone to another arrives.
    fn step(&mut self, mut is_delivered: impl FnMut(&str, &str) -> bool) {
        self.now += self.timing.period;
        let now = self.now;
        let running: Vec<SocketAddr> =
            self.nodes.keys().filter(|node| !self.stopped.contains(node)).copied().collect();
        let mut sent: Vec<(SocketAddr, Target, Vec<MemberUpdate>)> = Vec::new();
        self.sent = 0;
        self.updates_sent = 0;
        for node in &running {
            let membership = &mut self.nodes.get_mut(node).expect("known").2;
            membership.tick(now);
            let updates = membership.updates();
            let mut targets = membership.targets(now);
            if self.broadcasts {
                let zone = &self.nodes[node].1;
                let is_target =
                    |member: &&Member| member.zone.as_str() == zone && member.state <= MemberState::Suspect;
                let membership = &self.nodes[node].2;
                let all = membership.members().filter(is_target).map(|member| member.address);
                let others: Vec<SocketAddr> =
                    all.filter(|address| !targets.iter().any(|target| target.address == *address)).collect();
                targets.extend(others.into_iter().map(|address| Target { address, wants_answer: false }));
            }
            let membership = &mut self.nodes.get_mut(node).expect("known").2;
            let known: Vec<SocketAddr> = membership.members().map(|member| member.address).collect();
            // The first two nodes are seeds, whose addresses all nodes know.
            let seeds = [address(0), address(1)].into_iter().filter(|seed| !known.contains(seed));
            targets.extend(seeds.map(|address| Target { address, wants_answer: true }));
            if let Some(address) = membership.sync_target() {
                sent.push((*node, Target { address, wants_answer: false }, membership.all_updates()));
            }
            sent.extend(
                targets
                    .into_iter()
                    .filter(|target| target.address != *node)
                    .map(|target| (*node, target, updates.clone())),
            );
        }
        for (from, target, updates) in sent {
            self.deliver(from, target.address, &updates, &mut is_delivered);
            if target.wants_answer {
                self.deliver(target.address, from, &[], &mut is_delivered);
            }
        }
    }

    fn deliver(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        updates: &[MemberUpdate],
        is_delivered: &mut impl FnMut(&str, &str) -> bool,
    ) {
        self.sent += 1;
        self.updates_sent += updates.len();
        let stopped = self.stopped.contains(&from) || self.stopped.contains(&to);
        if stopped || !is_delivered(&self.nodes[&from].1, &self.nodes[&to].1) {
            return;
        }
        let envelope = self.envelope(from);
        let members_known = Some(self.nodes[&from].2.members().count()).filter(|_| self.broadcasts);
        let membership = &mut self.nodes.get_mut(&to).expect("known").2;
        let known_process = membership.known_process(&envelope);
        membership.record_message(&envelope, self.now);
        membership.merge(updates, self.now);
        let reply = membership.immediate_updates(&envelope, known_process, members_known);
        if !reply.is_empty() {
            self.deliver(to, from, &reply, is_delivered);
        }
    }

    fn state(&self, observer: SocketAddr, observed: SocketAddr) -> Option<MemberState> {
        let name = NodeId::new(&self.nodes[&observed].0);
        self.nodes[&observer].2.member(&name).map(|member| member.state)
    }

    fn assert_views(&self, context: &str) {
        for observer in self.nodes.keys().filter(|node| !self.stopped.contains(node)) {
            for observed in self.nodes.keys().filter(|node| *node != observer) {
                let state = self.state(*observer, *observed);
                if self.stopped.contains(observed) {
                    assert!(
                        state.is_none_or(|state| state >= MemberState::Dead),
                        "{context}: {observer} sees {observed} as {state:?}"
                    );
                } else {
                    assert_eq!(state, Some(MemberState::Alive), "{context}: {observer} sees {observed}");
                }
            }
        }
    }
}

fn property(input: &mut Unstructured<'_>) -> Result<()> {
    let zones = input.int_in_range(1..=4)?;
    let per_zone = input.int_in_range(2..=20)?;
    let mut network = Network::new(zones, per_zone);
    if input.arbitrary()? {
        network = network.with_broadcast();
    }
    let loss = input.int_in_range(0..=15_u8)?;
    let mut bytes: Vec<u8> = (0..997).map(|_| input.arbitrary()).collect::<Result<_>>()?;
    let mut position = 0;
    let mut lossy = move |_: &str, _: &str| {
        position = (position + 1) % bytes.len();
        bytes[position] = bytes[position].wrapping_mul(31).wrapping_add(17);
        bytes[position] % 100 >= loss
    };
    for _ in 0..60 {
        network.step(&mut lossy);
    }
    for _ in 0..60 {
        network.step(|_, _| true);
    }
    network.assert_views("after message losses");
    let stop_count = input.int_in_range(1..=per_zone.min(3))?;
    network.stopped = (0..stop_count)
        .map(|number| address(2 + number * per_zone / 2))
        .filter(|node| network.nodes.contains_key(node))
        .collect();
    for _ in 0..120 {
        network.step(|_, _| true);
    }
    network.assert_views("after stops");
    // A zone is partitioned for long enough to be declared dead, and the partition heals.
    for _ in 0..60 {
        network.step(|from, to| from == to || (from != "z0" && to != "z0"));
    }
    for _ in 0..200 {
        network.step(|_, _| true);
    }
    network.assert_views("after the partition");
    Ok(())
}

#[test]
fn views_converge_after_message_loss_stops_and_partitions() {
    for seed in SEEDS {
        arbtest(property).seed(seed);
    }
}

#[test]
fn messages_per_node_stay_bounded_as_zones_grow() {
    for (zones, per_zone) in [(3, 2), (3, 16), (5, 40), (5, 108)] {
        let mut network = Network::new(zones, per_zone);
        for _ in 0..40 {
            network.step(|_, _| true);
        }
        let mean = network.sent as f64 / network.nodes.len() as f64;
        println!("zones {zones}, nodes per zone {per_zone}: {mean:.1} messages per node and period");
        assert!(mean <= 16.0 + 2.0 * zones as f64);
    }
}

#[test]
fn nodes_on_fast_links_become_relays_in_every_view() {
    let (zones, per_zone) = (4, 22);
    // The last nodes of each zone are fast, so that they are not selected because of their names.
    let is_fast = |number: usize| number % per_zone >= per_zone - 2;
    let link = |place: usize| if place >= per_zone - 2 { 200 } else { 10 };
    let mut network = Network::with_links(zones, per_zone, link);
    for _ in 0..80 {
        network.step(|_, _| true);
    }
    let fast: Vec<SocketAddr> =
        (0..zones * per_zone).filter(|number| is_fast(*number)).map(address).collect();
    for (node, (_, zone, membership)) in &network.nodes {
        assert_eq!(membership.is_relay(), fast.contains(node), "{node}");
        let mut known_relays = membership.remote_relays();
        known_relays.sort();
        let expected: Vec<SocketAddr> =
            fast.iter().filter(|relay| network.nodes[*relay].1 != *zone).copied().collect();
        assert_eq!(known_relays, expected, "as {node} sees it");
    }
    // When the nodes on fast links stop, other nodes become the relays of the zone.
    network.stopped = fast[..2].to_vec();
    for _ in 0..60 {
        network.step(|_, _| true);
    }
    let in_first_zone = (0..per_zone - 2).map(address);
    let relays = in_first_zone.filter(|node| network.nodes[node].2.is_relay()).count();
    assert_eq!(relays, 2);
}

#[test]
fn the_loss_of_a_large_zone_is_detected_in_few_periods() {
    let (zones, per_zone) = (3, 100);
    let mut network = Network::new(zones, per_zone);
    for _ in 0..400 {
        network.step(|_, _| true);
    }
    network.assert_views("before the loss");
    network.stopped = (0..per_zone).map(address).collect();
    let mut periods = 0;
    let lost = |network: &Network| {
        let observer = address(per_zone);
        (0..per_zone).all(|number| {
            network.state(observer, address(number)).is_none_or(|state| state >= MemberState::Dead)
        })
    };
    while !lost(&network) {
        network.step(|_, _| true);
        periods += 1;
        assert!(periods < 400, "the loss was not detected within 400 periods");
    }
    println!("a zone of {per_zone} nodes was declared dead after {periods} periods");
}

#[test]
fn a_silent_node_is_suspect_before_it_is_dead() {
    let mut network = Network::new(1, 3);
    for _ in 0..10 {
        network.step(|_, _| true);
    }
    network.stopped = vec![address(2)];
    let mut seen = Vec::new();
    for _ in 0..40 {
        network.step(|_, _| true);
        let state = network.state(address(0), address(2)).expect("known");
        if seen.last() != Some(&state) {
            seen.push(state);
        }
    }
    assert_eq!(seen, [MemberState::Alive, MemberState::Suspect, MemberState::Dead]);
    assert!(Duration::from_secs(10) > network.timing.suspect_after + network.timing.dead_after);
}

/// All nodes of three zones of 100 nodes start at once, and each node sends its heartbeats to its whole zone.
#[test]
fn a_simultaneous_start_of_broadcasting_nodes_sends_few_updates() {
    let (zones, per_zone) = (3, 100);
    let nodes = zones * per_zone;
    let mut network = Network::new(zones, per_zone).with_broadcast();
    let mut updates_sent = Vec::new();
    for _ in 0..80 {
        network.step(|_, _| true);
        updates_sent.push(network.updates_sent / nodes);
    }
    network.assert_views("after the start");
    let (start, steady_state) = (updates_sent[..20].iter().sum::<usize>(), updates_sent[79]);
    println!(
        "member updates sent by a node: {start} in the first 20 periods, {steady_state} in one of the last"
    );
    assert!(start < 5_000, "{start} updates per node in the first 20 periods");
    assert!(steady_state <= 2 * per_zone, "{steady_state} updates per node and period");
    network.stopped = vec![address(1), address(150), address(250)];
    for _ in 0..60 {
        network.step(|_, _| true);
    }
    network.assert_views("after three nodes stopped");
}

/// Guards against a stalled node that treats its peers as silent, although their messages are only unread.
#[test]
fn a_stall_of_the_own_process_does_not_make_peers_suspect() {
    let timing = MembershipTiming::default();
    let stall = timing.suspect_after * 2;
    for (discounted_stall, expected) in [(stall, MemberState::Alive), (Duration::ZERO, MemberState::Suspect)]
    {
        let now = Instant::now();
        let mut membership = Membership::new(NodeId::new("own"), ZoneName::new("z"), 1, timing);
        let peer = Envelope {
            sender: "peer".to_owned(),
            zone: "z".to_owned(),
            address: address(1).to_string(),
            incarnation: 1,
            ..Envelope::default()
        };
        membership.record_message(&peer, now);
        membership.targets(now);
        membership.discount_stall(discounted_stall);
        membership.tick(now + stall);
        let state = membership.member(&NodeId::new("peer")).map(|member| member.state);
        assert_eq!(state, Some(expected));
    }
}
