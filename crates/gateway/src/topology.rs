//! Distances between halls, derived from the regions that they are in.
//!
//! Decisions ask for a distance and don't deal with regions. The mapping is a setting, so it is available from the
//! start and without the store. No guarantee depends on it: a wrong entry only costs latency and bytes.

use {
    std::collections::{BTreeMap, BTreeSet},
    tealshore_core::{
        ids::{HallId, RegionId},
        settings::{Section, SettingError},
    },
};

/// Minimum share of hosts that a region needs to serve its callers alone, relative to an even division of all hosts
/// among the regions. At one half, no host gets more than twice its load.
const MIN_REGION_SHARE: f64 = 0.5;

/// Distance between two halls, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Both are the same hall.
    SameHall,
    /// Different halls of one region.
    SameRegion,
    /// Halls of different regions.
    OtherRegion,
}

impl Distance {
    /// Name of the distance in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SameHall => "hall",
            Self::SameRegion => "region",
            Self::OtherRegion => "elsewhere",
        }
    }
}

/// The region of each hall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<HallId, RegionId>,
}

impl Topology {
    /// Creates a topology from the region of each hall.
    #[must_use]
    pub fn new(regions: BTreeMap<HallId, RegionId>) -> Self {
        Self { regions }
    }

    /// Reads the section `[halls]`, which has a line `HALL = REGION` for each hall.
    ///
    /// # Errors
    /// Names the hall that has no region, or more than one.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        const ALLOWED: &str = "the name of one region for each hall";
        let mut regions = BTreeMap::new();
        for (hall, region) in section.entries() {
            let before = regions.insert(hall.to_owned(), region.to_owned());
            if region.is_empty() || before.is_some_and(|before| before != region) {
                return Err(section.bad_value(hall, region, ALLOWED));
            }
        }
        Ok(Self::new(regions))
    }

    /// Returns the distance between two halls. A hall without a known region counts as one of the same region: this
    /// applies to all halls if no regions are set, and keeps a new hall in use.
    #[must_use]
    pub fn distance(&self, hall: &str, other: &str) -> Distance {
        if hall == other {
            return Distance::SameHall;
        }
        match (self.regions.get(hall), self.regions.get(other)) {
            (Some(region), Some(other)) if region != other => Distance::OtherRegion,
            (Some(_) | None, Some(_) | None) => Distance::SameRegion,
        }
    }

    /// Returns the hosts that are near a hall if they are enough to serve its callers alone, and all hosts otherwise.
    #[must_use]
    pub fn same_region_or_all<T>(&self, hall: &HallId, hosts: Vec<(HallId, T)>) -> Vec<T> {
        let is_same_region =
            |host: &(HallId, T)| self.distance(hall, &host.0) != Distance::OtherRegion;
        let same_region = hosts.iter().filter(|host| is_same_region(host)).count();
        let are_enough = to_f64(same_region) >= self.region_share(hosts.len()) * MIN_REGION_SHARE;
        let selected = hosts
            .into_iter()
            .filter(|host| !are_enough || is_same_region(host));
        selected.map(|(_, host)| host).collect()
    }

    /// The number of hosts that each region would have if they were divided evenly.
    fn region_share(&self, hosts: usize) -> f64 {
        let regions: BTreeSet<&RegionId> = self.regions.values().collect();
        to_f64(hosts) / to_f64(regions.len().max(1))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of hosts are far below 2^52"
)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
