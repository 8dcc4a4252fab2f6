//! The edge towards a deployment: what its protocol says, in tealshore's words.
//!
//! A [`Protocol`] only translates. It chooses, retries, remembers and waits for nothing.

mod revision;

pub use revision::{LAST_ERA, Revision, RowNumber, StoreEra, era_of, number_of, revision_in};
use {
    crate::{
        duties::{
            DutyRecord,
            api::{DutyAnswer, DutyCaller},
        },
        rollout::{RolloutOrder, RolloutRecord},
        run_trace::{MemoryCopy, RunTrace},
        view::{Configuration, UpstreamRecord},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Request, Response, StatusCode, request, response},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tealshore_capacity::EngineOrder,
    tealshore_core::ids::{Born, CustomerId, EngineId, HallId, HostId, RequestId},
    tealshore_duties::usage::UsageReport,
    tealshore_notices::RestAsked,
    tealshore_quarantine::news::CrashUpdate,
    tealshore_rates::AdvertisedLimit,
};

/// The id of one event of a stream; ids rise by one from 1.
pub type EventId = u64;
/// A time of the store's steady clock.
pub type StoreTime = Duration;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Names this attempt of the caller.
    pub request: Option<RequestId>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The last event that the caller has.
    pub last_event: Option<EventId>,
    /// The prompt's size, where the request is for a model.
    pub prompt: Option<PromptShape>,
}

/// The size of a prompt and of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens to read.
    pub input_tokens: u32,
    /// The most tokens to make.
    pub output_tokens: u32,
    /// The id of the prompt's last part, which is the request's own.
    pub own_part: String,
}

/// How urgent an upstream should take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A new request of this priority; 0 is the highest.
    New(u8),
    /// A stream that goes on after a loss.
    Resume,
}

/// What is said to an upstream along with a request.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// The upstream that is meant; another one at its address must not run it.
    pub upstream: &'a EngineId,
    /// The customer that asks.
    pub customer: Option<&'a CustomerId>,
    /// How long the upstream may work.
    pub deadline: Duration,
    /// The last event that the caller has.
    pub last_event: Option<EventId>,
    /// How urgent it is, for a model.
    pub urgency: Option<Urgency>,
    /// Where the run's memory is to be copied while it runs.
    pub copy_to: Option<SocketAddr>,
    /// The copy to go on from.
    pub go_on_from: Option<&'a MemoryCopy>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// The upstream states that it did not run the request.
    pub not_run: bool,
    /// It carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream, which turned the request away, wants nothing from this host for a time.
    pub rest: RestAsked,
    /// The upstream says that it is about to leave.
    pub leaving: bool,
    /// Whether the upstream names how many requests a second it takes from all hosts together.
    pub limit: AdvertisedLimit,
    /// Names of headers that the adapter gives no meaning to: a new word of the protocol looks like this.
    pub unknown_headers: Vec<HeaderName>,
}

/// What an upstream reports of itself and of one request. The report is some hundred
/// milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeReport {
    /// When this life of it began; none where it does not say.
    pub born: Born,
    /// How many requests it has, those that wait included; none where it does not say.
    pub requests: Option<u32>,
    /// How many of these it lists one by one: those for which it has made events.
    pub listed: u32,
    /// How many events it has made for the request; none where it does not list it.
    pub events_made: Option<u64>,
}

impl ProbeReport {
    /// Whether the upstream does not have the request: it lists all that it has, and not this one.
    #[must_use]
    pub fn lacks_request(&self) -> bool {
        self.requests == Some(self.listed) && self.events_made.is_none()
    }
}

/// A set of rows of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowSet {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
    /// The hosts of this system.
    Hosts,
    /// Where streams run, as each group of hosts last wrote it.
    Runs,
    /// How far roll-outs are, as their leaders last wrote it.
    Rollouts,
    /// The lease of the duties that one host holds, with what was decided under it.
    Duties,
    /// Which requests crash upstreams, as each group of hosts last wrote it.
    Crashes,
}

impl RowSet {
    /// The set's name in logs.
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

/// One row that was read.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// An upstream.
    Upstream(UpstreamChange),
    /// A host of this system.
    Host(HostRecord),
    /// Where the streams of a group of hosts ran.
    Runs(Vec<RunTrace>),
    /// An order to roll a version out.
    RolloutOrder(RolloutOrder),
    /// How far a roll-out is.
    Rollout(RolloutRecord),
    /// The lease of the duties, with what was decided under it.
    Duties(Box<DutyRecord>),
    /// Which requests crash upstreams, as a group of hosts knew it.
    Crashes(StoredCrashes),
    /// A row that could not be read, with the reason.
    Unreadable(String),
}

/// What a group of hosts kept in the store of requests that crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCrashes {
    /// The store's time when it was written; ages count from then.
    pub written: StoreTime,
    /// The requests.
    pub requests: Vec<CrashUpdate>,
}

/// A change of one upstream's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum UpstreamChange {
    /// It is listed so.
    Listed(UpstreamRecord),
    /// It is no longer listed.
    Gone(EngineId),
    /// Its row can't be read: another writer may have put it there.
    Unreadable {
        /// The row's key.
        id: EngineId,
        /// Why not.
        reason: String,
    },
}

