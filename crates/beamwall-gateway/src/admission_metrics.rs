//! Metrics of the admission to groups of engines.

use beamwall_admission::{AdmissionController, Decision};
use beamwall_model::ServiceName;
use prometheus::{GaugeVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Label of requests that were admitted.
const ADMITTED: &str = "admitted";

/// Metrics of the admission to the groups whose requests a node places, by service.
pub struct AdmissionMetrics {
    /// Decisions, one for each group queried, returns to a reservation excepted: admitted, or the reason of the
    /// rejection.
    decisions: IntCounterVec,
    /// Returns to a reservation by decision.
    return_decisions: IntCounterVec,
    /// Engines per unit of weight that a tenant may use, in the group asked last; 0 while all demand is served.
    water_level: GaugeVec,
    /// Tenants that share the group asked last.
    tenants: IntGaugeVec,
    /// Reservations of the group asked last.
    reservations: IntGaugeVec,
}

impl AdmissionMetrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter =
            |name: &str, help: &str| IntCounterVec::new(Opts::new(name, help), &["service", "decision"]);
        let gauge = |name: &str, help: &str| IntGaugeVec::new(Opts::new(name, help), &["service"]);
        let decisions = counter(
            "beamwall_gateway_admissions_total",
            "admission decisions as placement node, one per group queried, returns to a reservation excepted",
        )?;
        let return_decisions = counter(
            "beamwall_gateway_admission_returns_total",
            "returns of rejected requests at their time, by service and decision",
        )?;
        let water_level = GaugeVec::new(
            Opts::new(
                "beamwall_gateway_admission_share_engines",
                "engines per unit of weight that a tenant may use; 0 while all demand is served",
            ),
            &["service"],
        )?;
        let tenants = gauge("beamwall_gateway_admission_tenants", "tenants that share a group of engines")?;
        let reservations = gauge(
            "beamwall_gateway_admission_reservations",
            "rejected requests that were promised capacity",
        )?;
        registry.register(Box::new(decisions.clone()))?;
        registry.register(Box::new(return_decisions.clone()))?;
        registry.register(Box::new(water_level.clone()))?;
        registry.register(Box::new(tenants.clone()))?;
        registry.register(Box::new(reservations.clone()))?;
        Ok(Self { decisions, return_decisions, water_level, tenants, reservations })
    }

    /// Records a decision and the state of the group.
    pub fn note(&self, service: &ServiceName, decision: &Decision, controller: &AdmissionController) {
        let (label, is_return) = match decision {
            Decision::Admitted { is_return } => (ADMITTED, *is_return),
            Decision::Rejected { rejection, is_return } => (rejection.reason.as_str(), *is_return),
        };
        let counter = if is_return { &self.return_decisions } else { &self.decisions };
        let service = service.as_str();
        counter.with_label_values(&[service, label]).inc();
        let level = Some(controller.shares().water_level()).filter(|level| level.is_finite());
        self.water_level.with_label_values(&[service]).set(level.unwrap_or(0.0));
        self.tenants.with_label_values(&[service]).set(controller.shares().tenants() as i64);
        self.reservations.with_label_values(&[service]).set(controller.reservations() as i64);
    }
}
