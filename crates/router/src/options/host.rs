//! The `[host]` section: identity, location and addresses of this host.

use {
    std::net::SocketAddr,
    tealshore_core::{
        ids::{HallId, HostId, SiteId},
        settings::{Section, SettingError},
    },
};

/// Maximum number of worker threads.
const MAX_THREADS: u64 = 64;
/// Maximum number of engines of one service that a host knows.
const MAX_ENGINE_SUBSET: u64 = 4_096;

/// Identity, location and addresses of this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOptions {
    /// Host id, as in the host list.
    pub id: HostId,
    /// Hall of the host.
    pub hall: HallId,
    /// Site of the host.
    pub site: SiteId,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for other entry hosts.
    pub peers_address: SocketAddr,
    /// Listen address for metrics, health and status.
    pub operators_address: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// Number of engines of one service that the host knows.
    pub engine_subset: usize,
}

impl HostOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
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
