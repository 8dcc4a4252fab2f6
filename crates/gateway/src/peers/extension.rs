//! Data appended to a datagram after the part that every build can decode. A build that doesn't know the
//! extension ignores it; a build that expects more fields than are present uses the default for the missing
//! ones.

use {
    super::message::{Datagram, Unreadable},
    crate::{
        edge::{Revision, StoreTime},
        rollout::BadAnswers,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    tealshore_core::ids::{ConfigVersion, HallId, HostId, ServiceId},
    tealshore_duties::usage::DecidedUsage,
    tealshore_quarantine::parts::news::PartCrashReport,
    tealshore_rates::LimitUpdate,
    tealshore_runs::RunOrigin,
};

/// Maximum number of limits in a datagram.
pub const MAX_DATAGRAM_LIMITS: usize = 400;

/// What a host tells of its configuration after the store was restored from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The version in force.
    pub version: ConfigVersion,
    /// The revision from which on the store's configuration is complete, as far as the sender knows.
    pub recovery_point: Revision,
    /// The store time as of which the version in force was known to be the newest; `None` if it never was.
    pub confirmed: Option<StoreTime>,
}

/// The data appended to a datagram. Each field is encoded separately, in this order; new fields are added at
/// the end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extension {
    /// Whether the sender runs a build that lends permits and reads limits.
    pub lends: bool,
    /// Upstream limits known to the sender.
    pub limits: Vec<LimitUpdate>,
    /// Those groups among the forwarded digests whose relays lend permits.
    pub lending_groups: Vec<HallId>,
    /// Hosts of the reported group, or of the groups whose digests are forwarded, that don't lend permits.
    pub not_lending: Vec<HostId>,
    /// How far usage windows have been reported, as written or received by the sender.
    pub decided_usage: Option<DecidedUsage>,
    /// The highest number of bad answers known to the sender, for each version under trial.
    pub bad_answers: Vec<BadAnswers>,
    /// The services from whose upstreams the sender is cut off; `None` if it offers no tunnels, or if nothing changed.
    pub cut_off_services: Option<Vec<ServiceId>>,
    /// Crashes that parts of prompts may have caused, as known to the sender.
    pub part_crashes: Vec<PartCrashReport>,
    /// The origins of the runs in the datagram, in the same order.
    pub run_origins: Vec<Option<RunOrigin>>,
    /// The sender's configuration; `None` if the store was never restored.
    pub configuration: Option<ConfigurationReport>,
}

impl Extension {
    /// Appends the extension to the bytes of a datagram, unless all fields have their defaults.
    ///
    /// # Errors
    /// Returns an error if a value can't be serialized, which does not occur for these types.
    pub fn write(&self, bytes: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        if *self == Self::default() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.lends, bytes)?;
        let bytes = postcard::to_extend(&self.limits, bytes)?;
        let bytes = postcard::to_extend(&self.lending_groups, bytes)?;
        let bytes = postcard::to_extend(&self.not_lending, bytes)?;
        // Missing trailing fields are decoded as their defaults.
        let has_configuration = self.configuration.is_some();
        let has_run_origins = has_configuration || !self.run_origins.is_empty();
        let has_part_crashes = has_run_origins || !self.part_crashes.is_empty();
        let has_paths = has_part_crashes || self.cut_off_services.is_some();
        let has_bad_answers = has_paths || !self.bad_answers.is_empty();
        if self.decided_usage.is_none() && !has_bad_answers {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.decided_usage, bytes)?;
        if !has_bad_answers {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.bad_answers, bytes)?;
        if !has_paths {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.cut_off_services, bytes)?;
        if !has_part_crashes {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.part_crashes, bytes)?;
        if !has_run_origins {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.run_origins, bytes)?;
        if !has_configuration {
            return Ok(bytes);
        }
        postcard::to_extend(&self.configuration, bytes)
    }

    /// Decodes a datagram and its extension.
    ///
    /// # Errors
    /// Returns an error if the datagram itself can't be decoded.
    pub fn read(bytes: &[u8]) -> Result<(Datagram, Self), Unreadable> {
        let (datagram, rest) = Datagram::split(bytes)?;
        let (lends, rest) = next(rest);
        let (limits, rest) = next(rest);
        let (lending_groups, rest) = next(rest);
        let (not_lending, rest) = next(rest);
        let (decided_usage, rest) = next(rest);
        let (bad_answers, rest) = next(rest);
        let (cut_off_services, rest) = next(rest);
        let (part_crashes, rest) = next(rest);
        let (run_origins, rest) = next(rest);
        let (configuration, _) = next(rest);
        let extension = Self {
            lends,
            limits,
            lending_groups,
            not_lending,
            decided_usage,
            bad_answers,
            cut_off_services,
            part_crashes,
            run_origins,
            configuration,
        };
        Ok((datagram, extension))
    }
}

/// Decodes the next value, or returns its default if none can be decoded.
fn next<T: DeserializeOwned + Default>(bytes: &[u8]) -> (T, &[u8]) {
    postcard::take_from_bytes(bytes).unwrap_or_else(|_| (T::default(), &[]))
}
