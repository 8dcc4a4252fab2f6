//! The interface to a deployment's protocol, and the types into which it is translated.
//!
//! A [`Protocol`] is a stateless translation layer: it makes no choices, and does not retry, store or wait.

mod revision;

pub use revision::{MAX_ERA, Revision, RowVersion, StoreEra, era_of, revision_in, row_number_of};
use {
    crate::{
        duties::{
            DutyRecord,
            api::{DutyAnswer, DutyCaller},
        },
        rollout::{RolloutOrder, RolloutRecord},
        view::{Configuration, UpstreamRecord},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Request, Response, StatusCode, request, response},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tealshore_capacity::EngineOrder,
    tealshore_core::ids::{CustomerId, EngineId, HallId, HostId, RequestId, StartTime},
    tealshore_duties::usage::UsageReport,
    tealshore_notices::{Brittleness, RestRequest},
    tealshore_quarantine::{news::CrashUpdate, parts::news::PartCrashReport},
    tealshore_rates::AdvertisedLimit,
    tealshore_runs::{EventId, KnownRun, MemoryCopy},
};

/// A time on the store's monotonic clock.
pub type StoreTime = Duration;

/// The data from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Identifies this attempt of the caller.
    pub request: Option<RequestId>,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event: Option<EventId>,
    /// The size of the prompt, if the request is for a model.
    pub prompt: Option<PromptShape>,
}

/// The size of a prompt and of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The number of tokens in the prompt.
    pub input_tokens: u32,
    /// The maximum number of tokens to generate.
    pub output_tokens: u32,
    /// The id of the last part of the prompt, which belongs to this request only.
    pub own_part: String,
    /// The ids of the parts before it, in order. Other requests may share them.
    pub shared_parts: Vec<String>,
    /// The model that is asked for; empty if none is named.
    pub model: String,
}

/// The urgency with which an upstream should handle a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A new request of this priority; 0 is the highest.
    New(u8),
    /// A stream that is resumed after its upstream was lost.
    Resume,
}

/// The data that is sent to an upstream with a request.
#[derive(Clone, Debug)]
pub struct UpstreamOrder<'a> {
    /// The intended upstream; another incarnation at its address must not execute the request.
    pub upstream: &'a EngineId,
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerId>,
    /// How long the upstream may work on the request.
    pub deadline: Duration,
    /// The last event that the caller received, if a stream is resumed.
    pub last_event: Option<EventId>,
    /// The urgency, if the request is for a model.
    pub urgency: Option<Urgency>,
    /// The engine to which the memory of the run is copied while it runs.
    pub copy_to: Option<SocketAddr>,
    /// The memory copy from which to resume.
    pub resume_from: Option<&'a MemoryCopy>,
}

/// The data from the headers of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub request: Option<RequestId>,
    /// Whether the upstream states that it did not execute the request.
    pub not_run: bool,
    /// Whether the answer carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream, which rejected the request, wants no requests from this host for a time.
    pub rest: RestRequest,
    /// Whether the upstream announces that it is about to leave.
    pub leaving: bool,
    /// The rate limit of the upstream, in requests per second from all hosts together, if it names one.
    pub limit: AdvertisedLimit,
    /// Whether the upstream rejected the request, most likely for lack of room.
    pub rejected: bool,
    /// Whether the upstream announces that it fails if it has to reject too many requests.
    pub brittleness: Brittleness,
    /// The names of headers that the adapter does not know, which may be extensions of the protocol.
    pub unknown_headers: Vec<HeaderName>,
}

/// An upstream's report about itself and about one request. The report may be a few hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeReport {
    /// When this incarnation started; `None` if not reported.
    pub born: StartTime,
    /// The number of requests that it has, including queued ones; `None` if not reported.
    pub requests: Option<u32>,
    /// How many of these it lists individually: those for which it has produced events.
    pub listed: u32,
    /// The number of events that it has produced for the request; `None` if it does not list the request.
    pub events_made: Option<u64>,
}

impl ProbeReport {
    /// Whether the upstream does not have the request: it lists all requests that it has, and this is not among them.
    #[must_use]
    pub fn lacks_request(&self) -> bool {
        self.requests == Some(self.listed) && self.events_made.is_none()
    }
}