/// A host of this system as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Its name.
    pub host: HostId,
    /// Where its peers reach it.
    pub peers_address: SocketAddr,
}

/// What the store answered about rows.
#[derive(Clone, Debug)]
pub struct Page {
    /// The rows, each with its version, in order.
    pub changes: Vec<(Revision, Change)>,
    /// The newest version in the store.
    pub revision: Revision,
    /// The store's steady clock when it answered.
    pub store_time: StoreTime,
    /// The key after which to read on, where there is more.
    pub next_key: Option<String>,
}

/// Which era of its rows the store names in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraNamed {
    /// It names none.
    #[default]
    No,
    /// This one.
    Era(StoreEra),
    /// It names one that can't be read.
    Unreadable,
}

/// What the head of the store's answer says, whatever the answer is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreHead {
    /// The era of its rows.
    pub era: EraNamed,
    /// Names of headers that the adapter gives no meaning to.
    pub unknown_headers: Vec<HeaderName>,
}

/// Why the store gave no rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRefusal {
    /// The changes asked for are no longer kept; read the whole set.
    HistoryGone,
    /// It takes no call now.
    Busy(StatusCode),
    /// The answer can't be understood.
    Malformed(String),
}

/// What became of a write under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is done, as of this version.
    Done(Revision),
    /// The row had changed: nothing was written.
    Changed,
    /// The store did not say; it may be done, now or later.
    Unknown,
}

/// A call that answers about this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostCall {
    /// Whether it takes traffic.
    Readiness,
    /// Which addresses a caller may use.
    Addresses {
        /// The caller's hall.
        hall: Option<HallId>,
    },
    /// No such call.
    Unknown,
}

/// Translates between a deployment's protocol and tealshore's words.
pub trait Protocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestFacts;

    /// Writes what an order says into the headers that travel to an upstream, and takes out
    /// what the upstream must not see.
    fn write_order(&self, order: &Order<'_>, headers: &mut HeaderMap);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Adds to a refusal of ours what the protocol asks for.
    fn write_refusal(&self, facts: &RequestFacts, headers: &mut HeaderMap);

    /// The cheapest call that any live upstream answers.
    fn probe_call(&self, upstream: &UpstreamRecord) -> Request<Bytes>;

    /// Reads an upstream's answer to the probe, and what it says there of one request.
    fn read_probe(&self, status: StatusCode, body: &[u8], request: &RequestId) -> ProbeReport;

    /// Reads a call about this host.
    fn read_host_call(&self, head: &request::Parts) -> HostCall;

    /// Writes the addresses that callers may use, and for how long.
    fn write_addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Response<Bytes>;

    /// Reads a set of rows, or goes on with it after a key.
    fn list_call(&self, set: RowSet, after_key: Option<&str>) -> Request<Bytes>;

    /// Waits for changes of a set after a version of the store.
    fn watch_call(&self, set: RowSet, after: RowNumber, wait: Duration) -> Request<Bytes>;

    /// Reads the head of any answer of the store.
    fn read_store_head(&self, head: &HeaderMap) -> StoreHead;

    /// Reads the answer to a list or a watch, made in an era of the store.
    ///
    /// # Errors
    /// The store gave no rows.
    fn read_page(
        &self,
        set: RowSet,
        era: StoreEra,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Page, StoreRefusal>;

    /// Writes this host's row.
    fn write_host_call(&self, host: &HostRecord) -> Request<Bytes>;

    /// Writes where the streams of a group of hosts run.
    fn write_runs_call(&self, group: &str, runs: &[RunTrace]) -> Request<Bytes>;

    /// Writes what a group of hosts knows of requests that crash upstreams, as of a time of the store.
    fn write_crashes_call(
        &self,
        group: &str,
        news: &[CrashUpdate],
        written: StoreTime,
    ) -> Request<Bytes>;

    /// Writes how far a roll-out is, for hosts and for the operator, where the version of its row is
    /// still this one; 0 where there was none.
    fn write_rollout_call(&self, record: &RolloutRecord, expected: RowNumber) -> Request<Bytes>;

    /// Reads the answer to such a write, made in an era of the store.
    fn read_written(&self, era: StoreEra, status: StatusCode, body: &[u8]) -> Written;

    /// Writes the lease of the duties and what was decided, where the version of its row is still this
    /// one; 0 where there was none.
    fn write_duties_call(&self, record: &DutyRecord, expected: RowNumber) -> Request<Bytes>;

    /// Reports what customers used in a window.
    fn usage_call(&self, report: &UsageReport, caller: &DutyCaller) -> Request<Bytes>;

    /// Orders engines.
    fn engine_order_call(&self, order: &EngineOrder, caller: &DutyCaller) -> Request<Bytes>;

    /// Reads the answer to a call that only the holder of a duty may make.
    fn read_duty_answer(&self, status: StatusCode) -> DutyAnswer;

    /// Asks the engine of a run to copy its memory to another engine while it runs on.
    fn copy_call(
        &self,
        source: &UpstreamRecord,
        run: &RequestId,
        target: SocketAddr,
    ) -> Request<Bytes>;

    /// The name under which a copy lies, from the answer to a copy call.
    fn read_copied(&self, status: StatusCode, body: &[u8]) -> Option<String>;
}
