//! Switches that disable one protection, so that a test can show that it is needed.
//!
//! They exist only in builds with the `failpoints` feature; in all others [`enabled`] is always
//! true and costs nothing.

/// A protection that a test may disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protection {
    /// Events of any attempt but the current one are discarded.
    AttemptCheck,
    /// A token is accepted only at the next expected position.
    PositionCheck,
    /// A resumed stream must contain the tokens that the caller already has.
    ChainCheck,
    /// A request that may not be repeated is never dispatched twice.
    SingleDispatch,
    /// A request that may not be repeated is claimed before it is dispatched.
    Claim,
    /// After a lost response of the table, the outcome is read back instead of being treated as a
    /// failure.
    ReadBack,
    /// An older version of the declarations is never applied.
    MonotonicVersion,
    /// A resume token must carry a valid signature.
    TokenSignature,
    /// Each attempt requests the pinned model version.
    PinnedVersion,
    /// An upstream that the host list marks as leaving gets no new requests.
    LeavingCheck,
    /// A request is sent only to an upstream of the service that the configuration gives it to.
    ServiceCheck,
    /// A stream event is forwarded only at the next expected position.
    EventPosition,
    /// Requests that are authenticated by API key are not forwarded while the view of the store is
    /// too old.
    KeyAge,
    /// A response that carries the identity of another request is discarded.
    AnswerIdentity,
    /// A returning caller is matched by a digest of the complete request, including the body.
    RequestDigest,
    /// A stream continues only from a run that is proven to be that of the caller who resumes it.
    OwnRun,
    /// A watch on the store is closed after a time without data.
    WatchTimeout,
    /// A request is reported as not executed only if the upstream confirmed that.
    ConfirmedRefusal,
    /// A host that is shutting down reports itself as not ready and is removed from the addresses.
    Withdrawal,
    /// Retries are limited by a budget.
    RetryBudget,
    /// Reading a body is subject to a timeout.
    BodyTimeout,
    /// The age of store data that another host relays is computed from the store's own timestamp.
    RelayedAge,
    /// Headers that only tealshore may send to an upstream are removed from callers' requests.
    ReservedHeaders,
    /// Callers are not directed to hosts with a stale view while others have a fresh one.
    FreshAddresses,
    /// A status that implies "not executed" is returned only for a request that was not executed.
    TrueStatus,
    /// A version gets requests only where its rollout permits it.
    VersionPermit,
    /// A version under trial gets a limited share of the requests.
    CanaryShare,
    /// Each host stops sending requests to a version under trial once there is enough evidence
    /// against it.
    TrialStop,
    /// A host sends nothing on behalf of a duty after its tenure has ended.
    DutyTenure,
    /// A lease held by another host is taken only after it has expired.
    LeaseExpiry,
    /// Decisions of a duty that the store lost are stored again before the lease can be taken.
    DecisionWriteBack,
    /// A request during which upstreams crashed is sent to no other one.
    Quarantine,
    /// An upstream that asked for a pause, or announced that it leaves, gets no new requests.
    UpstreamNotices,
    /// The limit that an upstream advertises holds for all hosts together.
    SharedLimits,
    /// The store's era distinguishes its current data from what it reported before it was restored
    /// from an older copy.
    StoreEra,
    /// After the store was restored, its configuration confirms keys only once operators have written again what was
    /// lost.
    RecoveryPoint,
    /// Ages count the time for which the machine was suspended.
    SuspendedTime,
    /// After the store was restored, recent knowledge about an upstream takes precedence for a
    /// while over the row in the restored copy.
    RestoreGrace,
    /// A host without a direct path to an upstream connects through another host.
    Tunnels,
    /// The end of a connection through another host ends an answer only if that host confirms that the upstream made it.
    TunnelEnd,
    /// An upstream that only this host found unreachable is not reported to other hosts.
    ConfirmedSuspicion,
    /// All hosts together have no more calls at an upstream that fails when it rejects too many than it has slots.
    BrittleSlots,
}

impl Protection {
    /// Returns the name of the protection's failpoint.
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
            Self::ServiceCheck => "service-check",
            Self::EventPosition => "event-position",
            Self::KeyAge => "key-age",
            Self::AnswerIdentity => "answer-identity",
            Self::RequestDigest => "request-digest",
            Self::OwnRun => "own-run",
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
            Self::DecisionWriteBack => "decision-write-back",
            Self::Quarantine => "quarantine",
            Self::UpstreamNotices => "upstream-notices",
            Self::SharedLimits => "shared-limits",
            Self::StoreEra => "store-era",
            Self::RecoveryPoint => "recovery-point",
            Self::SuspendedTime => "suspended-time",
            Self::RestoreGrace => "restore-grace",
            Self::Tunnels => "tunnels",
            Self::TunnelEnd => "tunnel-end",
            Self::ConfirmedSuspicion => "confirmed-suspicion",
            Self::BrittleSlots => "brittle-slots",
        }
    }
}

/// Disables the protections that the environment variable `FAILPOINTS` lists, in the form
/// `position-check=return`. Does nothing in builds without the `failpoints` feature.
pub fn start() {
    #[cfg(feature = "failpoints")]
    {
        static START: std::sync::Once = std::sync::Once::new();
        // The scenario must live as long as the process: dropping it would clear the failpoints.
        START.call_once(|| std::mem::forget(fail::FailScenario::setup()));
    }
}

/// Whether the protection is active.
#[must_use]
pub fn enabled(protection: Protection) -> bool {
    fail::fail_point!(protection.name(), |_| false);
    let _ = protection;
    true
}
