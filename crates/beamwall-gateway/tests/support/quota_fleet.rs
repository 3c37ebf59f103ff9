//! Simulated gateways in several zones that enforce the quota of one tenant and report to each other.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use beamwall_gateway::quota::{QuotaExceeded, QuotaLimiter, QuotaMembership, Tolerance};
use beamwall_model::{NodeId, TenantName, ZoneName};
use beamwall_policy::Tenant;
use tokio::time::Instant;

/// Work per second that the tenant's quota admits.
pub const RATE: f64 = 60_000.0;
/// Bucket capacity of the tenant.
pub const BURST: f64 = 60_000.0;
/// Work of a long prompt.
pub const LONG: f64 = 9_000.0;
/// Work of a short prompt.
pub const SHORT: f64 = 200.0;
/// Window over which the admitted work is bounded.
pub const WINDOW: Duration = Duration::from_secs(8);
/// Tolerated excess over a quota in one window, as a share of the quota.
pub const OVERAGE: f64 = 0.1;
/// Additionally tolerated work per window.
pub const SLACK: f64 = 72_000.0;
/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(100);
/// Steps between two reports of a relay while a tenant is near its limit.
pub const STEPS_PER_URGENT_ZONE_REPORT: usize = 2;
/// Steps between two reports of a node or of a relay.
pub const STEPS_PER_REPORT: usize = 10;

pub fn tenant() -> Tenant {
    Tenant {
        name: "alder".into(),
        keys: Vec::new(),
        rank: None,
        rate_per_second: RATE,
        burst: BURST,
        counts_tokens: true,
        plain_tokens: 200,
    }
}

/// A limiter that uses the same shares of the tolerance as a gateway does.
pub fn new_limiter(nodes: usize) -> QuotaLimiter {
    let tolerance =
        Tolerance { sustained: OVERAGE * 0.05, in_window: OVERAGE, at_start: 0.0, window: WINDOW };
    QuotaLimiter::new(SLACK / 2.0, nodes).with_tolerance(tolerance)
}

/// Simulated gateways in several zones, with their pending reports.
pub struct Fleet {
    /// The tenant that sends all requests.
    pub tenant: Tenant,
    /// Creates the limiter of a node.
    pub new_limiter: fn(usize) -> QuotaLimiter,
    /// Generation of the gateways' processes.
    pub generation: u64,
    pub zones: usize,
    pub limiters: Vec<QuotaLimiter>,
    pub admitted: Vec<(Instant, f64)>,
    /// Whether each node has admitted work since its last report.
    pub unreported: Vec<bool>,
    /// Nodes that report to their zone in the next step.
    pub urgent: Vec<usize>,
    /// Whether relays report at once when a node has reported at once.
    pub urgent_zone_reports: bool,
    /// Step of the last reports of the relays.
    pub zone_report_step: usize,
    /// A partitioned zone, which neither sends nor receives reports.
    pub cut_off_zone: Option<usize>,
    pub now: Instant,
    pub step: usize,
}

impl Fleet {
    /// Gateways with these limiters, none of which has reported yet.
    pub fn with_limiters(limiters: Vec<QuotaLimiter>, zones: usize, now: Instant) -> Self {
        let unreported = vec![true; limiters.len()];
        Self {
            tenant: tenant(),
            new_limiter,
            generation: 1,
            zones,
            limiters,
            admitted: Vec::new(),
            unreported,
            urgent: Vec::new(),
            urgent_zone_reports: false,
            zone_report_step: 0,
            cut_off_zone: None,
            now,
            step: 0,
        }
    }

    /// `nodes` gateways in `zones` zones whose buckets are full.
    pub fn with_full_buckets(nodes: usize, zones: usize) -> Self {
        Self::with_full_buckets_of(new_limiter, nodes, zones)
    }

    /// `nodes` gateways with such limiters in `zones` zones whose buckets are full.
    pub fn with_full_buckets_of(new_limiter: fn(usize) -> QuotaLimiter, nodes: usize, zones: usize) -> Self {
        let now = Instant::now();
        let direct = nodes / zones;
        let membership = QuotaMembership { reachable: nodes, known: nodes, direct };
        let new_node = |_| {
            let limiter = new_limiter(nodes);
            limiter.set_membership(membership, &[tenant()], now);
            limiter.set_membership(membership, &[tenant()], now + Duration::from_secs(10));
            limiter
        };
        let limiters = (0..nodes).map(new_node).collect();
        let mut fleet = Self::with_limiters(limiters, zones, now + Duration::from_secs(10));
        fleet.new_limiter = new_limiter;
        (0..nodes).for_each(|node| fleet.report_node(node));
        fleet.report_zone_sums();
        fleet
    }

    pub fn zone_of(&self, node: usize) -> usize {
        node % self.zones
    }

    pub fn nodes_in_zone(&self, zone: usize) -> impl Iterator<Item = usize> {
        (zone..self.limiters.len()).step_by(self.zones)
    }

    /// Sends work to a node and returns whether it was admitted.
    pub fn send(&mut self, node: usize, amount: f64) -> bool {
        self.charge(node, amount).is_ok()
    }

