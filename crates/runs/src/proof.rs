//! Decides whether an earlier run is that of a caller who resumes its stream.

use {
    crate::{
        inquiry::{HostReply, Inquiry, RunReport, RunState},
        trace::{EventId, KnownRun, RunOrigin},
    },
    std::collections::HashSet,
    tealshore_core::ids::{HostId, RequestId},
};

/// What shows that the answer to the only known run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The process that gave the answer says so.
    Ended,
    /// The host of that process runs another process now.
    ProcessReplaced,
    /// Nothing listens at the address of that process.
    ProcessGone,
}

impl Proof {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::ProcessReplaced => "process-replaced",
            Self::ProcessGone => "process-gone",
        }
    }
}

/// Why no run can be taken for the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No run is known.
    NoRun,
    /// Several callers may have asked for the same.
    SeveralRuns,
    /// The run was reported without its origin.
    UnknownOrigin,
    /// The run's caller is still being answered.
    StillAnswered,
    /// The run's caller got the whole answer.
    AnsweredWhole,
    /// The run's caller was sent fewer events than the caller who resumes has.
    FewerEvents,
    /// The process that gave the answer no longer knows the run.
    Forgotten,
    /// The process that gave the answer does not reply: it may go on, cut off from this host.
    ProcessSilent,
    /// The process that gave the answer can't be understood.
    Unreadable,
    /// No other host confirmed that there is no other run.
    Unconfirmed,
    /// A host of which nothing was heard lately may answer callers of whom no other host knows.
    UnheardHost,
    /// This host may know of some runs no longer, for lack of room.
    LogFull,
    /// The run began after a loss of all hosts, so one that began before may be unknown.
    EarlierRunsLost,
}

impl Doubt {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRun => "no-run",
            Self::SeveralRuns => "several-runs",
            Self::UnknownOrigin => "unknown-origin",
            Self::StillAnswered => "still-answered",
            Self::AnsweredWhole => "answered-whole",
            Self::FewerEvents => "fewer-events",
            Self::Forgotten => "forgotten",
            Self::ProcessSilent => "process-silent",
            Self::Unreadable => "unreadable",
            Self::Unconfirmed => "unconfirmed",
            Self::UnheardHost => "unheard-host",
            Self::LogFull => "log-full",
            Self::EarlierRunsLost => "earlier-runs-lost",
        }
    }
}

/// Returns the only run that a caller may have left, and its origin. Runs that continue each other count as one, which
/// the last of them stands for.
///
/// # Errors
/// There is none, there are several, or it was reported without its origin.
pub fn sole_run(runs: &[RunReport]) -> Result<(&RunReport, &RunOrigin), Doubt> {
    let continued: HashSet<&RequestId> = runs
        .iter()
        .filter_map(|report| report.run.origin.as_ref()?.continues.as_ref())
        .collect();
    let mut last = runs
        .iter()
        .filter(|report| !continued.contains(&report.run.trace.request));
    let sole = last.next().ok_or(Doubt::NoRun)?;
    if last.next().is_some() {
        return Err(Doubt::SeveralRuns);
    }
    let origin = sole.run.origin.as_ref().ok_or(Doubt::UnknownOrigin)?;
    Ok((sole, origin))
}

/// Decides which run a caller left that resumes after `last_event`. `known` are the recent runs of the same content
/// that this host knows.
///
/// # Errors
/// No run is proven to be the caller's.
pub fn prove_own_run(
    known: &[RunReport],
    inquiry: &Inquiry,
    last_event: EventId,
) -> Result<(KnownRun, Proof), Doubt> {
    let replies = &inquiry.replies;
    let merged = merge(known, replies);
    let (sole, origin) = sole_run(&merged)?;
    let run_host = &origin.process.host;
    let is_confirmed = replies.iter().any(|reply| confirms(reply, run_host));
    if inquiry.has_witnesses && !is_confirmed {
        return Err(Doubt::Unconfirmed);
    }
    let mut unheard = inquiry.unheard.iter().filter(|host| *host != run_host);
    if unheard.any(|host| inquiry.reply_of(host).is_none_or(may_hide_runs)) {
        return Err(Doubt::UnheardHost);
    }
    let mut loss = inquiry.loss.iter();
    if loss.any(|loss| loss.may_hide_run(&sole.run, &merged)) {
        return Err(Doubt::EarlierRunsLost);
    }
    let proof = match sole.state {
        Some(state) => check_state(state, last_event)?,
        None => check_process(origin, inquiry.reply_of(run_host))?,
    };
    Ok((sole.run.clone(), proof))
}

/// Whether a host other than that of the run replied with all runs that there are, as far as it was told.
fn confirms(reply: &HostReply, run_host: &HostId) -> bool {
    match reply {
        HostReply::Runs {
            process,
            is_partial,
            ..
        } => !is_partial && process.host != *run_host,
        HostReply::NotListening(_) | HostReply::Silent(_) | HostReply::Unreadable(_) => false,
    }
}

/// Whether the host that replied so may answer callers of whom no other host knows.
fn may_hide_runs(reply: &HostReply) -> bool {
    match reply {
        HostReply::Silent(_) | HostReply::Unreadable(_) => true,
        HostReply::Runs { .. } | HostReply::NotListening(_) => false,
    }
}

/// Adds the runs in the replies to the known ones. The state of a run is that which its own process reports.
fn merge(known: &[RunReport], replies: &[HostReply]) -> Vec<RunReport> {
    let mut merged = known.to_vec();
    for reply in replies {
        let HostReply::Runs { runs, .. } = reply else {
            continue;
        };
        for report in runs {
            let request = &report.run.trace.request;
            let mut known = merged.iter_mut();
            match known.find(|known| known.run.trace.request == *request) {
                Some(known) => {
                    known.state = known.state.or(report.state);
                    known.age = known.age.min(report.age);
                    if known.run.origin.is_none() {
                        known.run.origin.clone_from(&report.run.origin);
                    }
                }
                None => merged.push(report.clone()),
            }
        }
    }
    merged
}

fn check_state(state: RunState, caller_last_event: EventId) -> Result<Proof, Doubt> {
    match state {
        RunState::Answering => Err(Doubt::StillAnswered),
        RunState::Ended {
            is_complete: true, ..
        } => Err(Doubt::AnsweredWhole),
        RunState::Ended { last_event, .. } if last_event.unwrap_or(0) < caller_last_event => {
            Err(Doubt::FewerEvents)
        }
        RunState::Ended { .. } => Ok(Proof::Ended),
    }
}

/// Decides by the reply of the process that gave the answer, which names no state of it.
fn check_process(origin: &RunOrigin, reply: Option<&HostReply>) -> Result<Proof, Doubt> {
    match reply {
        Some(HostReply::Runs { process, .. }) if *process == origin.process => {
            Err(Doubt::Forgotten)
        }
        Some(HostReply::Runs { .. }) => Ok(Proof::ProcessReplaced),
        Some(HostReply::NotListening(_)) => Ok(Proof::ProcessGone),
        Some(HostReply::Silent(_)) => Err(Doubt::ProcessSilent),
        Some(HostReply::Unreadable(_)) => Err(Doubt::Unreadable),
        // A host that was not asked has the run that was learned from a reply.
        None => Err(Doubt::Unconfirmed),
    }
}
