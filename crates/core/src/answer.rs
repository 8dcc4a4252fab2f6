//! The closed list of error kinds, and the single table that maps each kind to its response.
//!
//! No other code decides the status of an error response, whether it reports the request as
//! executed, or when the caller may retry.

use {
    crate::{
        protection::{Protection, enabled},
        spread::with_jitter,
    },
    http::StatusCode,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    strum::EnumIter,
};

/// Whether a request was executed by a model engine or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the request can have been sent, or the upstream confirmed that it never started.
    No,
    /// The request was executed, at least in part.
    Yes,
    /// Not known: no confirmation arrived, so the request may have been executed.
    Unknown,
}

/// The reasons for which a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, EnumIter)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request was not received completely in time.
    RequestTooSlow,
    /// The API key belongs to no customer.
    Unauthenticated,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The customer may not use this model, or it does not exist.
    UnknownModel,
    /// The plain service does not exist.
    UnknownService,
    /// The resume token was not issued by this system, or belongs to another customer or request.
    ForeignResumeToken,
    /// The resume token has expired.
    ExpiredResumeToken,
    /// The engine no longer has the generation; the caller must send the tokens that it has
    /// received.
    ResumeNeedsTokens,
    /// The tokens that the caller sent differ from those of the resumed generation.
    ResumeMismatch,
    /// The request id was already used with a different body.
    RequestConflict,
    /// The request may not be repeated and its id was already claimed.
    AlreadyClaimed,
    /// No running request with this id is known.
    UnknownRequest,
    /// The customer cancelled the request.
    Cancelled,
    /// The customer has too many requests in flight.
    CustomerLimit,
    /// The entry host has too many requests in flight.
    HostLimit,
    /// No engine of the model can accept the request now.
    NoEngine,
    /// The platform's table is unreachable, so the request could not be claimed.
    TableUnavailable,
    /// The entry host has not loaded the declarations yet.
    NotReady,
    /// The entry host is shutting down.
    Stopping,
    /// The entry host is shutting down; the response continues at another one from the last event
    /// id.
    HandedOver,
    /// No connection to the upstream could be made; nothing was sent.
    UpstreamUnreachable,
    /// The upstream failed after the request was sent and before it responded.
    UpstreamUnconfirmed,
    /// The upstream failed during its response and the request can't continue on another one.
    UpstreamLost,
    /// The retry budget is exhausted after the request was executed in part.
    RetriesSpent,
    /// All eligible upstreams rejected the request.
    UpstreamsBusy,
    /// All eligible upstreams asked to receive no new requests for a time.
    UpstreamsResting,
    /// The limits that the upstreams advertise leave no capacity for the request now.
    UpstreamsLimited,
    /// No entry host reaches the upstreams over the network.
    UpstreamsOutOfReach,
    /// The host's view of the platform's store is too old for its API keys to be trusted.
    StaleView,
    /// The deadline passed and an upstream may have worked on the request.
    DeadlineReached,
    /// The deadline passed before any upstream accepted the request.
    DeadlineUntried,
    /// The response can't be complete before the deadline.
    DeadlineTooNear,
    /// Several upstreams crashed in turn while they handled this request, so it is sent to no other
    /// one.
    Quarantined,
    /// An internal error of tealshore.
    Internal,
}

/// Whether a status implies that the request was not and will not be executed. Callers retry on
/// such a status, so returning one for a request that was executed lets the work be done twice.
#[must_use]
pub fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The response to one error kind.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The default HTTP status; [`Failure::status`] replaces it where the request may have been
    /// executed.
    status: StatusCode,
    /// The default for whether the request was executed.
    ran: Ran,
    /// The minimum delay before a retry; `None` where a retry can't help.
    pub retry_after: Option<Duration>,
    /// The level at which the failure is logged.
    pub level: log::Level,
}

