//! Recovers previously counted usage at the start of a gateway: the counts of a process that has ended are no
//! longer reported by anyone, so they would be lost with the nodes that received them.
//!
//! In a large deployment two members are asked. One of the same zone knows the counts of that zone's nodes.
//! One of another zone knows the sums of zones, among them what the own zone counted before all its nodes
//! were killed, and what other zones counted before that happened to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_gateway::usage::PartialSum;
use beamwall_model::{NodeId, ZoneName};
use beamwall_peer::gateway_message::{GenerationUsage, UsageAnswer, UsageRequest, ZoneUsage};
use beamwall_peer::{Body, Envelope, Member, MemberState};
use rand::seq::IteratorRandom;

use crate::gateway::exchange::{ANSWER_TIMEOUT, PeerExchange, REPORTED_WINDOWS};
use crate::gateway::heartbeat_wire;

/// Time after the start until the members are known and have reported their own usage.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Number of attempts to ask a member.
const MAX_ATTEMPTS: usize = 4;

impl PeerExchange {
    /// Answers a node that has started with the usage recorded here. In a large deployment nodes of other
    /// zones get the sums of zones only: they receive the counts of this zone's nodes in its summaries. Builds
    /// that cannot decode these sums get no answer then.
    pub(super) fn answer_usage(&self, question: &Envelope, request: UsageRequest) {
        let is_direct_peer = self.is_direct_peer(question);
        if !is_direct_peer && !request.reads_zone_sums {
            return;
        }
        let lives = if is_direct_peer { self.recorded_generations() } else { Vec::new() };
        let zones = if request.reads_zone_sums { self.recorded_zone_sums() } else { Vec::new() };
        self.reply(question, Body::UsageKnown(UsageAnswer { lives, zones }));
    }

    /// The usage of other generations known here, and of this one, which may end before its next heartbeat.
    fn recorded_generations(&self) -> Vec<GenerationUsage> {
        let encode = |(node, generation, usage): (NodeId, u64, Vec<_>)| GenerationUsage {
            node: node.to_string(),
            life: generation,
            usage: heartbeat_wire::encode_usage(usage),
        };
        let usage = &self.gateway.forwarder.usage;
        let own = (self.node.clone(), self.generation, usage.recent(REPORTED_WINDOWS));
        usage.generations(REPORTED_WINDOWS).into_iter().chain([own]).map(encode).collect()
    }

    fn recorded_zone_sums(&self) -> Vec<ZoneUsage> {
        let encode = |(zone, sum): (ZoneName, PartialSum)| ZoneUsage {
            zone: zone.to_string(),
            lives: sum.generations.as_slice().to_vec(),
            usage: heartbeat_wire::encode_usage(sum.windows),
        };
        self.gateway.forwarder.usage.zone_sums(REPORTED_WINDOWS).into_iter().map(encode).collect()
    }

    /// Requests the recorded usage of this zone's nodes, and in a large deployment that of zones, each until
    /// a member answers.
    pub(super) async fn recover_usage(self: Arc<Self>) {
        let (mut knows_nodes, mut knows_zones) = (false, false);
        for _ in 0..MAX_ATTEMPTS {
            tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
            if !knows_nodes {
                knows_nodes = self.recover_from(self.longest_running_peer()).await;
            }
            if !knows_zones && self.is_large_deployment() {
                knows_zones = self.recover_from(self.earlier_member_of_another_zone()).await;
            }
        }
    }

    /// Asks a member for its recorded usage. Returns whether it answered.
    async fn recover_from(&self, address: Option<SocketAddr>) -> bool {
        let Some(address) = address else { return false };
        let question = self.envelope(Body::UsageRequest(UsageRequest { reads_zone_sums: true }));
        let answer = self.network.ask(address, question, ANSWER_TIMEOUT).await;
        let Ok(Some(Body::UsageKnown(recorded))) = answer.map(|envelope| envelope.body) else { return false };
        self.merge_recovered_usage(recorded);
        true
    }

    /// The longest-running of the members that report their own usage to this node. Incarnations start at the
    /// start time.
    fn longest_running_peer(&self) -> Option<SocketAddr> {
        let view = self.members.load();
        let is_large_deployment = self.is_large_deployment();
        let direct = view.members.iter().filter(|member| {
            member.state == MemberState::Alive && (!is_large_deployment || member.zone == self.zone)
        });
        direct.min_by_key(|member| member.incarnation).map(|member| member.address)
    }

    /// Any member of another zone that started before this node. It is a random one, since the nodes of a zone
    /// may all start and ask at the same time.
    fn earlier_member_of_another_zone(&self) -> Option<SocketAddr> {
        let view = self.members.load();
        let is_earlier = |member: &&Member| {
            member.state == MemberState::Alive
                && member.zone != self.zone
                && member.incarnation < view.incarnation
        };
        let earlier = view.members.iter().filter(is_earlier);
        earlier.choose(&mut rand::rng()).map(|member| member.address)
    }

    fn merge_recovered_usage(&self, recorded: UsageAnswer) {
        let usage = &self.gateway.forwarder.usage;
        for entry in recorded.lives {
            self.merge_recovered_generation(entry);
        }
        for zone in recorded.zones {
            usage.merge_zone(&ZoneName::new(&zone.zone), heartbeat_wire::decode_sum(zone.lives, zone.usage));
        }
    }

    /// Merges the recovered usage of one generation, unless it is this one. An earlier generation of this node
    /// counts as any other. If the deployment has grown large since the question, nodes of other zones count in
    /// the sums of their zones.
    fn merge_recovered_generation(&self, entry: GenerationUsage) {
        let usage = &self.gateway.forwarder.usage;
        let node = NodeId::new(&entry.node);
        if node == self.node && entry.life == self.generation {
            return;
        }
        let counted = heartbeat_wire::decode_usage(entry.usage);
        match self.member(&entry.node).filter(|member| member.zone != self.zone) {
            Some(member) if self.is_large_deployment() => {
                usage.merge_zone(&member.zone, PartialSum::of_node(&node, entry.life, counted));
            }
            _ => {
                // The node may turn out to be of another zone of a large deployment.
                self.zones.note_node_report();
                usage.merge(&node, entry.life, counted);
            }
        }
    }
}
