//! The `[stop]` section: the planned stop.

use {
    std::time::Duration,
    tealshore_core::settings::{Section, SettingError},
};

/// Settings of the planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// How long running requests may take to finish before they are handed over.
    pub drain_timeout: Duration,
}

impl StopOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let drain_timeout =
            section.duration_ms("drain_timeout_ms", Duration::from_secs(120), 0..=3_600_000)?;
        Ok(Self { drain_timeout })
    }
}
