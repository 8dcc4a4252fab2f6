//! Versions of the store's rows, in an order that holds across the eras of the store.
//!
//! A store that came back from an older copy gives its versions out again, in another era. So a revision
//! has the era in its high bits: one of a later era is greater than any of an earlier one.

/// A version of the store's rows with the era of the store; it rises with each change. 0 where there is none.
pub type Revision = u64;
/// The store's own version of its rows.
pub type RowNumber = u64;
/// Counts how often the store came back from an older copy of its rows.
pub type StoreEra = u32;

/// The low bits of a revision, which hold the store's own version.
const NUMBER_BITS: u32 = 40;
/// The largest version of the store that a revision holds.
const LARGEST_NUMBER: RowNumber = (1 << NUMBER_BITS) - 1;
/// The last era that a revision holds.
pub const MAX_ERA: StoreEra = (1 << (Revision::BITS - NUMBER_BITS)) - 1;

/// The revision of a version of the store; none where it is too large for one.
#[must_use]
pub fn revision_in(era: StoreEra, number: RowNumber) -> Option<Revision> {
    let fits = era <= MAX_ERA && number <= LARGEST_NUMBER;
    fits.then(|| (Revision::from(era) << NUMBER_BITS) | number)
}

/// The era of a revision.
#[must_use]
pub fn era_of(revision: Revision) -> StoreEra {
    // All bits that are left fit.
    StoreEra::try_from(revision >> NUMBER_BITS).unwrap_or(MAX_ERA)
}

/// The store's own version in a revision: what calls to the store name.
#[must_use]
pub fn number_of(revision: Revision) -> RowNumber {
    revision & LARGEST_NUMBER
}
