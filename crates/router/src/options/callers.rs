//! The `[callers]` section: the bounds of what callers may send and hold.

use {
    std::time::Duration,
    tealshore_core::settings::{Section, SettingError},
};

/// The bounds of what callers may send and hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallersOptions {
    /// Connections at once.
    pub max_connections: usize,
    /// Requests at once.
    pub max_in_flight: u64,
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request may take to arrive.
    pub read_timeout: Duration,
    /// How long callers may keep the addresses that they were told.
    pub keep_addresses: Duration,
    /// How long a generation goes on after its caller went away.
    pub return_grace: Duration,
    /// How long a plain service may take to answer.
    pub plain_timeout: Duration,
}

impl CallersOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key with a value that is not allowed.
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
