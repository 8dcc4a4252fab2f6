//! The random pause before a stream that lost its engine is placed again.

use {rand::RngExt, std::time::Duration};

/// The longest pause per host: the more hosts, the longer the time over which they place the
/// streams that lost their engines.
const STAGGER_PER_HOST: Duration = Duration::from_millis(2);
/// The upper bound of the pause, a small part of any objective.
const MAX_STAGGER: Duration = Duration::from_millis(200);

/// Returns a random pause. Its range grows with the number of hosts that may place streams at the
/// same instant.
pub fn stagger(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let longest = STAGGER_PER_HOST.saturating_mul(hosts).min(MAX_STAGGER);
    longest.mul_f64(rand::rng().random())
}
