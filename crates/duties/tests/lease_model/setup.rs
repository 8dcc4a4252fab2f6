//! What a search plays: its times, its faults and what it breaks on purpose.

use {
    std::{
        sync::LazyLock,
        time::{Duration, Instant},
    },
    tealshore_duties::lease::LeaseTiming,
};

/// A time of the model; one is a quarter of the lease's length.
pub type Tick = u32;

pub const TICK: Duration = Duration::from_secs(1);
/// The length of the lease.
pub const LENGTH: Tick = 4;
/// How long a call may be on its way after the tenure that it left under.
pub const CALL_DELAY: Tick = 1;
/// Within this time somebody holds the lease where nothing more goes wrong: the expiry of a holder that
/// died, the rest of the only host that is left, and a tick.
pub const RECOVERY_TICKS: Tick = 10;

/// Two hosts act at the same time.
pub const OVERLAPPING_TENURES: &str = "calls of two tenures cross, and fences go back";

pub static START: LazyLock<Instant> = LazyLock::new(Instant::now);

pub fn instant(tick: Tick) -> Instant {
    *START + TICK * tick
}

pub fn tick_of(instant: Instant) -> Tick {
    Tick::try_from((instant - *START).as_secs()).unwrap_or(Tick::MAX)
}

/// What the search breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    None,
    /// A holder acts until others may begin.
    HoldsUntilExpiry,
    /// A host may take the lease back at once.
    NoCooldown,
    /// Writes have no numbers.
    NoSerials,
    /// A tenure counts from the answer.
    TenureFromAnswer,
    /// A lost answer is taken for one that says the write was done.
    NoReadBack,
    /// Calls are on their way for longer than the tenure lets them.
    SlowCalls,
    /// A contender does not wait for the expiry.
    NoExpiry,
}

impl Mutant {
    /// The bounds of the lease.
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

/// How much goes wrong in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Answers of the store that are lost, of writes that were done or are done later.
    pub lost_answers: u8,
    /// Answers that come late, and hosts that freeze between a decision and its write.
    pub delays: u8,
    /// What a host tells another one of the row. A release is always told, or not.
    pub summaries: u8,
    pub crashes: u8,
    pub stops: u8,
}

/// How a search begins. Nothing in it tells hosts apart, so the first to hold the lease is always the
/// same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// There is no row.
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
