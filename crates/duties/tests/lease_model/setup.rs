//! The parameters of a search: times, faults and mutants.

use {
    std::{
        sync::LazyLock,
        time::{Duration, Instant},
    },
    tealshore_duties::lease::LeaseTiming,
};

/// A time of the model. One tick is a quarter of the lease's length.
pub type Tick = u32;

pub const TICK: Duration = Duration::from_secs(1);
/// The length of the lease.
pub const LENGTH: Tick = 4;
/// How long after the end of its tenure a call may still arrive.
pub const CALL_DELAY: Tick = 1;
/// Time within which a process must hold the lease once there are no further faults: the expiry after a
/// crashed holder, the cooldown of the only remaining host, and one tick.
pub const RECOVERY_TICKS: Tick = 10;

/// The violation in which two holders act at the same time.
pub const OVERLAPPING_TENURES: &str =
    "calls of two tenures overlap, so fencing tokens may decrease";

pub static START: LazyLock<Instant> = LazyLock::new(Instant::now);

pub fn instant(tick: Tick) -> Instant {
    *START + TICK * tick
}

pub fn tick_of(instant: Instant) -> Tick {
    Tick::try_from((instant - *START).as_secs()).unwrap_or(Tick::MAX)
}

/// A change of the protocol that removes one protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    None,
    /// A holder acts until the lease expires.
    HoldsUntilExpiry,
    /// A former holder may take the lease again immediately.
    NoCooldown,
    /// Writes have no serial numbers.
    NoSerials,
    /// A tenure is measured from the answer instead of the request.
    TenureFromAnswer,
    /// A write whose answer is lost is treated as successful instead of being read back.
    NoReadBack,
    /// Calls may arrive after the lease has expired.
    SlowCalls,
    /// A contender does not wait until the lease expires.
    NoExpiry,
}

impl Mutant {
    /// Returns the timing of the lease under this mutant.
    pub fn timing(self) -> LeaseTiming {
        let timing = LeaseTiming::of(TICK * LENGTH);
        match self {
            Self::HoldsUntilExpiry => LeaseTiming {
                hold: timing.expiry,
                ..timing
            },
            Self::NoCooldown => LeaseTiming {
                cooldown: Duration::ZERO,
                ..timing
            },
            Self::NoExpiry => LeaseTiming {
                expiry: Duration::ZERO,
                ..timing
            },
            Self::None
            | Self::NoSerials
            | Self::TenureFromAnswer
            | Self::NoReadBack
            | Self::SlowCalls => timing,
        }
    }
}

/// Maximum number of faults of each kind in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Lost answers to writes; the store applies the write later, or never.
    pub lost_answers: u8,
    /// Delayed answers, and hosts that freeze between a decision and its write.
    pub delays: u8,
    /// Summaries that a host sends to another one. Summaries of a release are not limited.
    pub summaries: u8,
    pub crashes: u8,
    pub stops: u8,
}

/// The state in which a search starts. All hosts are equivalent, so the first holder is always the first
/// host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// The row does not exist.
    Empty,
    /// The first host holds the lease.
    Held,
}

#[derive(Clone, Copy, Debug)]
pub struct SearchOptions {
    pub initial_state: InitialState,
    pub hosts: usize,
    pub faults: Faults,
    pub until: Tick,
    pub mutant: Mutant,
}
