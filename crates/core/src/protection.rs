//! Switches that turn one protection off, so that a test can show that it is needed.
//!
//! They exist only in builds with the `failpoints` feature; elsewhere [`enabled`] is
//! always true and costs nothing.

/// A protection that a test may switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// Events of another attempt than the current one are dropped.
    AttemptCheck,
    /// A token is accepted only at the next position.
    PositionCheck,
    /// A resumed stream must hold the same tokens as the caller has.
    ChainCheck,
    /// A request that may not be repeated is never dispatched twice.
    SingleDispatch,
    /// A claim precedes the dispatch of a request that may not be repeated.
    Claim,
    /// A lost answer of the table is read back instead of taken as a failure.
    ReadBack,
    /// A lower version of the declarations is never applied.
    MonotonicVersion,
    /// A resume token must carry a valid signature.
    TokenSignature,
    /// The pinned version is asked for at each attempt.
    PinnedVersion,
    /// An upstream that the host list calls leaving gets no new work.
    LeavingCheck,
    /// An event of a stream passes only at the next position.
    EventPosition,
    /// Requests with keys are not sent on when the word of the store is too old.
    KeyAge,
    /// An answer that names another request belongs to nobody.
    AnswerIdentity,
    /// A caller that comes back is known by all that makes its request, the body included.
    RequestDigest,
    /// A store's watch that falls silent is given up.
    WatchTimeout,
    /// What the upstream did not confirm as not run is not told as not run.
    ConfirmedRefusal,
    /// A host that stops is not ready and leaves the addresses.
    Withdrawal,
    /// Repeated sends draw on a budget.
    RetryBudget,
    /// A body that never ends is given up.
    BodyTimeout,
    /// What another host tells of the store is as old as the store's own time says.
    RelayedAge,
    /// What only tealshore may say to an upstream is taken out of a caller's headers.
    ReservedHeaders,
    /// Callers are not sent to hosts with a stale view while others have a fresh one.
    FreshAddresses,
    /// A status promises "not run" only of a request that did not run.
    TrueStatus,
    /// A version gets requests only where a roll-out lets it.
    VersionPermit,
    /// A version that is tried gets a bounded share of the requests.
    CanaryShare,
    /// Each host stops sending to a version that is tried once enough speaks against it.
    TrialStop,
    /// Nothing of a duty leaves a host after its tenure.
    DutyTenure,
    /// A lease that is held is taken only after its expiry.
    LeaseExpiry,
    /// A request under which upstreams ended is sent to no further one.
    Quarantine,
    /// An upstream that asked for rest, or said that it leaves, gets no new work.
    UpstreamNotices,
    /// An upstream that names a limit gets no more than that from all hosts together.
    SharedLimits,
    /// What a store says is told by its era from what it said before it came back from an older copy.
    StoreEra,
    /// What was known of an upstream stands for a while against a row of the store's copy.
    RestoreGrace,
}

impl Protection {
    /// The name of its switch.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::AttemptCheck => "attempt-check",
            Self::PositionCheck => "position-check",
            Self::ChainCheck => "chain-check",
            Self::SingleDispatch => "single-dispatch",
            Self::Claim => "claim",
            Self::ReadBack => "read-back",
            Self::MonotonicVersion => "monotonic-version",
            Self::TokenSignature => "token-signature",
            Self::PinnedVersion => "pinned-version",
            Self::LeavingCheck => "leaving-check",
            Self::EventPosition => "event-position",
            Self::KeyAge => "key-age",
            Self::AnswerIdentity => "answer-identity",
            Self::RequestDigest => "request-digest",
            Self::WatchTimeout => "watch-timeout",
            Self::ConfirmedRefusal => "confirmed-refusal",
            Self::Withdrawal => "withdrawal",
            Self::RetryBudget => "retry-budget",
            Self::BodyTimeout => "body-timeout",
            Self::RelayedAge => "relayed-age",
            Self::ReservedHeaders => "reserved-headers",
            Self::FreshAddresses => "fresh-addresses",
            Self::TrueStatus => "true-status",
            Self::VersionPermit => "version-permit",
            Self::CanaryShare => "canary-share",
            Self::TrialStop => "trial-stop",
            Self::DutyTenure => "duty-tenure",
            Self::LeaseExpiry => "lease-expiry",
            Self::Quarantine => "quarantine",
            Self::UpstreamNotices => "upstream-notices",
            Self::SharedLimits => "shared-limits",
            Self::StoreEra => "store-era",
            Self::RestoreGrace => "restore-grace",
        }
    }
}

/// Reads which protections are off from the variable `FAILPOINTS`, as
/// `position-check=return`. It does nothing in builds without the `failpoints` feature.
pub fn start() {
    #[cfg(feature = "failpoints")]
    {
        static START: std::sync::Once = std::sync::Once::new();
        // The scenario lasts as long as the process: dropping it would clear the switches.
        START.call_once(|| std::mem::forget(fail::FailScenario::setup()));
    }
}

/// Whether the protection is in force.
#[must_use]
pub fn enabled(protection: Protection) -> bool {
    fail::fail_point!(protection.name(), |_| false);
    let _ = protection;
    true
}
