//! The requests that this host has begun to read, and the connections of callers, for the log of a planned stop.

use {
    crate::view::{Route, RouteKind},
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Weak,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tealshore_core::ids::{EngineId, RequestId},
};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its body is not read yet.
    Receiving,
    /// It waits to be sent to an upstream.
    Queued,
    /// It was sent to an upstream, and its answer has not begun.
    PassedOn,
    /// Its answer is a stream that has begun.
    Answering,
    /// Its answer is handed to the connection, which may not have written it yet.
    Answered,
}

impl Stage {
    /// The stage's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Queued => "queued",
            Self::PassedOn => "passed-on",
            Self::Answering => "answering",
            Self::Answered => "unwritten",
        }
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Its route is not known yet.
    Unknown,
    /// A plain call.
    Call,
    /// A stream.
    Stream,
}

impl RequestKind {
    /// The kind's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Call => "call",
            Self::Stream => "stream",
        }
    }
}

/// What is known of a request so far.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    /// How far it has come.
    pub stage: Stage,
    /// What it asks for.
    pub kind: RequestKind,
    /// The name of its route.
    pub route: Option<String>,
    /// The upstream to which it was sent last.
    pub upstream: Option<EngineId>,
    /// How often it was sent to an upstream.
    pub sends: u32,
}

/// A request that is listed until this is dropped.
pub struct TrackedRequest {
    /// Its id.
    pub id: Option<RequestId>,
    /// When its head was received.
    pub received: Instant,
    progress: Mutex<RequestProgress>,
    number: u64,
    list: Arc<RequestList>,
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        self.list.0.lock().remove(&self.number);
    }
}

impl TrackedRequest {
    /// Records that its body is read and a route was found for it.
    pub fn record_admission(&self, route: &Route) {
        let mut progress = self.progress.lock();
        progress.stage = Stage::Queued;
        progress.kind = match route.kind {
            RouteKind::Safe | RouteKind::Unsafe => RequestKind::Call,
            RouteKind::Stream { .. } => RequestKind::Stream,
        };
        progress.route = Some(route.name.clone());
    }

    /// Records that it is sent to an upstream.
    pub fn record_send(&self, upstream: &EngineId) {
        let mut progress = self.progress.lock();
        progress.stage = progress.stage.max(Stage::PassedOn);
        progress.upstream = Some(upstream.clone());
        progress.sends += 1;
    }

    /// Records a later stage.
    pub fn record_stage(&self, stage: Stage) {
        self.progress.lock().stage = stage;
    }

    /// Returns what is known of it so far.
    pub fn progress(&self) -> RequestProgress {
        self.progress.lock().clone()
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.progress.lock().stage
    }
}

#[derive(Default)]
struct RequestList(Mutex<BTreeMap<u64, Weak<TrackedRequest>>>);

/// The requests in flight and the open connections of callers.
#[derive(Default)]
pub struct InFlight {
    list: Arc<RequestList>,
    next_number: AtomicU64,
    connections: Arc<AtomicUsize>,
}

impl InFlight {
    /// Lists a request.
    pub fn begin(&self, id: Option<RequestId>, received: Instant) -> Arc<TrackedRequest> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(TrackedRequest {
            id,
            received,
            progress: Mutex::new(RequestProgress {
                stage: Stage::Receiving,
                kind: RequestKind::Unknown,
                route: None,
                upstream: None,
                sends: 0,
            }),
            number,
            list: self.list.clone(),
        });
        let mut list = self.list.0.lock();
        list.insert(number, Arc::downgrade(&request));
        drop(list);
        request
    }

    /// Returns all listed requests, the oldest first. Those that are answered are listed until their connection ends
    /// or carries another request.
    pub fn requests(&self) -> Vec<Arc<TrackedRequest>> {
        let list = self.list.0.lock();
        list.values().filter_map(Weak::upgrade).collect()
    }

    /// Returns the record of connections from which that of each connection is cloned.
    pub fn connections(&self) -> CallerConnection {
        CallerConnection {
            count: self.connections.clone(),
            is_counted: false,
            answered: Arc::default(),
        }
    }

    /// The number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// A caller's connection. A server clones its handler once for each connection; each clone counts as an open one until
/// it is dropped.
pub struct CallerConnection {
    count: Arc<AtomicUsize>,
    is_counted: bool,
    answered: Arc<Mutex<Option<Arc<TrackedRequest>>>>,
}

impl Clone for CallerConnection {
    fn clone(&self) -> Self {
        self.count.fetch_add(1, Ordering::Relaxed);
        Self {
            count: self.count.clone(),
            is_counted: true,
            answered: Arc::default(),
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        if self.is_counted {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl CallerConnection {
    /// Returns where the request is kept that was answered last.
    pub fn last_answer(&self) -> LastAnswer {
        LastAnswer(self.answered.clone())
    }
}

/// The request of a connection that was answered last.
pub struct LastAnswer(Arc<Mutex<Option<Arc<TrackedRequest>>>>);

impl LastAnswer {
    /// Records that another request has arrived, so the answer before is written or comes first.
    pub fn forget(&self) {
        let answered = self.0.lock().take();
        drop(answered);
    }

    /// Keeps a request whose answer is handed to the connection.
    pub fn keep(&self, request: Arc<TrackedRequest>) {
        let before = self.0.lock().replace(request);
        drop(before);
    }
}
