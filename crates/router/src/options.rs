//! Settings of an entry host, one struct per section.

pub mod args;
mod callers;
mod host;
mod resume;
mod stop;

pub use {callers::CallersOptions, host::HostOptions, resume::ResumeOptions, stop::StopOptions};
use {
    std::path::Path,
    tealshore_core::{
        logs::LogOptions,
        settings::{SettingError, Settings},
    },
    tealshore_hosts::HostsOptions,
    tealshore_table::TableOptions,
};

/// All settings of an entry host.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// `[host]`
    pub host: HostOptions,
    /// `[callers]`
    pub callers: CallersOptions,
    /// `[resume]`
    pub resume: ResumeOptions,
    /// `[stop]`
    pub stop: StopOptions,
    /// `[table]`
    pub table: TableOptions,
    /// `[hosts]`
    pub hosts: HostsOptions,
    /// `[log]`
    pub log: LogOptions,
}

impl RouterOptions {
    /// Loads the settings from a file.
    ///
    /// # Errors
    /// Returns an error that names the invalid section or key and the allowed values.
    pub fn load(file: &Path) -> Result<Self, SettingError> {
        let settings = Settings::load(file)?;
        settings.deny_unknown(
            &["host", "callers", "resume", "stop", "table", "hosts", "log"],
            &[],
        )?;
        Ok(Self {
            host: settings.read_section("host", HostOptions::read)?,
            callers: settings.read_section("callers", CallersOptions::read)?,
            resume: settings.read_section("resume", ResumeOptions::read)?,
            stop: settings.read_section("stop", StopOptions::read)?,
            table: settings.read_section("table", TableOptions::read)?,
            hosts: settings.read_section("hosts", HostsOptions::read)?,
            log: settings.read_section("log", LogOptions::read)?,
        })
    }
}