/// What becomes of a run whose memory is copied to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRun {
    /// It continues.
    Continues,
    /// It stops before its memory is copied.
    Stops,
}

/// What an engine answers to the order to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run has stopped.
    Stopped {
        /// The name under which the engine keeps the run's memory.
        copy: String,
    },
    /// The engine does not have the run.
    NoRun,
    /// The engine can't stop the run now.
    Busy,
    /// The engine does not know the order.
    Refused,
}

/// A set of rows in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowSet {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
    /// The hosts of this system.
    Hosts,
    /// The locations of running streams, as last written by each group of hosts.
    Runs,
    /// The progress of roll-outs, as last written by their leaders.
    Rollouts,
    /// The lease of the duties that one host holds, with the decisions made under it.
    Duties,
    /// The requests that crash upstreams, as last written by each group of hosts.
    Crashes,
}

impl RowSet {
    /// The name of the set in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Hosts => "hosts",
            Self::Runs => "runs",
            Self::Rollouts => "rollouts",
            Self::Duties => "duties",
            Self::Crashes => "crashes",
        }
    }
}

/// A row that was read from the store.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// An upstream.
    Upstream(UpstreamChange),
    /// A host of this system.
    Host(HostRecord),
    /// The locations of the streams of a group of hosts.
    Runs(Vec<KnownRun>),
    /// An operator's order to roll out a version.
    RolloutOrder(RolloutOrder),
    /// The progress of a roll-out.
    Rollout(RolloutRecord),
    /// The lease of the duties, with the decisions made under it.
    Duties(Box<DutyRecord>),
    /// The requests that crash upstreams, as known to a group of hosts.
    Crashes(StoredCrashes),
    /// A row that could not be read, with the reason.
    Unreadable(String),
}

/// The requests that crash upstreams, as a group of hosts stored them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCrashes {
    /// The store's time of the write, to which the ages refer.
    pub written: StoreTime,
    /// The requests, with their ages at the time of the write.
    pub requests: Vec<CrashUpdate>,
    /// Crashes that parts of prompts may have caused.
    pub parts: Vec<PartCrashReport>,
}

/// A change of an upstream's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// The upstream is listed with this record.
    Listed(UpstreamRecord),
    /// The upstream is no longer listed.
    Gone(EngineId),
    /// The row can't be read; it may come from another writer.
    Unreadable {
        /// The key of the row.
        id: EngineId,
        /// Why it can't be read.
        reason: String,
    },
}

/// A host of this system, as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// The name of the host.
    pub host: HostId,
    /// The address at which its peers reach it.
    pub peers_address: SocketAddr,
    /// The revision from which on the configuration of a restored store is complete, as far as the host knew; 0 if it
    /// knew of none.
    pub recovery_point: Revision,
}

/// One page of rows from the store.
#[derive(Clone, Debug)]
pub struct Page {
    /// The rows in order, each with its revision.
    pub changes: Vec<(Revision, Change)>,
    /// The newest revision in the store.
    pub revision: Revision,
    /// The time of the answer on the store's monotonic clock.
    pub store_time: StoreTime,
    /// The key after which the next page starts; `None` if this is the last one.
    pub next_key: Option<String>,
}

/// The era that the store names in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraNamed {
    /// The answer names no era.
    #[default]
    No,
    /// The answer names this era.
    Era(StoreEra),
    /// The answer names an era that can't be parsed.
    Unreadable,
}

/// The data from the headers of any answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreHead {
    /// The era of the store's rows.
    pub era: EraNamed,
    /// The names of headers that the adapter does not know.
    pub unknown_headers: Vec<HeaderName>,
}

/// Why the store returned no rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRefusal {
    /// The requested changes are no longer available; the full set must be read.
    HistoryGone,
    /// The store accepts no calls at the moment.
    Busy(StatusCode),
    /// The answer can't be parsed.
    Malformed(String),
}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written, with this revision.
    Done(Revision),
    /// The row had changed, so nothing was written.
    Changed,
    /// The result is unknown: the write may have been applied, or may still be.
    Unknown,
}

/// A call that asks about this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostCall {
    /// Whether the host accepts traffic.
    Readiness,
    /// The addresses that a caller may use.
    Addresses {
        /// The hall of the caller.
        hall: Option<HallId>,
    },
    /// Not a known call.
    Unknown,
}

