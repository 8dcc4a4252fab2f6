//! The pause before a stream that lost its engine is placed anew.

use {rand::RngExt, std::time::Duration};

/// Streams that lost their engines are placed anew within this time for each host.
const STAGGER_PER_HOST: Duration = Duration::from_millis(2);
/// The most that this adds to a stream's wait, a small part of any objective.
const MAX_STAGGER: Duration = Duration::from_millis(200);

/// A random pause, longer where more hosts may place streams in the same instant.
pub fn stagger(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let longest = STAGGER_PER_HOST.saturating_mul(hosts).min(MAX_STAGGER);
    longest.mul_f64(rand::rng().random())
}
