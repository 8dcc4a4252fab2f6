//! What the head of an answer says of a limit.

/// Whether an upstream named in an answer how many requests a second it takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// It did not.
    #[default]
    No,
    /// It did: a finite number that is not negative.
    PerSecond(f64),
    /// It did; how many can't be read.
    Unreadable,
}
