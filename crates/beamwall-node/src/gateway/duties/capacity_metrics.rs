//! Gauges of the capacity plan, set by the node that holds the duties lease.

use beamwall_gateway::scaling::{SupplyOutlook, ZoneSupply};
use beamwall_gateway::sizing::Needed;
use beamwall_model::ServiceName;
use prometheus::{GaugeVec, Opts, Registry};

/// Gauges of the capacity plan by service and zone.
#[derive(Clone)]
pub struct CapacityMetrics {
    needed: GaugeVec,
    forecast: GaugeVec,
    room: GaugeVec,
    on_demand_ordered: GaugeVec,
}

impl CapacityMetrics {
    /// Registers the gauges.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let add = |name: &str, help: &str, labels: &[&str]| {
            let gauge = GaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            needed: add(
                "beamwall_gateway_capacity_needed",
                "back ends that a service needs: usual, with substitutes, after the next loss",
                &["service", "kind"],
            )?,
            forecast: add(
                "beamwall_gateway_capacity_forecast_requests",
                "requests a second for which back ends are planned",
                &["service"],
            )?,
            room: add(
                "beamwall_gateway_capacity_reclaimable_room",
                "capacity of the reclaimable back ends that stay, in standard back ends",
                &["service", "zone"],
            )?,
            on_demand_ordered: add(
                "beamwall_gateway_capacity_on_demand_ordered",
                "on-demand back ends ordered, substitutes for reclaimable ones included",
                &["service", "zone"],
            )?,
        })
    }

    /// Sets the gauges of a service's needs.
    pub(super) fn set_needs(&self, service: &ServiceName, needed: Needed, forecast_requests: f64) {
        let kinds =
            [("usual", needed.usual), ("standing_in", needed.standing_in), ("after_loss", needed.after_loss)];
        for (kind, count) in kinds {
            self.needed.with_label_values(&[service.as_str(), kind]).set(f64::from(count));
        }
        self.forecast.with_label_values(&[service.as_str()]).set(forecast_requests);
    }

    /// Sets the gauges of a service's supply.
    pub(super) fn set_supply(&self, service: &ServiceName, zones: &[ZoneSupply], outlook: &SupplyOutlook) {
        for supply in zones {
            let labels = [service.as_str(), supply.zone.as_str()];
            self.room.with_label_values(&labels).set(outlook.room_of(supply));
            let ordered = f64::from(supply.on_demand_ordered);
            self.on_demand_ordered.with_label_values(&labels).set(ordered);
        }
    }

    /// Removes all values: another node plans now, or none does.
    pub(super) fn clear(&self) {
        for gauge in [&self.needed, &self.forecast, &self.room, &self.on_demand_ordered] {
            gauge.reset();
        }
    }
}