impl ErrorKind {
    /// Returns the response to this kind.
    #[must_use]
    pub fn answer(self) -> Answer {
        use {
            Ran::{No, Unknown, Yes},
            log::Level,
        };
        let (status, ran, retry_after_ms, level) = match self {
            Self::BadRequest => (StatusCode::BAD_REQUEST, No, None, Level::Info),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, No, None, Level::Info),
            Self::RequestTooSlow => (StatusCode::REQUEST_TIMEOUT, No, Some(1_000), Level::Info),
            Self::Unauthenticated => (StatusCode::UNAUTHORIZED, No, None, Level::Info),
            Self::UnknownPath => (StatusCode::NOT_FOUND, No, None, Level::Info),
            Self::MethodNotAllowed => (StatusCode::METHOD_NOT_ALLOWED, No, None, Level::Info),
            Self::UnknownModel => (StatusCode::NOT_FOUND, No, None, Level::Info),
            Self::UnknownService => (StatusCode::NOT_FOUND, No, None, Level::Info),
            Self::ForeignResumeToken => (StatusCode::FORBIDDEN, No, None, Level::Warn),
            Self::ExpiredResumeToken => (StatusCode::GONE, Yes, None, Level::Info),
            Self::ResumeNeedsTokens => (StatusCode::CONFLICT, Yes, Some(1_000), Level::Info),
            Self::ResumeMismatch => (StatusCode::CONFLICT, Yes, None, Level::Warn),
            Self::RequestConflict => (StatusCode::UNPROCESSABLE_ENTITY, No, None, Level::Info),
            Self::AlreadyClaimed => (StatusCode::CONFLICT, Unknown, None, Level::Info),
            Self::UnknownRequest => (StatusCode::NOT_FOUND, Unknown, None, Level::Info),
            Self::Cancelled => (StatusCode::GONE, Unknown, None, Level::Info),
            Self::CustomerLimit => (StatusCode::TOO_MANY_REQUESTS, No, Some(1_000), Level::Info),
            Self::HostLimit => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            Self::NoEngine => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(2_000),
                Level::Warn,
            ),
            Self::TableUnavailable => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(5_000),
                Level::Warn,
            ),
            Self::NotReady => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            Self::Stopping => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Info,
            ),
            Self::HandedOver => (StatusCode::GATEWAY_TIMEOUT, Yes, Some(0), Level::Info),
            Self::UpstreamUnreachable => (StatusCode::BAD_GATEWAY, No, Some(1_000), Level::Warn),
            Self::UpstreamUnconfirmed => (StatusCode::BAD_GATEWAY, Unknown, None, Level::Warn),
            Self::UpstreamLost => (StatusCode::BAD_GATEWAY, Yes, None, Level::Warn),
            Self::RetriesSpent => (StatusCode::GATEWAY_TIMEOUT, Yes, Some(2_000), Level::Warn),
            Self::UpstreamsBusy => (StatusCode::SERVICE_UNAVAILABLE, No, Some(50), Level::Warn),
            // A default: most failures of this kind carry the time that the upstream asked for,
            // which is in whole seconds.
            Self::UpstreamsResting => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            // Longer than it takes to obtain a permit: the limits are below the demand.
            Self::UpstreamsLimited => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            Self::UpstreamsOutOfReach => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            Self::StaleView => (StatusCode::SERVICE_UNAVAILABLE, No, Some(20), Level::Warn),
            Self::DeadlineReached => (StatusCode::GATEWAY_TIMEOUT, Unknown, None, Level::Warn),
            Self::DeadlineUntried => (StatusCode::SERVICE_UNAVAILABLE, No, Some(50), Level::Warn),
            Self::DeadlineTooNear => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Info,
            ),
            // The duration of the quarantine: an earlier retry is rejected again.
            Self::Quarantined => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(600_000),
                Level::Warn,
            ),
            Self::Internal => (
                StatusCode::INTERNAL_SERVER_ERROR,
                Unknown,
                None,
                Level::Error,
            ),
        };
        Answer {
            status,
            ran,
            retry_after: retry_after_ms.map(Duration::from_millis),
            level,
        }
    }

    /// Returns the name of the kind in responses, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::RequestTooSlow => "request-too-slow",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownPath => "unknown-path",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::UnknownModel => "unknown-model",
            Self::UnknownService => "unknown-service",
            Self::ForeignResumeToken => "foreign-resume-token",
            Self::ExpiredResumeToken => "expired-resume-token",
            Self::ResumeNeedsTokens => "resume-needs-tokens",
            Self::ResumeMismatch => "resume-mismatch",
            Self::RequestConflict => "request-conflict",
            Self::AlreadyClaimed => "already-claimed",
            Self::UnknownRequest => "unknown-request",
            Self::Cancelled => "cancelled",
            Self::CustomerLimit => "customer-limit",
            Self::HostLimit => "host-limit",
            Self::NoEngine => "no-engine",
            Self::TableUnavailable => "table-unavailable",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::HandedOver => "handed-over",
            Self::UpstreamUnreachable => "upstream-unreachable",
            Self::UpstreamUnconfirmed => "upstream-unconfirmed",
            Self::UpstreamLost => "upstream-lost",
            Self::RetriesSpent => "retries-spent",
            Self::UpstreamsBusy => "upstreams-busy",
            Self::UpstreamsResting => "upstreams-resting",
            Self::UpstreamsLimited => "upstreams-limited",
            Self::UpstreamsOutOfReach => "upstreams-out-of-reach",
            Self::StaleView => "stale-view",
            Self::DeadlineReached => "deadline-reached",
            Self::DeadlineUntried => "deadline-untried",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::Quarantined => "quarantined",
            Self::Internal => "internal",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An error that is returned to a caller: a kind, and a detail for this occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The error kind.
    pub kind: ErrorKind,
    /// A human-readable description of this occurrence.
    pub detail: String,
    /// Whether the request was executed: the kind's default, unless more is known. Private, so that
    /// the status can't contradict it.
    ran: Ran,
    /// The minimum delay before a retry, where it is known more precisely than the kind's default.
    retry_after_override: Option<Duration>,
}

