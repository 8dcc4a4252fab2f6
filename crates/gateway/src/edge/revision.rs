//! Revisions of the store's rows, ordered across the eras of the store.
//!
//! A store that was restored from an older copy assigns the same version numbers again, in a new era. A revision
//! therefore holds the era in its high bits: any revision of a later era is greater than all of earlier ones.

/// A version number of the store together with its era. It increases with each change; 0 stands for none.
pub type Revision = u64;
/// A version number that the store assigned to its rows, without the era.
pub type RowVersion = u64;
/// The number of times that the store was restored from an older copy.
pub type StoreEra = u32;

/// The number of low bits of a revision, which hold the store's version number.
const NUMBER_BITS: u32 = 40;
/// The largest version number that fits into a revision.
const MAX_ROW_NUMBER: RowVersion = (1 << NUMBER_BITS) - 1;
/// The largest era that fits into a revision.
pub const MAX_ERA: StoreEra = (1 << (Revision::BITS - NUMBER_BITS)) - 1;

/// Combines an era and a version number into a revision; `None` if either is too large.
#[must_use]
pub fn revision_in(era: StoreEra, number: RowVersion) -> Option<Revision> {
    let fits = era <= MAX_ERA && number <= MAX_ROW_NUMBER;
    fits.then(|| (Revision::from(era) << NUMBER_BITS) | number)
}

/// Returns the era of a revision.
#[must_use]
pub fn era_of(revision: Revision) -> StoreEra {
    // The remaining bits always fit.
    StoreEra::try_from(revision >> NUMBER_BITS).unwrap_or(MAX_ERA)
}

/// Returns the version number of a revision, which calls to the store use.
#[must_use]
pub fn row_number_of(revision: Revision) -> RowVersion {
    revision & MAX_ROW_NUMBER
}
