//! The `[callers]` section: limits and timeouts for callers.

use {
    std::time::Duration,
    tealshore_core::settings::{Section, SettingError},
};

/// Limits and timeouts for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallersOptions {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of requests in flight.
    pub max_in_flight: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request body may take to arrive.
    pub read_timeout: Duration,
    /// How long callers may cache the addresses of entry hosts.
    pub keep_addresses: Duration,
    /// How long a generation continues after its caller disconnected.
    pub return_grace: Duration,
    /// How long a plain service may take to respond.
    pub plain_timeout: Duration,
}

impl CallersOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let to_usize = |number: u64| usize::try_from(number).unwrap_or(usize::MAX);
        Ok(Self {
            max_connections: to_usize(section.integer("max_connections", 4_000, 1..=100_000)?),
            max_in_flight: section.integer("max_in_flight", 2_000, 1..=100_000)?,
            max_body_bytes: to_usize(section.integer(
                "max_body_bytes",
                4_194_304,
                1_024..=67_108_864,
            )?),
            read_timeout: section.duration_ms(
                "read_timeout_ms",
                Duration::from_secs(10),
                10..=600_000,
            )?,
            keep_addresses: section.duration_ms(
                "keep_addresses_ms",
                Duration::from_secs(10),
                100..=3_600_000,
            )?,
            return_grace: section.duration_ms(
                "return_grace_ms",
                Duration::from_secs(5),
                0..=600_000,
            )?,
            plain_timeout: section.duration_ms(
                "plain_timeout_ms",
                Duration::from_secs(3),
                10..=600_000,
            )?,
        })
    }
}
