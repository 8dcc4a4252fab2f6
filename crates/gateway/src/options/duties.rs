//! `[duties]`: tasks that one host at a time, the holder of a lease, performs for the deployment.

use {
    super::{MAX_TIME_MS, number},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::settings::{Section, SettingError},
    tealshore_duties::{lease::LeaseTiming, usage::UsageTiming},
};

/// A task of the lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Reports customers' usage.
    ReportUsage,
    /// Orders engines.
    OrderEngines,
}

impl Duty {
    /// Returns the duty's name in the settings.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ReportUsage => "usage_report",
            Self::OrderEngines => "autoscale",
        }
    }

    fn read_all(section: &mut Section<'_>) -> Result<Vec<Self>, SettingError> {
        const ALLOWED: &str = "usage_report, autoscale or both, comma-separated";
        let text = section.text("perform", "");
        let names = text
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty());
        names
            .map(|name| {
                let all = [Self::ReportUsage, Self::OrderEngines];
                let duty = all.into_iter().find(|duty| duty.name() == name);
                duty.ok_or_else(|| section.bad_value("perform", name, ALLOWED))
            })
            .collect()
    }
}

/// Duties of the deployment, and their timing.
#[derive(Clone, Debug)]
pub struct DutyOptions {
    /// Address of the platform's API for the duties' calls.
    pub address: SocketAddr,
    /// Duties to perform.
    pub duties: Vec<Duty>,
    /// Timing of the lease.
    pub lease: LeaseTiming,
    /// Length of the usage windows, and the time within which each is reported.
    pub usage: UsageTiming,
}

/// The shortest lease, in milliseconds: the holder renews it three times within its duration, and
/// the store may take some hundred milliseconds to answer.
const MIN_LEASE_MS: u64 = 200;

impl DutyOptions {
    /// Reads the section; `None` if it names neither an address nor a duty.
    pub(super) fn read(section: &mut Section<'_>) -> Result<Option<Self>, SettingError> {
        let duties = Duty::read_all(section)?;
        let lease_range = MIN_LEASE_MS..=MAX_TIME_MS;
        let lease = section.duration_ms("lease_ms", Duration::from_secs(3), lease_range)?;
        let window_s = number(section, "window_s", 60.0)?;
        let due_s = number(section, "report_within_s", 60.0)?;
        if section.optional("address").is_none() && duties.is_empty() {
            return Ok(None);
        }
        if window_s <= 0.0 {
            let allowed = "a number of seconds above 0";
            return Err(section.bad_value("window_s", &window_s.to_string(), allowed));
        }
        Ok(Some(Self {
            address: section.address("address")?,
            duties,
            lease: LeaseTiming::of(lease),
            usage: UsageTiming {
                window: Duration::from_secs_f64(window_s),
                due: Duration::from_secs_f64(due_s),
            },
        }))
    }
}
