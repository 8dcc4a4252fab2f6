//! What hosts tell each other about the runs of one request.

use {
    crate::trace::{EventId, KnownRun},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tealshore_core::ids::{HostId, ProcessId, RequestId},
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

/// A loss of all hosts that knew the runs of that time, of which only the stored ones are known since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Time since the stored runs were read.
    pub age: Duration,
    /// The attempts of the stored runs.
    pub restored: Vec<RequestId>,
}

impl LossReport {
    /// Whether a caller who was answered before the loss may have left a run that is not known, beside the last one of
    /// `runs`. Beside a stored run, another run of its content would be stored too.
    pub(crate) fn may_hide_run(&self, last: &KnownRun, runs: &[RunReport]) -> bool {
        let mut attempt = Some(&last.trace.request);
        while let Some(request) = attempt {
            if self.restored.contains(request) {
                return false;
            }
            let mut reports = runs.iter();
            let report = reports.find(|report| report.run.trace.request == *request);
            attempt = report.and_then(|report| report.run.origin.as_ref()?.continues.as_ref());
        }
        true
    }
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
    /// A loss of all hosts since which a caller who was answered before may still wait.
    pub loss: Option<LossReport>,
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
