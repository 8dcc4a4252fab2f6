//! Measures how long callers wait after engines are killed or freeze, and how much extra work it takes.
//! Compares both resume policies with callers that restart their requests.

use {
    crate::{
        fleet::{Fleet, FleetOptions},
        stats::{Percentiles, round},
        work::Work,
    },
    eyre::eyre,
    futures::future::join_all,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_callers::{
        client::{CallEnd, CallRecord, Caller},
        ticket::TicketPlace,
    },
    tealshore_standin::engine::WorkCounts,
};

const ENGINES: u64 = 8;
const STEP: Duration = Duration::from_millis(20);
const PREFILL_PER_STEP: u64 = 512;
const PROMPT_TOKENS: u64 = 300;
const TOKENS: u64 = 250;
/// When the engines fail, about halfway through the answers.
const FAIL_AFTER: Duration = Duration::from_millis(2_500);
/// How many engines fail at the same time.
const FAILED_ENGINES: usize = 2;

/// How engines fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureMode {
    /// The processes are killed.
    Kill,
    /// The processes are suspended, and continue after all answers have ended.
    Freeze,
}

/// How a call recovers from the failure of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecoveryStrategy {
    /// The system resumes it, by the latency policy.
    Latency,
    /// The system resumes it, by the thrift policy.
    Thrift,
    /// The template forbids repeats; the caller sends the request again under a new id.
    StartingOver,
}

impl RecoveryStrategy {
    fn template(self) -> &'static str {
        match self {
            Self::Latency => "assess",
            Self::Thrift => "summary",
            Self::StartingOver => "draft",
        }
    }
}

struct CaseResult {
    waits_ms: Vec<f64>,
    whole: usize,
    work_tokens: u64,
    suspicions: f64,
}

/// Measures all cases; prints a row for each case, then a line of JSON for each.
///
/// # Errors
/// Fails if a system can't be started, or if a call ends in an unexpected way.
pub async fn run(streams: u64) -> eyre::Result<bool> {
    let limit_ms = min_resume_time().as_secs_f64() * 1e3;
    println!(
        "{streams} streams, {FAILED_ENGINES} of {ENGINES} engines fail; limit without detection {limit_ms:.0} ms"
    );
    println!(
        "policy        failure | affected | wait ms p50, p95, p99 | work of clean | suspicions"
    );
    let mut lines = Vec::new();
    let mut all_whole = true;
    for strategy in [
        RecoveryStrategy::Latency,
        RecoveryStrategy::Thrift,
        RecoveryStrategy::StartingOver,
    ] {
        for failure_mode in [FailureMode::Kill, FailureMode::Freeze] {
            let outcome = measure(strategy, failure_mode, streams).await?;
            let waits = Percentiles::of(outcome.waits_ms);
            let clean = streams * (PROMPT_TOKENS + TOKENS);
            let ratio = outcome.work_tokens as f64 / clean as f64;
            println!(
                "{:13} {:7} | {:8} | {:6.0}, {:6.0}, {:6.0} | {ratio:13.3} | {:.0}",
                format!("{strategy:?}"),
                format!("{failure_mode:?}"),
                waits.count,
                waits.p50,
                waits.p95,
                waits.p99,
                outcome.suspicions
            );
            all_whole &= outcome.whole == usize::try_from(streams)?;
            lines.push(serde_json::json!({
                "policy": format!("{strategy:?}"), "failure": format!("{failure_mode:?}"), "affected": waits.count,
                "wait_ms_p50": round(waits.p50), "wait_ms_p95": round(waits.p95), "wait_ms_p99": round(waits.p99),
                "limit_ms": round(limit_ms), "extra_work_ratio": round(ratio), "whole": outcome.whole,
                "suspicions": outcome.suspicions,
            }));
        }
    }
    lines.iter().for_each(|line| println!("{line}"));
    Ok(all_whole)
}

/// Returns the minimum time of a resume by recomputation once the loss is detected: on average half a
/// step until the next one starts, and the steps that prefill the prompt and what was received. The last
/// of them also gives the next token.
fn min_resume_time() -> Duration {
    let prefill_steps = (PROMPT_TOKENS + TOKENS / 2).div_ceil(PREFILL_PER_STEP);
    STEP / 2 + STEP * u32::try_from(prefill_steps).unwrap_or(1)
}

