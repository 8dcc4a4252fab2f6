//! `[engine_orders]`: whether engines are ordered, and how many are kept in reserve.

use {
    super::{MAX_TIME_MS, flag, number},
    std::time::Duration,
    tealshore_capacity::{Policy, Sizing},
    tealshore_core::settings::{Section, SettingError},
};

/// Engines a hall that are never preemptible, unless the settings say, so that none is ever empty. More
/// of them carry little: one costs as much as four or five preemptible ones, and those of the other
/// halls bear the loss of a hall.
const DEFAULT_LEAST_ON_DEMAND: u64 = 1;
/// The most that a setting may ask for in a hall.
const MAX_ENGINES: u64 = 100_000;
/// The part by which bursts exceed what was measured over ten seconds, unless the settings say: traffic
/// that swings by a quarter, with short bursts of 1.8 times as much, exceeds its mean of ten seconds by
/// about a half.
const DEFAULT_RESERVE: f64 = 0.5;
/// How long less work must last before engines go for good, unless the settings say: several turns of
/// traffic that comes in waves of ten seconds.
const DEFAULT_SHRINK_AFTER: Duration = Duration::from_secs(30);

/// Whether and how engines are ordered.
#[derive(Clone, Copy, Debug)]
pub struct EngineOrderOptions {
    /// Whether they are, where the deployment lets this system do so.
    pub is_on: bool,
    /// How many.
    pub policy: Policy,
}

impl EngineOrderOptions {
    pub(super) fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let range = 1..=MAX_TIME_MS;
        let sizing = section.choice("sizing", "utilisation", &["utilisation", "queueing-delay"])?;
        let least = section.integer("least_on_demand", DEFAULT_LEAST_ON_DEMAND, 0..=MAX_ENGINES)?;
        Ok(Self {
            is_on: section.choice("orders", "on", &["on", "off"])? == "on",
            policy: Policy {
                least_on_demand: u32::try_from(least).unwrap_or(u32::MAX),
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
