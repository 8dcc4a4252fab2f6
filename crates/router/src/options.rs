//! The settings of an entry host, one struct a section.

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
        settings::{Section, SettingError, Settings},
    },
    tealshore_hosts::HostsOptions,
    tealshore_table::TableOptions,
};

/// All settings.
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
    /// Reads a file.
    ///
    /// # Errors
    /// Names the section and key that is not allowed, and what is.
    pub fn load(file: &Path) -> Result<Self, SettingError> {
        let settings = Settings::load(file)?;
        settings.deny_unknown(
            &["host", "callers", "resume", "stop", "table", "hosts", "log"],
            &[],
        )?;
        Ok(Self {
            host: read(&settings, "host", HostOptions::read)?,
            callers: read(&settings, "callers", CallersOptions::read)?,
            resume: read(&settings, "resume", ResumeOptions::read)?,
            stop: read(&settings, "stop", StopOptions::read)?,
            table: read(&settings, "table", TableOptions::read)?,
            hosts: read(&settings, "hosts", HostsOptions::read)?,
            log: read(&settings, "log", LogOptions::read)?,
        })
    }
}

fn read<T>(
    settings: &Settings,
    name: &str,
    read: fn(&mut Section<'_>) -> Result<T, SettingError>,
) -> Result<T, SettingError> {
    let mut section = settings.section(name);
    let options = read(&mut section)?;
    section.deny_unknown()?;
    Ok(options)
}
