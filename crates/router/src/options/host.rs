//! The `[host]` section: who and where this host is.

use {
    std::net::SocketAddr,
    tealshore_core::{
        ids::{HallId, HostId, SiteId},
        settings::{Section, SettingError},
    },
};

/// The most worker threads.
const MAX_THREADS: u64 = 64;
/// The most engines of one service that a host knows.
const MAX_ENGINE_SUBSET: u64 = 4_096;

/// Who and where this host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOptions {
    /// Its name in the host list.
    pub id: HostId,
    /// Its hall.
    pub hall: HallId,
    /// Its site.
    pub site: SiteId,
    /// Where it takes callers.
    pub callers_address: SocketAddr,
    /// Where it takes its peers.
    pub peers_address: SocketAddr,
    /// Where it shows metrics and health.
    pub operators_address: SocketAddr,
    /// Worker threads.
    pub threads: usize,
    /// How many engines of one service it knows.
    pub engine_subset: usize,
}

impl HostOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key with a value that is not allowed.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        Ok(Self {
            id: section.required("id", "the host's name in the host list")?,
            hall: section.required("hall", "the name of a hall")?,
            site: section.required("site", "the name of a site")?,
            callers_address: section.address("callers_address")?,
            peers_address: section.address("peers_address")?,
            operators_address: section.address("operators_address")?,
            threads: to_usize(section.integer("threads", 2, 1..=MAX_THREADS)?),
            engine_subset: to_usize(section.integer("engine_subset", 48, 1..=MAX_ENGINE_SUBSET)?),
        })
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
