//! Measures what an entry host adds to a stream, compared with the same stream read from its engine.

use {
    crate::{
        fleet::{Fleet, FleetOptions, Setting},
        stats::{Percentiles, round},
        usage::usage_of,
        work::{LATENCY_KEY, Work},
    },
    eyre::eyre,
    futures::{StreamExt, future::join_all},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_callers::{client::CallEnd, ticket::TicketPlace},
    tealshore_core::{
        http::{ClientOptions, HttpClient},
        ids::stream_id,
    },
    tealshore_engines::{Engine, HttpEngine, StreamItem},
    tokio::sync::oneshot,
};

/// Tokens per stream of the delay measurement.
const DELAY_TOKENS: u64 = 300;
/// Number of streams of the delay measurement.
const DELAY_STREAMS: usize = 20;
/// Number of engines of the load measurement.
const LOAD_ENGINES: u64 = 4;
/// How long streams run before the load measurement, and the length of the measurement.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Runs both measurements; prints the results and a final line of JSON.
///
/// # Errors
/// Fails if a system can't be started or a stream can't be read.
pub async fn run(streams: u64) -> eyre::Result<bool> {
    let (added, direct) = measure_delay().await?;
    println!(
        "added per token: p50 {:.3} ms, p95 {:.3} ms, p99 {:.3} ms over {} tokens",
        added.p50, added.p95, added.p99, added.count
    );
    println!(
        "between tokens, direct: p50 {:.3} ms, p99 {:.3} ms",
        direct.p50, direct.p99
    );
    let load = measure_load(streams).await?;
    println!(
        "{streams} streams: {:.0} tokens/s, {:.2} us of processor time a token ({:.0} % in the kernel), {:.0} tokens/s a core, {:.1} KB a stream",
        load.tokens_per_s,
        load.cpu_us_per_token,
        load.kernel_share * 100.0,
        load.tokens_per_s_core,
        load.kb_per_stream
    );
    let line = serde_json::json!({
        "added_ms_p50": round(added.p50),
        "added_ms_p99": round(added.p99),
        "added_to_gap_ratio_p50": round(added.p50 / direct.p50),
        "streams": streams,
        "tokens_per_s": round(load.tokens_per_s),
        "cpu_us_per_token": round(load.cpu_us_per_token),
        "kernel_share": round(load.kernel_share),
        "tokens_per_s_core": round(load.tokens_per_s_core),
        "kb_per_stream": round(load.kb_per_stream),
    });
    println!("{line}");
    Ok(true)
}

