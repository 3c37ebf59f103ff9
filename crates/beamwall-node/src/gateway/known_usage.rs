//! A gateway that starts learns the usage that was counted before: nobody tells the counts of a life that has ended, so
//! they would go with those that heard them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::NodeId;
use beamwall_peer::gateway_message::{LifeUsage, UsageKnown, UsageRequest};
use beamwall_peer::{Body, Envelope, MemberState};

use crate::gateway::exchange::{ANSWER_TIMEOUT, PeerExchange, REPORTED_WINDOWS};
use crate::gateway::heartbeat_wire;

/// Time after the start until the members are known and have told their own usage.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Times that somebody is asked.
const MAX_ATTEMPTS: usize = 4;

impl PeerExchange {
    /// Tells a node that has started what is known of others' usage. One of another zone gets no answer in a large
    /// deployment: there these counts come with this zone's sums, and would count twice.
    pub(super) fn answer_usage(&self, question: &Envelope) {
        if self.is_direct_peer(question) {
            self.reply(question, Body::UsageKnown(self.recorded_usage()));
        }
    }

    fn recorded_usage(&self) -> UsageKnown {
        let encode_life = |(node, life, usage): (NodeId, u64, Vec<_>)| LifeUsage {
            node: node.to_string(),
            life,
            usage: heartbeat_wire::encode_usage(usage),
        };
        let lives = self.gateway.forwarder.usage.lives(REPORTED_WINDOWS);
        UsageKnown { lives: lives.into_iter().map(encode_life).collect() }
    }

    /// Asks the member that has lived longest for what it knows, until one answers.
    pub(super) async fn recover_usage(self: Arc<Self>) {
        for _ in 0..MAX_ATTEMPTS {
            tokio::time::sleep(MEMBERSHIP_SETTLE_TIME).await;
            let Some(address) = self.longest_running_peer() else { continue };
            let question = self.envelope(Body::UsageRequest(UsageRequest {}));
            let answer = self.network.ask(address, question, ANSWER_TIMEOUT).await;
            if let Ok(Some(Body::UsageKnown(known))) = answer.map(|envelope| envelope.body) {
                self.merge_recovered_usage(known);
                return;
            }
        }
    }

    /// Of the members that tell this node their own usage, the one of the longest life. Incarnations begin with the time
    /// of the start.
    fn longest_running_peer(&self) -> Option<SocketAddr> {
        let view = self.members.load();
        let is_large_deployment = self.is_large_deployment();
        let direct = view.members.iter().filter(|member| {
            member.state == MemberState::Alive && (!is_large_deployment || member.zone == self.zone)
        });
        direct.min_by_key(|member| member.incarnation).map(|member| member.address)
    }

    fn merge_recovered_usage(&self, known: UsageKnown) {
        let usage = &self.gateway.forwarder.usage;
        // What was counted here before this life is what others know of it.
        for entry in known.lives.into_iter().filter(|entry| entry.life != self.generation) {
            usage.merge(&NodeId::new(&entry.node), entry.life, heartbeat_wire::decode_usage(entry.usage));
        }
    }
}
