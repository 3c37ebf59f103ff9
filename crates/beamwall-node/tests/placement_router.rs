//! Who places in a group of engines, as the nodes of a fleet see it: agreement, misses, and a zone that is cut off.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use beamwall_gateway::placement_groups::EngineGroup;
use beamwall_model::{NodeId, ZoneName};
use beamwall_node::gateway::placement_router::{LocalNode, PlacementRouter, PlacementTarget};
use beamwall_node::shared::MembershipView;
use beamwall_peer::{Member, MemberState};
use tokio::time::Instant;

const ZONES: usize = 5;
const NODES: usize = 295;
const GROUPS: u32 = 3;

fn name(number: usize) -> NodeId {
    NodeId::new(format!("n{number}"))
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("z{}", number % ZONES))
}

/// Three nodes of each zone are on fast links.
fn link_mbps(number: usize) -> u32 {
    if number < 3 * ZONES { 200 } else { 20 }
}

fn asker(number: usize) -> LocalNode {
    LocalNode { node: name(number), zone: zone(number), link_mbps: link_mbps(number) }
}

/// What a node knows: the nodes of its zone from themselves, all others by hearsay.
fn view_of(own: usize) -> Arc<MembershipView> {
    let member = |number: usize| Member {
        node: name(number),
        zone: zone(number),
        address: format!("127.0.0.1:{}", 1_000 + number).parse().expect("an address"),
        incarnation: 1,
        state: MemberState::Alive,
        since: Instant::now(),
        last_received: None,
        revision: 0,
        digest: 0,
        ready: zone(number) == zone(own),
        draining: false,
        link_mbps: link_mbps(number),
        store_lost: false,
    };
    let members = (0..NODES).filter(|number| *number != own).map(member).collect();
    Arc::new(MembershipView { members, ..MembershipView::default() })
}

fn group(number: u32) -> EngineGroup {
    EngineGroup { number, count: GROUPS }
}

fn found(
    placers: &mut PlacementRouter,
    number: usize,
    view: &Arc<MembershipView>,
    group: EngineGroup,
) -> NodeId {
    match placers.select_target(&asker(number), view, group, Instant::now()) {
        PlacementTarget::Local => name(number),
        PlacementTarget::Peer(member) => member.node,
    }
}

/// Nodes of every zone asked the one of their own zone, which knew nothing of what the others placed.
#[test]
fn all_nodes_ask_the_same_node_for_a_group_and_different_ones_for_different_groups() {
    let mut by_group = HashSet::new();
    for number in 0..GROUPS {
        let ask = |node: usize| found(&mut PlacementRouter::default(), node, &view_of(node), group(number));
        let chosen: HashSet<NodeId> = [0, 7, 33, 101, 200, 294].into_iter().map(ask).collect();
        assert_eq!(chosen.len(), 1, "{chosen:?}");
        by_group.extend(chosen);
    }
    assert_eq!(by_group.len(), GROUPS as usize);
    let is_fast = |node: &NodeId| (0..3 * ZONES).any(|number| name(number) == *node);
    assert!(by_group.iter().all(is_fast), "{by_group:?}");
}

#[test]
fn a_node_that_does_not_answer_gives_its_group_up_at_once_and_is_tried_again() {
    let (own, view, now) = (100, view_of(100), Instant::now());
    let mut placers = PlacementRouter::default();
    let first = found(&mut placers, own, &view, group(0));
    assert_eq!(placers.note_miss(&first, now), Some(Duration::from_millis(500)));
    assert_eq!(placers.note_miss(&first, now), None, "requests that were asked together miss once");
    let second = found(&mut placers, own, &view, group(0));
    assert_ne!(second, first);
    let is_close = (0..NODES).any(|number| name(number) == second && zone(number) == zone(own));
    assert!(is_close, "{second} is of another zone");
    let after = |wait_ms: u64| now + Duration::from_millis(wait_ms);
    let ask = |placers: &mut PlacementRouter, at: Instant| match placers.select_target(
        &asker(own),
        &view,
        group(0),
        at,
    ) {
        PlacementTarget::Local => name(own),
        PlacementTarget::Peer(member) => member.node,
    };
    assert_eq!(ask(&mut placers, after(501)), first);
    assert_eq!(placers.note_miss(&first, after(501)), Some(Duration::from_secs(1)));
    assert_eq!(ask(&mut placers, after(1_400)), second);
    placers.note_answer(&first);
    assert_eq!(ask(&mut placers, after(1_400)), first);
}

/// The nodes of a zone that is cut off can't reach any of the nodes that place for all.
#[test]
fn the_nodes_of_a_zone_that_is_cut_off_agree_on_one_of_theirs() {
    let cut = 2;
    let in_zone = |number: &usize| zone(*number) == zone(cut);
    let after_misses = |own: usize| {
        let (view, mut placers) = (view_of(own), PlacementRouter::default());
        let mut misses = 0;
        loop {
            let chosen = found(&mut placers, own, &view, group(1));
            if (0..NODES).filter(in_zone).any(|number| name(number) == chosen) {
                assert!(misses <= 1, "{misses} misses");
                return chosen;
            }
            placers.note_miss(&chosen, Instant::now());
            misses += 1;
        }
    };
    let chosen: HashSet<NodeId> = (0..NODES).filter(in_zone).map(after_misses).collect();
    assert_eq!(chosen.len(), 1, "{chosen:?}");
}

#[test]
fn nodes_that_are_dead_or_drain_do_not_place() {
    let own = 100;
    let mut view = MembershipView::clone(&view_of(own));
    let first = found(&mut PlacementRouter::default(), own, &Arc::new(view.clone()), group(2));
    let member = view.members.iter_mut().find(|member| member.node == first).expect("a member");
    member.state = MemberState::Suspect;
    assert_ne!(found(&mut PlacementRouter::default(), own, &Arc::new(view.clone()), group(2)), first);
    let alone = Arc::new(MembershipView::default());
    assert_eq!(found(&mut PlacementRouter::default(), own, &alone, group(2)), name(own));
}
