//! What engines are wanted, ordered and listed, and what they cost.

use {
    prometheus::{GaugeVec, IntGaugeVec, Opts, core::Collector},
    std::collections::BTreeMap,
    tealshore_capacity::{EngineKind, Observation},
    tealshore_core::ids::HallId,
};

/// Engines by hall and kind, as the host shows them that orders them.
pub struct EngineMetrics {
    /// How many each hall is to have.
    desired: IntGaugeVec,
    /// How many were ordered last.
    ordered: IntGaugeVec,
    /// How many are listed, by whether they take new work.
    listed: IntGaugeVec,
    /// What a second of all listed engines costs.
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

    /// Shows what was seen when orders were decided, and how many engines each hall is to have.
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
                let listed = fleet.of(kind);
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
