//! The closed list of error kinds and the one table from kind to answer.
//!
//! Nothing else decides the status of an answer, whether the request ran, or when the
//! caller may come back.

use {
    crate::{
        protection::{Protection, enabled},
        spread::spread,
    },
    http::StatusCode,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    strum::EnumIter,
};

/// Whether a request reached a model or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the order can have left, or the upstream confirmed that it never started.
    No,
    /// It ran, at least in part.
    Yes,
    /// Silence: it may have run.
    Unknown,
}

/// Every way in which a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, EnumIter)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds its bound.
    BodyTooLarge,
    /// The request did not arrive in time.
    RequestTooSlow,
    /// No customer has this key.
    Unauthenticated,
    /// No such path.
    UnknownPath,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The customer may not use this model, or it does not exist.
    UnknownModel,
    /// No such plain service.
    UnknownService,
    /// The resume token is not one of ours, or belongs to another customer or request.
    ForeignResumeToken,
    /// The resume token is past its time.
    ExpiredResumeToken,
    /// The engine lost the generation; the caller must send the tokens that it has.
    ResumeNeedsTokens,
    /// The tokens that the caller sent are not those of the resumed generation.
    ResumeMismatch,
    /// The request id was used with another body.
    RequestConflict,
    /// The request id, which may not be repeated, was claimed before.
    AlreadyClaimed,
    /// No request of this id is known to run.
    UnknownRequest,
    /// The request was cancelled by its customer.
    Cancelled,
    /// The customer has too many requests in flight.
    CustomerLimit,
    /// The entry host has too many requests in flight.
    HostLimit,
    /// No engine of the model can take the request now.
    NoEngine,
    /// The platform's table can't be reached, so nothing could be claimed.
    TableUnavailable,
    /// The entry host has not yet learned the declarations.
    NotReady,
    /// The entry host is stopping.
    Stopping,
    /// The entry host stops and the answer goes on at another one, with the last event's id.
    HandedOver,
    /// The upstream could not be reached; nothing was sent.
    UpstreamUnreachable,
    /// The upstream went away after the request was sent and before it answered.
    UpstreamUnconfirmed,
    /// The upstream died within its answer and the request can't go on elsewhere.
    UpstreamLost,
    /// The retry budget is spent after the request ran in part.
    RetriesSpent,
    /// All upstreams that could take the request turned it away.
    UpstreamsBusy,
    /// All upstreams that could take the request asked for rest.
    UpstreamsResting,
    /// The limits that the upstreams name leave nothing for the request now.
    UpstreamsLimited,
    /// This host has not heard from the platform's store for too long to trust its keys.
    StaleView,
    /// The time for the request is over and an upstream may have worked on it.
    DeadlineReached,
    /// The time for the request is over before any upstream took it.
    DeadlineUntried,
    /// The answer can't be complete before the time for the request is over.
    DeadlineTooNear,
    /// Upstreams ended under this request, one after the other: it is sent to no further one.
    Quarantined,
    /// A fault of tealshore itself.
    Internal,
}

/// Whether a status promises that its request has not run and never will. Callers send such a
/// request again, so each of these on a request that ran lets the work be done twice.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The HTTP status, unless more is known of the run: see [`Failure::status`].
    status: StatusCode,
    /// Whether the request ran, unless more is known.
    ran: Ran,
    /// The shortest time after which to come back, where coming back can help.
    pub retry_after: Option<Duration>,
    /// The level of the log line.
    pub level: log::Level,
}

impl ErrorKind {
    /// The answer to this kind.
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
            // Most failures of this kind know the time; upstreams ask for whole seconds.
            Self::UpstreamsResting => (
                StatusCode::SERVICE_UNAVAILABLE,
                No,
                Some(1_000),
                Level::Warn,
            ),
            // Longer than a permit takes to come: the rates are below what is asked for.
            Self::UpstreamsLimited => (
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
            // The time is that of the quarantine: to come back sooner is of no use.
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

    /// The kind's name in answers, logs and metrics.
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

/// An error on its way to a caller: a kind and a sentence about this case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong.
    pub kind: ErrorKind,
    /// What was wrong in this case, for a person.
    pub detail: String,
    /// Whether the request ran: what the kind says, unless more is known. Private, so that the
    /// status can't contradict it.
    ran: Ran,
    /// When to come back, where that is known better than by the kind.
    back_after: Option<Duration>,
}

impl Failure {
    /// A failure with a sentence about this case.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: kind.answer().ran,
            back_after: None,
        }
    }

    /// The same failure of which is known when a return can help.
    #[must_use]
    pub fn come_back_after(self, time: Duration) -> Self {
        let back_after = Some(time);
        Self { back_after, ..self }
    }

    /// The shortest time after which to come back, where coming back can help.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.back_after.or(self.kind.answer().retry_after)
    }

    /// Whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// The HTTP status: the kind's, unless that would promise "not run" of a request that ran or
    /// may have run. Such a request ends with a status that promises nothing.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let usual = self.kind.answer().status;
        match self.ran {
            Ran::Yes | Ran::Unknown
                if promises_not_run(usual) && enabled(Protection::TrueStatus) =>
            {
                StatusCode::GATEWAY_TIMEOUT
            }
            Ran::No | Ran::Yes | Ran::Unknown => usual,
        }
    }

    /// The same failure of a request of which an earlier try is known. "Not run" would be
    /// taken for the whole request, so it gives way to what is known of that try.
    #[must_use]
    pub fn after_earlier_try(self, earlier: Ran) -> Self {
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

/// A problem document (RFC 9457) with tealshore's two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Names the kind, as a relative reference.
    #[serde(rename = "type")]
    pub type_ref: String,
    /// The kind in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong in this case.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds; absent where coming back does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// The document for a failure, with its time to come back spread over callers.
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
                .map(|base| u64::try_from(spread(base).as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// The kind's name, taken from the type.
    #[must_use]
    pub fn kind_name(&self) -> &str {
        self.type_ref
            .strip_prefix("/problems/")
            .unwrap_or(&self.type_ref)
    }
}
