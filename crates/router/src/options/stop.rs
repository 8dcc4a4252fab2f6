//! The `[stop]` section: how a planned stop goes.

use {
    std::time::Duration,
    tealshore_core::settings::{Section, SettingError},
};

/// How a planned stop goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// How long running generations may take to end before they are handed over.
    pub drain_timeout: Duration,
}

impl StopOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key with a value that is not allowed.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let drain_timeout =
            section.duration_ms("drain_timeout_ms", Duration::from_secs(120), 0..=3_600_000)?;
        Ok(Self { drain_timeout })
    }
}
