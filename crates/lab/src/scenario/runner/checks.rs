//! What a scenario expects of answers.

use {
    crate::{check::check_answer, work::Work},
    tealshore_callers::client::{CallEnd, CallRecord},
    tealshore_core::answer::Ran,
};

/// Why an answer is not whole.
pub fn check_whole(work: &Work, record: &CallRecord, salts: u64) -> Option<String> {
    if !matches!(record.end, CallEnd::Whole) {
        return Some(format!(
            "it ended with {:?} after {} tokens",
            record.end,
            record.arrivals.len()
        ));
    }
    let check = check_answer(work, &record.arrivals, work.tokens(), salts);
    (!check.is_whole()).then(|| format!("{check:?}"))
}

/// Why an answer is no prefix of one generation.
pub fn check_prefix(work: &Work, record: &CallRecord, salts: u64) -> Option<String> {
    let check = check_answer(work, &record.arrivals, record.arrivals.len() as u64, salts);
    (!check.is_whole()).then(|| format!("{check:?}"))
}

/// Why what was told of a request is not true.
pub fn check_honest(record: &CallRecord, runs: u32) -> Option<String> {
    match &record.end {
        CallEnd::Problem(problem) if problem.ran == Ran::No && runs > 0 => {
            Some(format!("told as not run, and ran {runs} times"))
        }
        CallEnd::Whole | CallEnd::Problem(_) | CallEnd::GaveUp(_) => None,
    }
}

/// Why an answer is not the problem that was expected.
pub fn check_problem(record: &CallRecord, kind: &str) -> Option<String> {
    match &record.end {
        CallEnd::Problem(problem) if problem.kind_name() == kind => None,
        other => Some(format!("it ended with {other:?}")),
    }
}
