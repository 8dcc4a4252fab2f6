//! What hosts tell each other about the runs of one request.

use {
    crate::trace::{EventId, KnownRun},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::{HostId, ProcessId},
};

/// The state of an answer, according to the process that gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// The caller is being answered.
    Answering,
    /// The answer has ended.
    Ended {
        /// The last event that was passed on to the caller.
        last_event: Option<EventId>,
        /// Whether the answer ended whole.
        is_complete: bool,
    },
}

/// A run that a host knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: KnownRun,
    /// The state of its answer; `None` if another process gives the answer.
    pub state: Option<RunState>,
    /// Time since the run was last known to be answered.
    pub age: Duration,
}

/// What a host that was asked about the runs of a request replied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// The runs that it knows, always including those that it answers itself.
    Runs {
        /// The process that replied.
        process: ProcessId,
        /// The runs, those of other hosts included.
        runs: Vec<RunReport>,
        /// Whether some runs of other hosts may be missing: it has not learned yet which there were before its start,
        /// or had no room for all.
        is_partial: bool,
    },
    /// Nothing listens at the address of this host: its process has ended.
    NotListening(HostId),
    /// No reply arrived in time.
    Silent(HostId),
    /// The reply can't be read, since the host runs another build or another host has its address.
    Unreadable(HostId),
}

/// What an inquiry about the runs of a request found.
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    /// The reply of each host that was asked.
    pub replies: Vec<HostReply>,
    /// Whether live hosts besides that of the run were asked to confirm that there is no other run.
    pub has_witnesses: bool,
    /// Hosts that were asked since nothing was heard from them lately: they may answer callers all the same.
    pub unheard: Vec<HostId>,
}

impl Inquiry {
    /// The reply of a host.
    #[must_use]
    pub fn reply_of(&self, host: &HostId) -> Option<&HostReply> {
        let mut replies = self.replies.iter();
        replies.find(|reply| reply.host() == host)
    }
}

impl HostReply {
    /// The host that was asked.
    #[must_use]
    pub fn host(&self) -> &HostId {
        match self {
            Self::Runs { process, .. } => &process.host,
            Self::NotListening(host) | Self::Silent(host) | Self::Unreadable(host) => host,
        }
    }
}
