//! Metrics of the admission to groups of engines.

use beamwall_admission::{AdmissionController, Decision};
use beamwall_model::ServiceName;
use prometheus::{GaugeVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Label of requests that were admitted.
const ADMITTED: &str = "admitted";

/// Metrics of the admission to the groups whose requests a node places, by service.
pub struct AdmissionMetrics {
    /// First tries by decision: admitted, or the reason of the rejection.
    first_tries: IntCounterVec,
    /// Returns to a reservation by decision.
    returns: IntCounterVec,
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
        let first_tries = counter(
            "beamwall_gateway_admissions_total",
            "requests that this node decided about as the placing node of a group, by service and decision",
        )?;
        let returns = counter(
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
        registry.register(Box::new(first_tries.clone()))?;
        registry.register(Box::new(returns.clone()))?;
        registry.register(Box::new(water_level.clone()))?;
        registry.register(Box::new(tenants.clone()))?;
        registry.register(Box::new(reservations.clone()))?;
        Ok(Self { first_tries, returns, water_level, tenants, reservations })
    }

    /// Records a decision and the state of the group.
    pub fn note(&self, service: &ServiceName, decision: &Decision, controller: &AdmissionController) {
        let (label, is_return) = match decision {
            Decision::Admitted { is_return } => (ADMITTED, *is_return),
            Decision::Rejected { rejection, is_return } => (rejection.reason.as_str(), *is_return),
        };
        let counter = if is_return { &self.returns } else { &self.first_tries };
        let service = service.as_str();
        counter.with_label_values(&[service, label]).inc();
        let level = Some(controller.shares().water_level()).filter(|level| level.is_finite());
        self.water_level.with_label_values(&[service]).set(level.unwrap_or(0.0));
        self.tenants.with_label_values(&[service]).set(controller.shares().tenants() as i64);
        self.reservations.with_label_values(&[service]).set(controller.reservations() as i64);
    }
}
