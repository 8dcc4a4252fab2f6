//! Metrics of desired, ordered and listed engines, and their cost.

use {
    prometheus::{GaugeVec, IntGaugeVec, Opts, core::Collector},
    std::collections::BTreeMap,
    tealshore_capacity::{EngineKind, Observation},
    tealshore_core::ids::HallId,
};

/// Gauges of engines by service, hall and kind, set by the host that orders engines.
pub struct EngineMetrics {
    /// Engines that each hall should have.
    desired: IntGaugeVec,
    /// Engines in the latest order.
    ordered: IntGaugeVec,
    /// Listed engines, by whether they accept new work.
    listed: IntGaugeVec,
    /// Cost of all listed engines per second.
    cost: GaugeVec,
}

impl EngineMetrics {
    pub(super) fn new() -> Result<Self, prometheus::Error> {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels)
        };
        Ok(Self {
            desired: gauges(
                "tealshore_engines_wanted",
                "Engines that a hall is to have",
                &["service", "hall"],
            )?,
            ordered: gauges(
                "tealshore_engines_ordered",
                "Engines that were ordered last",
                &["service", "hall", "kind"],
            )?,
            listed: gauges(
                "tealshore_engines_listed",
                "Engines that are listed",
                &["service", "hall", "kind", "state"],
            )?,
            cost: GaugeVec::new(
                Opts::new(
                    "tealshore_engines_cost_per_second",
                    "What a second of the listed engines costs",
                ),
                &["service"],
            )?,
        })
    }

    pub(super) fn collectors(&self) -> [Box<dyn Collector>; 4] {
        [
            Box::new(self.desired.clone()),
            Box::new(self.ordered.clone()),
            Box::new(self.listed.clone()),
            Box::new(self.cost.clone()),
        ]
    }

    /// Sets the gauges from the observation that orders were decided on, and from the number of
    /// engines that each hall should have.
    pub fn show(&self, observation: &Observation<'_>, desired: &BTreeMap<HallId, u32>) {
        let service = observation.service.as_str();
        for (hall, size) in desired {
            let gauge = self.desired.with_label_values(&[service, hall]);
            gauge.set(i64::from(*size));
        }
        for order in observation.ordered {
            let labels = [service, order.hall.as_str(), order.kind.name()];
            let gauge = self.ordered.with_label_values(&labels);
            gauge.set(i64::from(order.engines));
        }
        let mut cost = 0.0;
        for (hall, fleet) in observation.fleet {
            for kind in EngineKind::ALL {
                let listed = fleet.engines(kind);
                let states = [("serving", listed.serving), ("leaving", listed.leaving)];
                for (state, engines) in states {
                    let labels = [service, hall.as_str(), kind.name(), state];
                    let gauge = self.listed.with_label_values(&labels);
                    gauge.set(i64::from(engines));
                    cost += f64::from(engines) * observation.scaling.price(hall, kind);
                }
            }
        }
        self.cost.with_label_values(&[service]).set(cost);
    }
}
