//! Finds the run that a caller left who resumes a stream.

use {
    crate::{forward::call::Call, peers::ask_about_runs, state::GatewayState},
    std::time::Duration,
    tealshore_core::clock,
    tealshore_core::protection::{Protection, enabled},
    tealshore_runs::{Doubt, EventId, KnownRun, Proof, RunReport, prove_own_run, sole_run},
};

/// Maximum number of runs in a log line.
const MAX_LISTED_RUNS: usize = 4;
/// How long any caller may wait for its answer and resume meanwhile.
const MIN_PATIENCE: Duration = Duration::from_secs(30);

/// Returns the run that the caller left after `last_event`, or `None` if none is proven to be the caller's: the copy
/// of another caller's run must not be used.
pub async fn find_own_run(
    state: &GatewayState,
    call: &Call,
    last_event: EventId,
) -> Option<KnownRun> {
    let began = clock::now();
    let mut known = state.runs.log.lock().recent(call.content_match(), began);
    if !enabled(Protection::OwnRun) {
        return Some(known.pop()?.run);
    }
    let found = prove(state, call, &known, last_event).await;
    let evidence = match &found {
        Ok((_, proof)) => proof.name(),
        Err(doubt) => doubt.name(),
    };
    let run = found.ok().map(|(run, _)| run);
    state.metrics.resumes.with_label_values(&[evidence]).inc();
    log::info!(
        "stream: resume requested request={} digest={} content={:016x} last={last_event} evidence={evidence} run={} \
         known={} took_ms={}",
        call.id(),
        call.fingerprint_hex(),
        call.content,
        run.as_ref().map_or("-", |run| run.trace.request.as_str()),
        list(&known),
        clock::elapsed(began).as_millis()
    );
    run
}

async fn prove(
    state: &GatewayState,
    call: &Call,
    known: &[RunReport],
    last_event: EventId,
) -> Result<(KnownRun, Proof), Doubt> {
    let (_, origin) = sole_run(known)?;
    let mut inquiry = ask_about_runs(state, call.content_match(), origin).await;
    // Until this host has restored all runs, only another one can confirm that there is no other.
    inquiry.has_witnesses |= !state.runs.is_restored();
    let now = clock::now();
    let log = state.runs.log.lock();
    if log.is_partial(now) {
        return Err(Doubt::LogFull);
    }
    let patience = MIN_PATIENCE.max(call.route.timeout);
    inquiry.loss = log.loss(patience, now);
    // Another host may have reported another run meanwhile.
    let known = log.recent(call.content_match(), now);
    drop(log);
    prove_own_run(&known, &inquiry, last_event)
}

/// Lists runs for logs: attempt, host and age of each.
fn list(known: &[RunReport]) -> String {
    let entries = known.iter().map(|report| {
        let origin = report.run.origin.as_ref();
        let host = origin.map_or("?", |origin| origin.process.host.as_str());
        let request = &report.run.trace.request;
        format!("{request}@{host}/{}ms", report.age.as_millis())
    });
    let entries: Vec<String> = entries.take(MAX_LISTED_RUNS).collect();
    if entries.is_empty() {
        return "-".to_owned();
    }
    entries.join(",")
}
