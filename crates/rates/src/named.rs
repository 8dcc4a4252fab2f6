//! The limit in the headers of an answer.

/// The limit that an upstream advertises in an answer: how many requests per second it accepts from all hosts
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The answer names no limit.
    #[default]
    No,
    /// The limit, a finite and non-negative number of requests per second.
    PerSecond(f64),
    /// The answer names a limit that cannot be parsed.
    Unreadable,
}
