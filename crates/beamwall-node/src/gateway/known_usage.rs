//! A gateway that starts learns the usage that was counted before: nobody tells the counts of a life that has ended, so
//! they would go with those that heard them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::NodeId;
use beamwall_peer::gateway_message::{GenerationUsage, UsageAnswer, UsageRequest};
use beamwall_peer::{Body, Envelope, MemberState};

use crate::gateway::beat;
use crate::gateway::exchange::{ANSWER_LIMIT, Exchange, TOLD_WINDOWS};

/// Time after the start until the members are known and have told their own usage.
const INTRODUCTION_TIME: Duration = Duration::from_millis(600);
/// Times that somebody is asked.
const ROUNDS: usize = 4;

impl Exchange {
    /// Tells a node that has started what is known of others' usage. One of another zone gets no answer in a large
    /// deployment: there these counts come with this zone's sums, and would count twice.
    pub(super) fn answer_usage(&self, question: &Envelope) {
        if self.is_close(question) {
            self.reply(question, Body::UsageKnown(self.known_usage()));
        }
    }

    fn known_usage(&self) -> UsageAnswer {
        let life = |(node, life, usage): (NodeId, u64, Vec<_>)| GenerationUsage {
            node: node.to_string(),
            life,
            usage: beat::encode_usage(usage),
        };
        let lives = self.gateway.forwarder.usage.generations(TOLD_WINDOWS);
        UsageAnswer { lives: lives.into_iter().map(life).collect() }
    }

    /// Asks the member that has lived longest for what it knows, until one answers.
    pub(super) async fn learn_usage(self: Arc<Self>) {
        for _ in 0..ROUNDS {
            tokio::time::sleep(INTRODUCTION_TIME).await;
            let Some(address) = self.longest_lived() else { continue };
            let question = self.envelope(Body::UsageRequest(UsageRequest {}));
            let answer = self.network.ask(address, question, ANSWER_LIMIT).await;
            if let Ok(Some(Body::UsageKnown(known))) = answer.map(|envelope| envelope.body) {
                self.take_known_usage(known);
                return;
            }
        }
    }

    /// Of the members that tell this node their own usage, the one of the longest life. Incarnations begin with the time
    /// of the start.
    fn longest_lived(&self) -> Option<SocketAddr> {
        let view = self.members.load();
        let is_large = self.is_large();
        let close = view
            .members
            .iter()
            .filter(|member| member.state == MemberState::Alive && (!is_large || member.zone == self.zone));
        close.min_by_key(|member| member.incarnation).map(|member| member.address)
    }

    fn take_known_usage(&self, known: UsageAnswer) {
        let usage = &self.gateway.forwarder.usage;
        // What was counted here before this life is what others know of it.
        for life in known.lives.into_iter().filter(|life| life.life != self.life) {
            usage.merge(&NodeId::new(&life.node), life.life, beat::decode_usage(life.usage));
        }
    }
}