/// Translates between a deployment's protocol and the types of tealshore.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestFacts;

    /// Writes an order into the headers of a request to an upstream, and removes headers that the upstream must not
    /// see.
    fn write_order(&self, order: &UpstreamOrder<'_>, headers: &mut HeaderMap);

    /// Reads the headers of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Adds the headers that the protocol requires to a refusal by this host.
    fn write_refusal(&self, facts: &RequestFacts, headers: &mut HeaderMap);

    /// Builds the cheapest call that every live upstream answers.
    fn probe_call(&self, upstream: &UpstreamRecord) -> Request<Bytes>;

    /// Reads an upstream's answer to a probe, including its report about one request.
    fn read_probe(&self, status: StatusCode, body: &[u8], request: &RequestId) -> ProbeReport;

    /// Reads a call about this host.
    fn read_host_call(&self, head: &request::Parts) -> HostCall;

    /// Builds the answer with the addresses that callers may use, and for how long they may keep them.
    fn write_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Response<Bytes>;

    /// Builds the call that reads a set of rows, from the beginning or after a key.
    fn list_call(&self, set: RowSet, after_key: Option<&str>) -> Request<Bytes>;

    /// Builds the call that waits for changes of a set after a version of the store.
    fn watch_call(&self, set: RowSet, after: RowVersion, wait: Duration) -> Request<Bytes>;

    /// Reads the headers of any answer of the store.
    fn read_store_head(&self, head: &HeaderMap) -> StoreHead;

    /// Reads the answer to a list or watch call, given in an era of the store.
    ///
    /// # Errors
    /// The store returned no rows.
    fn read_page(
        &self,
        set: RowSet,
        era: StoreEra,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Page, StoreRefusal>;

    /// Builds the call that writes this host's row.
    fn write_host_call(&self, host: &HostRecord) -> Request<Bytes>;

    /// Builds the call that writes the locations of the streams of a group of hosts.
    fn write_runs_call(&self, group: &str, runs: &[KnownRun]) -> Request<Bytes>;

    /// Builds the call that writes what is known to a group of hosts of requests and parts of prompts that crash
    /// upstreams.
    fn write_crashes_call(&self, group: &str, crashes: &StoredCrashes) -> Request<Bytes>;

    /// Builds the call that writes the progress of a roll-out, for hosts and for the operator. The write is applied
    /// only if the row still has the expected version, or does not exist if that is 0.
    fn write_rollout_call(&self, record: &RolloutRecord, expected: RowVersion) -> Request<Bytes>;

    /// Reads the answer to a conditional write, given in an era of the store.
    fn read_written(&self, era: StoreEra, status: StatusCode, body: &[u8]) -> WriteOutcome;

    /// Builds the call that writes the lease of the duties and the decisions made under it. The write is applied only
    /// if the row still has the expected version, or does not exist if that is 0.
    fn write_duties_call(&self, record: &DutyRecord, expected: RowVersion) -> Request<Bytes>;

    /// Builds the call that reports the usage of customers in a window.
    fn usage_call(&self, report: &UsageReport, caller: &DutyCaller) -> Request<Bytes>;

    /// Builds the call that orders engines.
    fn engine_order_call(&self, order: &EngineOrder, caller: &DutyCaller) -> Request<Bytes>;

    /// Reads the answer to a call that is reserved for the holder of a duty.
    fn read_duty_answer(&self, status: StatusCode) -> DutyAnswer;

    /// Builds the call that asks the engine of a run to copy the run's memory to another engine.
    fn copy_call(
        &self,
        source: &UpstreamRecord,
        run: &RequestId,
        target: SocketAddr,
        source_run: SourceRun,
    ) -> Request<Bytes>;

    /// Reads the name under which a copy is stored from the answer to a copy call.
    fn read_copied(&self, status: StatusCode, body: &[u8]) -> Option<String>;

    /// Reads the answer to a copy call that stops the run.
    fn read_stopped(&self, status: StatusCode, body: &[u8]) -> StopAnswer;

    /// Builds the call that frees a copy of a run's memory, at the run's engine and at the one that holds the copy.
    fn release_call(&self, source: &UpstreamRecord, copy: &str) -> Request<Bytes>;
}
