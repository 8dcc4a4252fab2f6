//! Asks engines for their load.

use {
    crate::state::RouterState,
    futures::{StreamExt, stream},
    std::{sync::Arc, time::Duration},
    tealshore_engines::Engine,
    tokio::time::{Instant, sleep_until},
};

/// How many engines a host asks, a second: this bounds what loads cost, however many
/// engines it knows.
const POLLS_PER_S: f64 = 12.0;
/// The shortest time between two rounds.
const SHORTEST_ROUND: Duration = Duration::from_secs(1);
/// How long an engine may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many engines are asked at once.
const POLLS_AT_ONCE: usize = 16;

/// Asks again and again.
pub async fn collect(state: Arc<RouterState>) {
    loop {
        let engines = state.fleet.engines();
        let round = Duration::from_secs_f64(engines.len() as f64 / POLLS_PER_S).max(SHORTEST_ROUND);
        let next_round = Instant::now() + round;
        stream::iter(engines)
            .for_each_concurrent(POLLS_AT_ONCE, |(service, id, address)| {
                let state = &state;
                async move {
                    if let Some(report) = state.engine(address).load(POLL_TIMEOUT).await {
                        state.fleet.take_load(&service, &id, report);
                    }
                }
            })
            .await;
        sleep_until(next_round).await;
    }
}
