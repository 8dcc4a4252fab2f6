//! Asks engines for their load.

use {
    crate::state::RouterState,
    futures::{StreamExt, stream},
    std::{sync::Arc, time::Duration},
    tealshore_engines::Engine,
    tokio::time::{MissedTickBehavior, interval},
};

/// How often each engine of the subset is asked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long an engine may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many engines are asked at once.
const POLLS_AT_ONCE: usize = 16;

/// Asks again and again.
pub async fn collect(state: Arc<RouterState>) {
    let mut polls = interval(POLL_INTERVAL);
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        let engines = stream::iter(state.fleet.engines());
        engines
            .for_each_concurrent(POLLS_AT_ONCE, |(service, id, address)| {
                let state = &state;
                async move {
                    if let Some(report) = state.engine(address).load(POLL_TIMEOUT).await {
                        state.fleet.take_load(&service, &id, report);
                    }
                }
            })
            .await;
    }
}
