//! `[engine_orders]`: whether this system orders engines, and its sizing policy.

use {
    super::{MAX_TIME_MS, flag, number},
    std::time::Duration,
    tealshore_capacity::{Policy, Sizing},
    tealshore_core::settings::{Section, SettingError},
};

/// Default number of on-demand engines per hall, so that no hall is ever without engines. More of
/// them add little: one costs as much as four or five preemptible engines, and the preemptible
/// engines of the other halls cover the loss of a hall.
const DEFAULT_MIN_ON_DEMAND: u64 = 1;
/// The largest number of engines per hall allowed in a setting.
const MAX_ENGINES: u64 = 100_000;
/// Default reserve for bursts, as a fraction of the demand measured over ten seconds. Traffic that
/// varies by a quarter, with short bursts of 1.8 times its rate, exceeds its ten-second mean by
/// about a half.
const DEFAULT_RESERVE: f64 = 0.5;
/// Default time for which demand must stay low before engines are removed: several periods of
/// traffic that varies in waves of ten seconds.
const DEFAULT_SHRINK_AFTER: Duration = Duration::from_secs(30);

/// Whether and how this system orders engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrderOptions {
    /// Whether engines are ordered, for services whose configuration allows it.
    pub is_on: bool,
    /// Policy for the number of engines to order.
    pub policy: Policy,
}

impl EngineOrderOptions {
    pub(super) fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let range = 1..=MAX_TIME_MS;
        let sizing = section.choice("sizing", "utilisation", &["utilisation", "queueing-delay"])?;
        let min_on_demand =
            section.integer("least_on_demand", DEFAULT_MIN_ON_DEMAND, 0..=MAX_ENGINES)?;
        Ok(Self {
            is_on: section.choice("orders", "on", &["on", "off"])? == "on",
            policy: Policy {
                least_on_demand: u32::try_from(min_on_demand).unwrap_or(u32::MAX),
                reserve: number(section, "reserve", DEFAULT_RESERVE)?,
                sizing: if sizing == "queueing-delay" {
                    Sizing::QueueingDelay
                } else {
                    Sizing::Utilisation
                },
                spare_hall: flag(section, "spare_hall", true)?,
                shrink_after: section.duration_ms(
                    "shrink_after_ms",
                    DEFAULT_SHRINK_AFTER,
                    range,
                )?,
            },
        })
    }
}
