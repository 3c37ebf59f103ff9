//! Restarted nodes are introduced to all members, by few nodes; nodes that refute a suspicion are not.

use std::net::SocketAddr;

use beamwall_model::{NodeId, ZoneName};
use beamwall_peer::gateway_message::GatewayHeartbeat;
use beamwall_peer::message::MemberUpdate;
use beamwall_peer::{Body, Envelope, KnownProcess, Membership, MembershipTiming};
use prost::Message;
use tokio::time::Instant;

/// Start of the first process of each node, in milliseconds since 1970.
const FIRST_START: u64 = 1_800_000_000_000;
/// Start of the restarted node's second process: its first one ran for a minute.
const SECOND_START: u64 = FIRST_START + 60_000;
/// The node that is restarted or refutes a suspicion: neither a seed nor the first of its zone.
const SENDER: usize = 7;
const SEEDS: usize = 3;
const RELAYS: usize = 2;
const ZONES: usize = 3;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7_000))
}

fn name(number: usize) -> String {
    format!("gateway-{number:04}")
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn envelope(number: usize, incarnation: u64) -> Envelope {
    Envelope {
        sender: name(number),
        incarnation,
        zone: zone(number),
        address: address(number).to_string(),
        link_mbps: 10,
        ..Envelope::default()
    }
}

fn update(number: usize) -> MemberUpdate {
    MemberUpdate {
        node: name(number),
        zone: zone(number),
        address: address(number).to_string(),
        incarnation: FIRST_START,
        state: 0,
        link_mbps: 10,
    }
}

/// The view of one of `nodes` nodes that has known all others for long and has heard [`SENDER`] directly.
fn settled_view(own: usize, nodes: usize) -> Membership {
    let zone = ZoneName::new(zone(own));
    let seeds: Vec<SocketAddr> = (0..SEEDS).map(address).collect();
    let mut view = Membership::new(NodeId::new(name(own)), zone, FIRST_START, MembershipTiming::default())
        .with_link(10)
        .with_seeds(&seeds, address(own))
        .with_broadcast();
    let updates: Vec<MemberUpdate> = (0..nodes).filter(|number| *number != own).map(update).collect();
    view.merge(&updates, Instant::now());
    introduced(&mut view, FIRST_START, Some(nodes - 1));
    view
}

/// Members that a view introduces to the sender of a message of this incarnation.
fn introduced(view: &mut Membership, incarnation: u64, members_known: Option<usize>) -> usize {
    let message = envelope(SENDER, incarnation);
    let known_process = view.known_process(&message);
    view.record_message(&message, Instant::now());
    view.immediate_updates(&message, known_process, members_known).len()
}

/// Nodes of the sender's zone, without the sender, and the seeds: all that a restarted node sends messages to.
fn contacts(nodes: usize) -> Vec<usize> {
    (0..nodes)
        .filter(|number| *number != SENDER && (*number < SEEDS || zone(*number) == zone(SENDER)))
        .collect()
}

/// Guards against a restarted node that knows only the seeds for many heartbeats, because its last process is still known.
#[test]
fn a_seed_introduces_all_members_to_a_restarted_node() {
    for members_known in [None, Some(2)] {
        let mut view = settled_view(0, 27);
        assert_eq!(introduced(&mut view, SECOND_START, members_known), 26, "it knows {members_known:?}");
        assert_eq!(introduced(&mut view, SECOND_START, members_known), 0, "not a second time");
    }
}

/// Guards against the same where another node reports the restart before the restarted node's first message arrives.
#[test]
fn a_restart_reported_by_others_does_not_prevent_the_introduction() {
    let mut view = settled_view(0, 27);
    let reported = MemberUpdate { incarnation: SECOND_START, ..update(SENDER) };
    view.merge(&[reported], Instant::now());
    assert_eq!(introduced(&mut view, FIRST_START, Some(26)), 0, "a late message of the earlier process");
    assert_eq!(introduced(&mut view, SECOND_START, Some(2)), 26);
}

/// Guards against a seed that was restarted itself, so that it knows most nodes through others only.
#[test]
fn a_seed_introduces_members_to_a_restarted_node_that_it_knows_through_others() {
    let mut view = Membership::new(
        NodeId::new(name(0)),
        ZoneName::new(zone(0)),
        FIRST_START,
        MembershipTiming::default(),
    )
    .with_seeds(&[address(0)], address(0))
    .with_broadcast();
    let updates: Vec<MemberUpdate> = (1..27).map(update).collect();
    view.merge(&updates, Instant::now());
    assert_eq!(introduced(&mut view, SECOND_START, None), 26);
}

/// Guards against a deployment in which only restarted nodes are seeds, so that nobody introduces members.
#[test]
fn relays_introduce_members_to_a_restarted_node_that_reports_fewer() {
    let relays: Vec<usize> = (SEEDS..27).filter(|own| settled_view(*own, 27).is_relay()).collect();
    assert!(!relays.is_empty());
    for own in relays.into_iter().filter(|own| *own != SENDER) {
        let mut view = settled_view(own, 27);
        assert_eq!(introduced(&mut view, SECOND_START, None), 0, "it may be introduced by seeds");
        assert_eq!(introduced(&mut view, SECOND_START, Some(8)), 26, "node {own}");
        assert_eq!(introduced(&mut view, SECOND_START, Some(8)), 0, "not a second time");
    }
}

#[test]
fn a_node_that_refutes_suspicions_is_not_introduced() {
    for own in contacts(27) {
        let mut view = settled_view(own, 27);
        for refuted in 1..=20 {
            for members_known in [None, Some(2), Some(26)] {
                assert_eq!(introduced(&mut view, FIRST_START + refuted, members_known), 0, "node {own}");
            }
        }
    }
}

/// Guards against nodes that count dead members, of which a restarted node is never told, as missing.
#[test]
fn a_restarted_node_that_knows_all_members_that_are_not_dead_is_not_introduced() {
    let mut view = settled_view(0, 27);
    let dead = MemberUpdate { state: 2, ..update(20) };
    view.merge(&[dead], Instant::now());
    assert_eq!(introduced(&mut view, SECOND_START, Some(25)), 0);
}

#[test]
fn an_unknown_process_is_told_from_an_earlier_and_the_current_one() {
    let view = settled_view(0, 27);
    assert_eq!(view.known_process(&envelope(99, SECOND_START)), KnownProcess::None);
    assert_eq!(view.known_process(&envelope(SENDER, SECOND_START)), KnownProcess::Earlier);
    assert_eq!(view.known_process(&envelope(SENDER, FIRST_START)), KnownProcess::Current);
    assert_eq!(view.known_process(&envelope(SENDER, FIRST_START + 1)), KnownProcess::Current);
}

/// Guards against a deployment whose nodes all are seeds, each of which introduces all members to a restarted node.
#[test]
fn only_the_first_seeds_introduce_members_to_a_restarted_node() {
    let seeds: Vec<SocketAddr> = (0..27).map(address).collect();
    let introducing = seeds.iter().enumerate().filter(|(own, address)| {
        let mut view = settled_view(*own, 27).with_seeds(&seeds, **address);
        introduced(&mut view, SECOND_START, None) > 0
    });
    assert_eq!(introducing.count(), SEEDS);
}

/// Length of the message that introduces all members of `nodes` nodes.
fn introduction_bytes(nodes: usize) -> usize {
    let members = settled_view(0, nodes).all_updates();
    let body = Body::GatewayBeat(GatewayHeartbeat { members, ..GatewayHeartbeat::default() });
    Envelope { body: Some(body), ..envelope(0, FIRST_START) }.encoded_len()
}

/// Guards against a large zone each of whose nodes introduces all members to a restarted one.
#[test]
fn a_restarted_node_of_a_large_deployment_is_introduced_by_seeds_and_relays_only() {
    for nodes in [300, 2_700] {
        // The worst order: everybody gets a version update, which reports no number, before the heartbeat,
        // and that still reports few.
        let (mut by_update, mut by_heartbeat) = (0, 0);
        for own in contacts(nodes) {
            let mut view = settled_view(own, nodes);
            by_update += usize::from(introduced(&mut view, SECOND_START, None) > 0);
            let mut view = settled_view(own, nodes);
            by_heartbeat += usize::from(introduced(&mut view, SECOND_START, Some(SEEDS)) > 0);
        }
        let bytes = introduction_bytes(nodes);
        println!(
            "{nodes} nodes, {} contacts: an introduction takes {bytes} bytes; {by_update} after a version \
             update, {by_heartbeat} after a heartbeat that reports few members",
            contacts(nodes).len()
        );
        assert_eq!(by_update, SEEDS);
        assert!(by_heartbeat <= SEEDS + RELAYS, "{by_heartbeat} introductions");
    }
}
