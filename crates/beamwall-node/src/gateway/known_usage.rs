//! Recovers previously counted usage at the start of a gateway: the counts of a process that has ended are no
//! longer reported by anyone, so they would be lost with the nodes that received them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::NodeId;
use beamwall_peer::gateway_message::{GenerationUsage, UsageAnswer, UsageRequest};
use beamwall_peer::{Body, Envelope, MemberState};

use crate::gateway::exchange::{ANSWER_TIMEOUT, PeerExchange, REPORTED_WINDOWS};
use crate::gateway::heartbeat_wire;

/// Time after the start until the members are known and have reported their own usage.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Number of attempts to ask a member.
const MAX_ATTEMPTS: usize = 4;

impl PeerExchange {
    /// Answers a node that has started with the usage recorded here. In a large deployment nodes of other
    /// zones get no answer: they receive these counts in this zone's summaries, and would count them twice.
    pub(super) fn answer_usage(&self, question: &Envelope) {
        if self.is_direct_peer(question) {
            self.reply(question, Body::UsageKnown(self.recorded_usage()));
        }
    }

    fn recorded_usage(&self) -> UsageAnswer {
        let encode_generation = |(node, generation, usage): (NodeId, u64, Vec<_>)| GenerationUsage {
            node: node.to_string(),
            life: generation,
            usage: heartbeat_wire::encode_usage(usage),
        };
        let generations = self.gateway.forwarder.usage.generations(REPORTED_WINDOWS);
        UsageAnswer { lives: generations.into_iter().map(encode_generation).collect() }
    }

    /// Requests the recorded usage from the longest-running member, until one answers.
    pub(super) async fn recover_usage(self: Arc<Self>) {
        for _ in 0..MAX_ATTEMPTS {
            tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
            let Some(address) = self.longest_running_peer() else { continue };
            let question = self.envelope(Body::UsageRequest(UsageRequest {}));
            let answer = self.network.ask(address, question, ANSWER_TIMEOUT).await;
            if let Ok(Some(Body::UsageKnown(recorded))) = answer.map(|envelope| envelope.body) {
                self.merge_recovered_usage(recorded);
                return;
            }
        }
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

    fn merge_recovered_usage(&self, recorded: UsageAnswer) {
        let usage = &self.gateway.forwarder.usage;
        // Entries of other generations include this node's own usage before its restart.
        for entry in recorded.lives.into_iter().filter(|entry| entry.life != self.generation) {
            usage.merge(&NodeId::new(&entry.node), entry.life, heartbeat_wire::decode_usage(entry.usage));
        }
    }
}
