//! What datagrams carry behind the part that every build knows. A build that knows nothing of it skips it, and
//! one that expects more than is there takes the default for what is missing.

use {
    super::message::{Datagram, Unreadable},
    crate::rollout::BadAnswers,
    serde::de::DeserializeOwned,
    tealshore_core::ids::{HallId, HostId},
    tealshore_duties::usage::DecidedUsage,
    tealshore_rates::LimitUpdate,
};

/// The most limits that one datagram carries.
pub const LIMITS_BOUND: usize = 400;

/// What stands behind a datagram. Each field is written by itself, in this order; a new one goes last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extension {
    /// The sender is of a build that lends permits, and reads what is said of limits.
    pub lends: bool,
    /// Limits of upstreams that the sender knows.
    pub limits: Vec<LimitUpdate>,
    /// Of the groups whose digests are passed on, those whose relays are.
    pub lending_groups: Vec<HallId>,
    /// Hosts of the group that is told of, or of those groups, that are not.
    pub not_lending: Vec<HostId>,
    /// How far windows of usage are reported, as the sender wrote or heard it.
    pub decided_usage: Option<DecidedUsage>,
    /// The most bad answers of each version that is tried which the sender heard of.
    pub bad_answers: Vec<BadAnswers>,
}

impl Extension {
    /// Adds what it holds to a datagram's bytes; nothing where it says nothing.
    ///
    /// # Errors
    /// A value can't be written; none of these types has such.
    pub fn write(&self, bytes: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        if *self == Self::default() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.lends, bytes)?;
        let bytes = postcard::to_extend(&self.limits, bytes)?;
        let bytes = postcard::to_extend(&self.lending_groups, bytes)?;
        let bytes = postcard::to_extend(&self.not_lending, bytes)?;
        // What is missing at the end is read as none.
        if self.decided_usage.is_none() && self.bad_answers.is_empty() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(&self.decided_usage, bytes)?;
        if self.bad_answers.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&self.bad_answers, bytes)
    }

    /// Reads a datagram and what stands behind it.
    ///
    /// # Errors
    /// The datagram itself can't be read.
    pub fn read(bytes: &[u8]) -> Result<(Datagram, Self), Unreadable> {
        let (datagram, rest) = Datagram::split(bytes)?;
        let (lends, rest) = next(rest);
        let (limits, rest) = next(rest);
        let (lending_groups, rest) = next(rest);
        let (not_lending, rest) = next(rest);
        let (decided_usage, rest) = next(rest);
        let (bad_answers, _) = next(rest);
        let extension = Self {
            lends,
            limits,
            lending_groups,
            not_lending,
            decided_usage,
            bad_answers,
        };
        Ok((datagram, extension))
    }
}

/// The next value, or its default where there is none that can be read.
fn next<T: DeserializeOwned + Default>(bytes: &[u8]) -> (T, &[u8]) {
    postcard::take_from_bytes(bytes).unwrap_or_else(|_| (T::default(), &[]))
}
