//! Reports this node's demand and sets its shares of the tenants' limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use beamwall_model::TenantName;
use beamwall_peer::MemberState;
use beamwall_routing::tenant_limit::Demand;

use crate::shared::{Shared, lock};

const PERIOD: Duration = Duration::from_secs(1);

/// Runs until the node stops.
pub async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PERIOD).await;
        let own: HashMap<TenantName, Demand> = shared.limits.close_period(PERIOD).into_iter().collect();
        // Shares are computed from what the others were told, which is the previous report.
        let reported = std::mem::replace(&mut *lock(&shared.own_demands), own);
        let (peers, count) = peer_demands(&shared);
        shared.limits.set_shares(&reported, peers, count);
    }
}

/// Demands of peers that are not dead. A suspected peer may be on the far side of a cut and still
/// serving: it keeps its share until it is declared dead.
fn peer_demands(shared: &Shared) -> (HashMap<TenantName, Vec<Demand>>, usize) {
    let members = shared.members.load();
    let mut demands = lock(&shared.peer_demands);
    let counted = |node: &beamwall_model::NodeId| {
        members.members.iter().any(|member| member.node == *node && member.state <= MemberState::Dead)
    };
    demands.retain(|node, _| counted(node));
    let mut by_tenant: HashMap<TenantName, Vec<Demand>> = HashMap::new();
    for peer in demands.values() {
        for (tenant, demand) in peer {
            by_tenant.entry(tenant.clone()).or_default().push(*demand);
        }
    }
    (by_tenant, demands.len())
}