    /// Sends work to a node.
    pub fn charge(&mut self, node: usize, amount: f64) -> Result<(), QuotaExceeded> {
        let charge = self.limiters[node].charge(&self.tenant, amount, self.now)?;
        self.admitted.push((self.now, amount));
        self.unreported[node] = true;
        if charge.is_some_and(|charge| charge.is_urgent) {
            self.urgent.push(node);
        }
        Ok(())
    }

    /// Restarts all gateways at once. They reach no others until the membership is updated.
    pub fn restart_all(&mut self) {
        let nodes = self.limiters.len();
        self.generation += 1;
        self.limiters = (0..nodes).map(|_| (self.new_limiter)(nodes)).collect();
        let isolated = QuotaMembership { reachable: 1, known: nodes, direct: 1 };
        for limiter in &self.limiters {
            limiter.set_membership(isolated, std::slice::from_ref(&self.tenant), self.now);
        }
        self.unreported = vec![true; nodes];
        self.urgent.clear();
    }

    /// Advances by one step. A tenth of the nodes report to their zones, and every tenth step the relays
    /// report to other zones.
    pub fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        let urgent = std::mem::take(&mut self.urgent);
        let is_urgent = !urgent.is_empty();
        for node in urgent {
            self.report_node(node);
        }
        for node in 0..self.limiters.len() {
            if node / self.zones % STEPS_PER_REPORT == self.step % STEPS_PER_REPORT {
                self.report_node(node);
            }
        }
        let urgent_is_due =
            self.urgent_zone_reports && self.step >= self.zone_report_step + STEPS_PER_URGENT_ZONE_REPORT;
        if self.step.is_multiple_of(STEPS_PER_REPORT) || is_urgent && urgent_is_due {
            self.zone_report_step = self.step;
            self.report_zone_sums();
        }
    }

    /// Reports a node's usage to its zone. Nodes that admitted nothing have nothing to report.
    pub fn report_node(&mut self, node: usize) {
        if !std::mem::take(&mut self.unreported[node]) {
            return;
        }
        let usage: HashMap<TenantName, f64> = self.limiters[node].take_report().into_iter().collect();
        let name = NodeId::new(format!("n{node}"));
        for peer in self.nodes_in_zone(self.zone_of(node)).filter(|peer| *peer != node) {
            self.limiters[peer].merge_node_usage(&name, self.generation, usage.clone(), self.now);
        }
    }

    pub fn report_zone_sums(&mut self) {
        for zone in 0..self.zones {
            // The first node of a zone is its relay.
            let sum: HashMap<TenantName, f64> = self.limiters[zone].sum_of_nodes().into_iter().collect();
            let relay = NodeId::new(format!("n{zone}"));
            let name = ZoneName::new(format!("z{zone}"));
            let is_cut = |other: usize| self.cut_off_zone.is_some_and(|cut| cut == zone || cut == other);
            for other in (0..self.zones).filter(|other| *other != zone && !is_cut(*other)) {
                for peer in self.nodes_in_zone(other) {
                    self.limiters[peer].merge_zone_usage(
                        &name,
                        &relay,
                        self.generation,
                        sum.clone(),
                        self.now,
                    );
                }
            }
        }
    }

    /// Updates the quota membership at all nodes.
    pub fn update_membership(&self) {
        let nodes = self.limiters.len();
        let direct = nodes / self.zones;
        for (node, limiter) in self.limiters.iter().enumerate() {
            let reachable = match self.cut_off_zone {
                None => nodes,
                Some(cut) if cut == self.zone_of(node) => direct,
                Some(_) => nodes - direct,
            };
            limiter.set_membership(
                QuotaMembership { reachable, known: nodes, direct },
                std::slice::from_ref(&self.tenant),
                self.now,
            );
        }
    }

    /// The largest amount of work admitted in any window.
    pub fn max_in_window(&self) -> f64 {
        let in_window = |start: Instant| {
            let window = self.admitted.iter().filter(|(at, _)| *at >= start && *at < start + WINDOW);
            window.map(|(_, amount)| amount).sum::<f64>()
        };
        let mut starts: Vec<Instant> = self.admitted.iter().map(|(at, _)| *at).collect();
        starts.dedup();
        starts.into_iter().map(in_window).fold(0.0, f64::max)
    }
}

/// Work that may be admitted in one window.
pub fn bound() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK
}

/// Sends a tenant's work of one step, as long and short prompts to random nodes, and returns the number of
/// refusals. `backlog` is the work that has not been sent yet.
pub fn send_step(
    fleet: &mut Fleet,
    rate: f64,
    backlog: &mut f64,
    random: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<u32> {
    let mut refused = 0;
    *backlog += rate * STEP.as_secs_f64();
    while *backlog > 0.0 {
        let amount = if random.ratio(1, 3)? { LONG } else { SHORT };
        *backlog -= amount;
        let node = random_node(random, fleet.limiters.len())?;
        refused += u32::from(!fleet.send(node, amount));
    }
    Ok(refused)
}

pub fn random_node(random: &mut Unstructured<'_>, nodes: usize) -> arbtest::arbitrary::Result<usize> {
    random.int_in_range(0..=nodes - 1)
}