/// Reads each stream twice in parallel, through the entry host and from the engine, and compares the
/// arrival times token by token.
async fn measure_delay() -> eyre::Result<(Percentiles, Percentiles)> {
    let options = FleetOptions {
        routers: 1,
        engines: 2,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await?;
    let pairs = (0..DELAY_STREAMS).map(|index| read_twice(&fleet, index));
    let mut added_ms = Vec::new();
    let mut gaps_ms = Vec::new();
    for pair in join_all(pairs).await {
        let (through, direct) = pair?;
        let both = through.iter().zip(&direct).skip(DELAY_TOKENS as usize / 10);
        added_ms.extend(both.map(|(through, direct)| signed_difference_ms(*through, *direct)));
        gaps_ms.extend(
            direct
                .windows(2)
                .map(|pair| signed_difference_ms(pair[1], pair[0])),
        );
    }
    Ok((Percentiles::of(added_ms), Percentiles::of(gaps_ms)))
}

async fn read_twice(fleet: &Fleet, index: usize) -> eyre::Result<(Vec<Instant>, Vec<Instant>)> {
    let work = Work::new(
        &format!("delay-{index}"),
        "assess",
        "one two three",
        DELAY_TOKENS,
    );
    let (place_sender, place) = oneshot::channel();
    let (entries, call) = (fleet.entries(), work.call.clone());
    let through = tokio::spawn(async move {
        let mut place_sender = Some(place_sender);
        let caller = Fleet::caller(LATENCY_KEY, true);
        caller
            .complete_with_ids(&entries, &call, |_, id| {
                if let (Some(place_sender), Some(id)) = (place_sender.take(), id) {
                    // The receiver is dropped after an error; then the place isn't needed.
                    let _ = place_sender.send(TicketPlace::decode_unverified(id));
                }
            })
            .await
    });
    let place = place
        .await?
        .ok_or_else(|| eyre!("the first event has no readable id"))?;
    let engine = fleet
        .engines
        .iter()
        .find(|engine| engine.id == place.engine);
    let address = engine
        .ok_or_else(|| eyre!("the event id names an engine that is not part of the system"))?
        .address;
    let direct = read_direct(address, &stream_id(place.generation, place.attempt)).await?;
    let record = through.await?;
    if !matches!(record.end, CallEnd::Complete) {
        return Err(eyre!("the answer is not whole: {:?}", record.end));
    }
    Ok((
        record.arrivals.iter().map(|arrival| arrival.at).collect(),
        direct,
    ))
}

async fn read_direct(address: SocketAddr, stream: &String) -> eyre::Result<Vec<Instant>> {
    let engine = HttpEngine::new(address, HttpClient::new(&ClientOptions::default()));
    let mut stream = engine
        .attach(stream, 0)
        .await
        .map_err(|error| eyre!("could not attach to the engine's stream: {error:?}"))?;
    let mut arrivals = Vec::new();
    while let Some(StreamItem::Token { .. }) = stream.next().await {
        arrivals.push(Instant::now());
    }
    Ok(arrivals)
}

fn signed_difference_ms(later: Instant, earlier: Instant) -> f64 {
    match later.checked_duration_since(earlier) {
        Some(after) => after.as_secs_f64() * 1e3,
        None => -(earlier - later).as_secs_f64() * 1e3,
    }
}

struct LoadMeasurement {
    tokens_per_s: f64,
    cpu_us_per_token: f64,
    kernel_share: f64,
    tokens_per_s_core: f64,
    kb_per_stream: f64,
}

/// Measures the load of many concurrent streams through one entry host with a single thread.
async fn measure_load(streams: u64) -> eyre::Result<LoadMeasurement> {
    let slots = (streams / LOAD_ENGINES + streams).to_string();
    let args = [
        "--step-ms",
        "20",
        "--slots",
        &slots,
        "--kv-tokens",
        "100000000",
        "--prefill-per-step",
        "1000000",
    ];
    let options = FleetOptions {
        routers: 1,
        engines: LOAD_ENGINES,
        engine_args: args.map(str::to_owned).to_vec(),
        settings: vec![
            Setting::new("host", "threads", "1"),
            Setting::new("callers", "max_in_flight", "100000"),
            Setting::new("callers", "max_connections", "100000"),
        ],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await?;
    let router = fleet.routers[0].process.id();
    let idle = usage_of(router)?;
    let callers: Vec<_> = (0..streams)
        .map(|index| {
            let work = Work::new(&format!("load-{index}"), "assess", "one two three", 90_000);
            let entries = fleet.entries();
            tokio::spawn(async move {
                Fleet::caller_without_retries(LATENCY_KEY)
                    .complete(&entries, &work.call, |_| {})
                    .await
            })
        })
        .collect();
    tokio::time::sleep(LOAD_TIME).await;
    let (before, tokens_before, at) = (
        usage_of(router)?,
        fleet.metric(0, "tealshore_tokens_total").await?,
        Instant::now(),
    );
    tokio::time::sleep(LOAD_TIME).await;
    let (after, tokens_after, seconds) = (
        usage_of(router)?,
        fleet.metric(0, "tealshore_tokens_total").await?,
        at.elapsed().as_secs_f64(),
    );
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    let tokens = tokens_after - tokens_before;
    let cpu_us_per_token = (after.cpu - before.cpu).as_secs_f64() * 1e6 / tokens.max(1.0);
    Ok(LoadMeasurement {
        tokens_per_s: tokens / seconds,
        cpu_us_per_token,
        kernel_share: (after.kernel - before.kernel).as_secs_f64()
            / (after.cpu - before.cpu).as_secs_f64(),
        tokens_per_s_core: 1e6 / cpu_us_per_token,
        kb_per_stream: (after.resident_bytes - idle.resident_bytes) as f64 / streams as f64 / 1e3,
    })
}
