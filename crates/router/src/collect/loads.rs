//! Polls the load of engines.

use {
    crate::state::RouterState,
    futures::{StreamExt, stream},
    std::{sync::Arc, time::Duration},
    tealshore_engines::Engine,
    tokio::time::{Instant, sleep_until},
};

/// Polls per second of this host, which bounds the cost of load reports however many engines
/// it knows.
const POLLS_PER_S: f64 = 12.0;
/// Minimum duration of one round over all engines.
const MIN_ROUND_DURATION: Duration = Duration::from_secs(1);
/// How long an engine may take to answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Polls all known engines, round after round.
pub async fn collect(state: Arc<RouterState>) {
    loop {
        let engines = state.fleet.engines();
        let round =
            Duration::from_secs_f64(engines.len() as f64 / POLLS_PER_S).max(MIN_ROUND_DURATION);
        let next_round = Instant::now() + round;
        stream::iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_POLLS, |(service, id, address)| {
                let state = &state;
                async move {
                    if let Some(report) = state.engine(address).load(POLL_TIMEOUT).await {
                        state.fleet.record_load(&service, &id, report);
                    }
                }
            })
            .await;
        sleep_until(next_round).await;
    }
}