impl Failure {
    /// Creates a failure with the defaults of its kind.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: kind.answer().ran,
            retry_after_override: None,
        }
    }

    /// Overrides the kind's minimum delay before a retry.
    #[must_use]
    pub fn with_retry_after(self, time: Duration) -> Self {
        let retry_after_override = Some(time);
        Self {
            retry_after_override,
            ..self
        }
    }

    /// The minimum delay before a retry; `None` where a retry can't help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after_override.or(self.kind.answer().retry_after)
    }

    /// Whether the request was executed.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// The HTTP status. The kind's default is replaced by 504, which implies nothing about
    /// execution, where the default would imply "not executed" for a request that was or may have
    /// been executed.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let usual = self.kind.answer().status;
        match self.ran {
            Ran::Yes | Ran::Unknown
                if implies_not_executed(usual) && enabled(Protection::TrueStatus) =>
            {
                StatusCode::GATEWAY_TIMEOUT
            }
            Ran::No | Ran::Yes | Ran::Unknown => usual,
        }
    }

    /// Accounts for an earlier attempt of the same request. A "not executed" of this attempt would
    /// be read as holding for the whole request, so the outcome of the earlier attempt replaces it.
    #[must_use]
    pub fn after_earlier_attempt(self, earlier: Ran) -> Self {
        let ran = if self.ran == Ran::No {
            earlier
        } else {
            self.ran
        };
        Self { ran, ..self }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Failure {}

/// A problem document (RFC 9457) with the extension members `ran` and `retry_after_ms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The problem type: a relative URI reference that contains the name of the kind.
    #[serde(rename = "type")]
    pub type_ref: String,
    /// A human-readable summary of the kind.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// A human-readable description of this occurrence.
    pub detail: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// The minimum delay before a retry, in milliseconds; absent where a retry can't help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Builds the document for a failure. The retry delay gets random jitter so that callers do not
    /// retry at the same time.
    #[must_use]
    pub fn of(failure: &Failure) -> Self {
        Self {
            type_ref: format!("/problems/{}", failure.kind),
            title: failure.kind.name().replace('-', " "),
            status: failure.status().as_u16(),
            detail: failure.detail.clone(),
            ran: failure.ran(),
            retry_after_ms: failure
                .retry_after()
                .map(|base| u64::try_from(with_jitter(base).as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Returns the name of the error kind, extracted from the problem type.
    #[must_use]
    pub fn kind_name(&self) -> &str {
        self.type_ref
            .strip_prefix("/problems/")
            .unwrap_or(&self.type_ref)
    }
}
