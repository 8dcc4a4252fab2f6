//! One long generation whose engine is killed half way.

use {
    crate::{
        check::check_answer,
        fleet::{Fleet, FleetOptions, start_call},
        work::{LATENCY_KEY, Work},
    },
    eyre::eyre,
    std::time::{Duration, Instant},
    tealshore_callers::client::{CallEnd, CallRecord},
};

/// What to show.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Entry hosts.
    pub routers: u64,
    /// Model engines.
    pub engines: u64,
    /// The length of the answer.
    pub tokens: u64,
}

/// Runs the demonstration; whether the answer was whole.
///
/// # Errors
/// It could not be run.
pub async fn run(options: &DemoOptions) -> eyre::Result<bool> {
    println!(
        "starting {} entry hosts, {} engines, 3 plain services, a table and a host list",
        options.routers, options.engines
    );
    let fleet_options = FleetOptions {
        routers: options.routers,
        engines: options.engines,
        plain: 3,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(fleet_options).await?;
    let work = Work::new(
        "demo-1",
        "assess",
        "assess the flood extent along the lower river",
        options.tokens,
    );
    let caller = Fleet::caller(LATENCY_KEY, true);
    let answer = caller
        .addresses(fleet.entries()[0])
        .await
        .map_err(|cause| eyre!(cause))?;
    let entries: Vec<_> = answer.addresses.iter().map(|entry| entry.address).collect();
    println!(
        "told to use {} addresses, first {}",
        entries.len(),
        entries[0]
    );
    let (calling, mut progress) = start_call(caller, entries, &work);
    let half = options.tokens / 2;
    progress.wait_for(|tokens| *tokens >= half).await?;
    let victim = *fleet
        .engines_of(&work)
        .await
        .first()
        .ok_or_else(|| eyre!("no engine has the request"))?;
    let killed_at = Instant::now();
    fleet.engines[victim].process.kill().await?;
    println!("killed {} after {half} tokens", fleet.engines[victim].id);
    let record = calling.await?;
    report(&fleet, &work, &record, killed_at).await
}

async fn report(
    fleet: &Fleet,
    work: &Work,
    record: &CallRecord,
    killed_at: Instant,
) -> eyre::Result<bool> {
    println!(
        "the answer ended: {:?}, over {} connection(s)",
        record.end, record.connections
    );
    let check = check_answer(work, &record.arrivals, work.tokens(), 1);
    let resumed = record
        .arrivals
        .iter()
        .find(|arrival| arrival.at > killed_at + longest_flight(record, killed_at));
    let resume_ms = resumed.map_or(0, |arrival| {
        arrival.at.duration_since(killed_at).as_millis()
    });
    let survivors = fleet.work().await;
    let resumes = survivors
        .iter()
        .filter(|(_, counts)| counts.runs.contains_key(&work.engine_request_id()))
        .count();
    let line = serde_json::json!({
        "tokens": check.tokens,
        "missing": check.missing,
        "repeated": check.repeated,
        "mixed": check.mixed,
        "resumes": resumes,
        "resume_ms": resume_ms,
        "extra_work_ratio": extra_work_ratio(work, record, killed_at, &survivors),
    });
    println!("{line}");
    let is_whole = check.is_whole() && check.tokens == work.tokens();
    Ok(is_whole && resumes == 1 && matches!(record.end, CallEnd::Whole))
}

/// Tokens that were on their way when the engine died arrive right after: the wait is the
/// longest gap between two arrivals that begins around the kill.
fn longest_flight(record: &CallRecord, killed_at: Instant) -> Duration {
    let pairs = record.arrivals.windows(2);
    let gaps = pairs
        .filter(|pair| pair[1].at > killed_at)
        .map(|pair| (pair[1].at - pair[0].at, pair[0].at));
    let start = gaps.max().map_or(killed_at, |(_, start)| start);
    start.saturating_duration_since(killed_at)
}

/// Tokens computed in all against those of one clean run. The dead engine's work is counted
/// as the prompt and what it had sent.
fn extra_work_ratio(
    work: &Work,
    record: &CallRecord,
    killed_at: Instant,
    survivors: &[(String, tealshore_standin::engine::WorkCounts)],
) -> f64 {
    let prompt = tealshore_standin::model::tokenize(&work.prompt()).len() as u64;
    let sent = record
        .arrivals
        .iter()
        .filter(|arrival| arrival.at <= killed_at)
        .count() as u64;
    let rerun: u64 = survivors
        .iter()
        .map(|(_, counts)| counts.prefill_tokens + counts.decode_tokens)
        .sum();
    let clean = prompt + work.tokens();
    let ratio = (prompt + sent + rerun) as f64 / clean as f64;
    (ratio * 1000.0).round() / 1000.0
}