async fn measure(
    strategy: RecoveryStrategy,
    failure_mode: FailureMode,
    streams: u64,
) -> eyre::Result<CaseResult> {
    let prefill = PREFILL_PER_STEP.to_string();
    let options = FleetOptions {
        engines: ENGINES,
        engine_args: [
            "--step-ms",
            "20",
            "--slots",
            "64",
            "--prefill-per-step",
            &prefill,
        ]
        .map(str::to_owned)
        .to_vec(),
        table_args: ["--writes-per-s", "1000"].map(str::to_owned).to_vec(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await?;
    let callers: Vec<_> = (0..streams)
        .map(|index| tokio::spawn(run_caller(strategy, fleet.entries(), index)))
        .collect();
    tokio::time::sleep(FAIL_AFTER).await;
    let mut lost = WorkCounts::default();
    let victims: Vec<String> = fleet.engines[..FAILED_ENGINES]
        .iter()
        .map(|engine| engine.id.clone())
        .collect();
    let failed_at = Instant::now();
    for index in 0..FAILED_ENGINES {
        match failure_mode {
            FailureMode::Kill => {
                let counts: WorkCounts = fleet
                    .read(fleet.engines[index].address, "/control/work")
                    .await?;
                lost.prefill_tokens += counts.prefill_tokens;
                lost.decode_tokens += counts.decode_tokens;
                fleet.engines[index].process.kill().await?;
            }
            FailureMode::Freeze => fleet.engines[index].process.freeze()?,
        }
    }
    let records = join_all(callers).await;
    if failure_mode == FailureMode::Freeze {
        fleet.engines[..FAILED_ENGINES]
            .iter()
            .try_for_each(|engine| engine.process.thaw())?;
        // The work that a thawed engine does before it receives its cancellations is counted, too.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let mut outcome = CaseResult {
        waits_ms: Vec::new(),
        whole: 0,
        work_tokens: lost.prefill_tokens + lost.decode_tokens,
        suspicions: 0.0,
    };
    for record in records {
        let answer = record??;
        outcome.whole += usize::from(answer.is_whole);
        outcome
            .waits_ms
            .extend(answer.wait_after(&victims, failed_at));
    }
    outcome.work_tokens += fleet
        .work()
        .await
        .iter()
        .map(|(_, counts)| counts.prefill_tokens + counts.decode_tokens)
        .sum::<u64>();
    for index in 0..fleet.routers.len() {
        outcome.suspicions += fleet.metric(index, "tealshore_suspicions_total").await?;
    }
    Ok(outcome)
}

struct ReceivedToken {
    position: u64,
    engine: String,
    at: Instant,
}

struct Answer {
    received_tokens: Vec<ReceivedToken>,
    is_whole: bool,
}

impl Answer {
    /// Returns the time from the failure to the next new token, in milliseconds, if a failed engine ran
    /// the generation at the time of the failure.
    fn wait_after(&self, victims: &[String], failed_at: Instant) -> Option<f64> {
        let before = self
            .received_tokens
            .iter()
            .rfind(|token| token.at <= failed_at)?;
        if !victims.contains(&before.engine) {
            return None;
        }
        let next = self
            .received_tokens
            .iter()
            .find(|token| token.position > before.position && !victims.contains(&token.engine))?;
        Some(next.at.duration_since(failed_at).as_secs_f64() * 1e3)
    }
}

async fn run_caller(
    strategy: RecoveryStrategy,
    entries: Vec<SocketAddr>,
    index: u64,
) -> eyre::Result<Answer> {
    let mut entries = entries;
    let first = usize::try_from(index)? % entries.len();
    entries.rotate_left(first);
    let mut received_tokens = Vec::new();
    for attempt in 0..5 {
        let prompt = format!(
            "{index} {}",
            "word ".repeat(usize::try_from(PROMPT_TOKENS)? - 1)
        );
        let work = Work::new(
            &format!("r{index}-{attempt}"),
            strategy.template(),
            &prompt,
            TOKENS,
        );
        let caller = Fleet::caller_with_event_timeout(work.key(), Duration::from_secs(5));
        let record = read_answer(&caller, &entries, &work, &mut received_tokens).await;
        match record.end {
            CallEnd::Complete => {
                return Ok(Answer {
                    received_tokens,
                    is_whole: true,
                });
            }
            CallEnd::Problem(_) | CallEnd::GaveUp(_)
                if strategy == RecoveryStrategy::StartingOver => {}
            end => return Err(eyre!("call {} ended unexpectedly: {end:?}", work.call.id)),
        }
    }
    Ok(Answer {
        received_tokens,
        is_whole: false,
    })
}

async fn read_answer(
    caller: &Caller,
    entries: &[SocketAddr],
    work: &Work,
    received_tokens: &mut Vec<ReceivedToken>,
) -> CallRecord {
    caller
        .complete_with_ids(entries, &work.call, |arrival, id| {
            let engine = id
                .and_then(TicketPlace::decode_unverified)
                .map(|place| place.engine)
                .unwrap_or_default();
            received_tokens.push(ReceivedToken {
                position: arrival.position,
                engine,
                at: arrival.at,
            });
        })
        .await
}
