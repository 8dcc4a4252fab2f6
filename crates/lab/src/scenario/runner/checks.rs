//! Checks of answers for the `expect` verb. Each returns why the answer fails it, or `None`.

use {
    crate::{check::check_answer, work::Work},
    tealshore_callers::client::{CallEnd, CallRecord},
    tealshore_core::answer::Ran,
};

/// Checks that the answer is whole.
pub fn check_whole(work: &Work, record: &CallRecord, salts: u64) -> Option<String> {
    if !matches!(record.end, CallEnd::Complete) {
        return Some(format!(
            "it ended with {:?} after {} tokens",
            record.end,
            record.arrivals.len()
        ));
    }
    let check = check_answer(work, &record.arrivals, work.tokens(), salts);
    (!check.is_whole()).then(|| format!("{check:?}"))
}

/// Checks that the answer is a prefix of a single generation.
pub fn check_prefix(work: &Work, record: &CallRecord, salts: u64) -> Option<String> {
    let check = check_answer(work, &record.arrivals, record.arrivals.len() as u64, salts);
    (!check.is_whole()).then(|| format!("{check:?}"))
}

/// Checks that the caller was not told "not run" of a request that ran.
pub fn check_honest(record: &CallRecord, runs: u32) -> Option<String> {
    match &record.end {
        CallEnd::Problem(problem) if problem.ran == Ran::No && runs > 0 => {
            Some(format!("it was reported as not run but ran {runs} times"))
        }
        CallEnd::Complete | CallEnd::Problem(_) | CallEnd::GaveUp(_) => None,
    }
}

/// Checks that the call ended with a problem of this kind.
pub fn check_problem(record: &CallRecord, kind: &str) -> Option<String> {
    match &record.end {
        CallEnd::Problem(problem) if problem.kind_name() == kind => None,
        other => Some(format!("it ended with {other:?}")),
    }
}
