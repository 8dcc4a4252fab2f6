//! How far halls lie from each other, by the regions that they lie in.
//!
//! Decisions ask for a distance and know no regions. It is a setting, so it is known from the start
//! and without the store, and no promise depends on it: a wrong one costs way and bytes.

use {
    std::collections::{BTreeMap, BTreeSet},
    tealshore_core::{
        ids::{HallId, RegionId},
        settings::{Section, SettingError},
    },
};

/// The least part of its share that a near place must have to be used alone. Callers are told the
/// hosts near them only while these have half of the hosts that an even division would give them, so
/// that none gets more than twice its load.
const LEAST_PART_OF_SHARE: f64 = 0.5;

/// How far two places are from each other; the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// They are in the same hall.
    SameHall,
    /// They are in two halls of one region.
    SameRegion,
    /// They are in two regions.
    OtherRegion,
}

impl Distance {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SameHall => "hall",
            Self::SameRegion => "region",
            Self::OtherRegion => "elsewhere",
        }
    }
}

/// Which region each hall lies in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    regions: BTreeMap<HallId, RegionId>,
}

impl Topology {
    /// The halls and their regions.
    #[must_use]
    pub fn new(regions: BTreeMap<HallId, RegionId>) -> Self {
        Self { regions }
    }

    /// Reads the section `[halls]`, a line `HALL = REGION` for each hall.
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

    /// How far two halls are from each other. One that is not known counts as one of the same
    /// region: all halls do where no regions are known, and a new hall is not shunned.
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

    /// Of places in several halls, those near a hall, while they are enough to be used alone; or
    /// else all.
    #[must_use]
    pub fn near<T>(&self, hall: &HallId, places: Vec<(HallId, T)>) -> Vec<T> {
        let is_near = |place: &(HallId, T)| self.distance(hall, &place.0) != Distance::OtherRegion;
        let near = places.iter().filter(|place| is_near(place)).count();
        let are_enough = to_f64(near) >= self.region_share(places.len()) * LEAST_PART_OF_SHARE;
        let kept = places
            .into_iter()
            .filter(|place| !are_enough || is_near(place));
        kept.map(|(_, place)| place).collect()
    }

    /// How many of so many places each region would have if it had as many as the others.
    fn region_share(&self, places: usize) -> f64 {
        let regions: BTreeSet<&RegionId> = self.regions.values().collect();
        to_f64(places) / to_f64(regions.len().max(1))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of hosts are far below 2^52"
)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
