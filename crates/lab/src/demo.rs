//! Demonstration: one long generation whose engine is killed halfway.

use {
    crate::{
        check::check_answer,
        fleet::{Fleet, FleetOptions},
        work::{LATENCY_KEY, Work},
    },
    eyre::eyre,
    std::{net::SocketAddr, time::Instant},
    tealshore_callers::{
        client::{Arrival, CallEnd, CallRecord, Caller},
        ticket::TicketPlace,
    },
    tokio::sync::watch,
};

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Number of entry hosts.
    pub routers: u64,
    /// Number of model engines.
    pub engines: u64,
    /// Length of the answer, in tokens.
    pub tokens: u64,
}

/// Runs the demonstration; returns whether the answer is whole and was resumed exactly once.
///
/// # Errors
/// Fails if the system can't be started or called.
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
        "received {} entry addresses, the first is {}",
        entries.len(),
        entries[0]
    );
    let (progress_sender, mut progress) = watch::channel(0);
    let call_task = tokio::spawn(read(caller, entries, work.clone(), progress_sender));
    let half = options.tokens / 2;
    progress.wait_for(|tokens| *tokens >= half).await?;
    let victim = *fleet
        .engines_of(&work)
        .await
        .first()
        .ok_or_else(|| eyre!("no engine has run the request"))?;
    let killed_at = Instant::now();
    fleet.engines[victim].process.kill().await?;
    println!("killed {} after {half} tokens", fleet.engines[victim].id);
    let (record, engine_changes) = call_task.await?;
    let resumed = engine_changes
        .iter()
        .find(|change| change.at > killed_at && change.engine != fleet.engines[victim].id);
    let resume_ms = resumed.map(|change| change.at.duration_since(killed_at).as_millis());
    report(&fleet, &work, &record, killed_at, resume_ms).await
}

/// The engine that the stream came from, and when its first token arrived.
struct EngineChange {
    engine: String,
    at: Instant,
}

/// Reads the answer and records each change of engine, which the event ids name.
async fn read(
    caller: Caller,
    entries: Vec<SocketAddr>,
    work: Work,
    progress_sender: watch::Sender<u64>,
) -> (CallRecord, Vec<EngineChange>) {
    let mut engine_changes: Vec<EngineChange> = Vec::new();
    let record_arrival = |arrival: &Arrival, id: Option<&str>| {
        progress_sender.send_replace(arrival.position + 1);
        let engine = id
            .and_then(TicketPlace::decode_unverified)
            .map(|place| place.engine)
            .unwrap_or_default();
        if engine_changes
            .last()
            .is_none_or(|last| last.engine != engine)
        {
            engine_changes.push(EngineChange {
                engine,
                at: arrival.at,
            });
        }
    };
    let record = caller
        .complete_with_ids(&entries, &work.call, record_arrival)
        .await;
    (record, engine_changes)
}

async fn report(
    fleet: &Fleet,
    work: &Work,
    record: &CallRecord,
    killed_at: Instant,
    resume_ms: Option<u128>,
) -> eyre::Result<bool> {
    println!(
        "the answer ended: {:?}, over {} connection(s)",
        record.end, record.connections
    );
    let check = check_answer(work, &record.arrivals, work.tokens(), 1);
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
    Ok(is_whole && resumes == 1 && matches!(record.end, CallEnd::Complete))
}

/// Returns the ratio of all computed tokens to those of a run without failure. The killed engine can't
/// be asked, so its work is estimated as the prompt and the tokens that had arrived.
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
    let survivor_tokens: u64 = survivors
        .iter()
        .map(|(_, counts)| counts.prefill_tokens + counts.decode_tokens)
        .sum();
    let single_run_tokens = prompt + work.tokens();
    let ratio = (prompt + sent + survivor_tokens) as f64 / single_run_tokens as f64;
    (ratio * 1000.0).round() / 1000.0
}
