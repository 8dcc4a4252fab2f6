//! Tells a dead upstream from one that is silent for good reason.

use {
    super::connect::exchange,
    crate::{state::GatewayState, view::Upstream},
    std::{future::Future, pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long a live upstream may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(170);
/// After this time a second probe goes out, lest one lost packet pass for a death.
const SECOND_PROBE_AFTER: Duration = Duration::from_millis(60);

/// How long an upstream may be silent.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Silence after which it is probed.
    pub probe_after: Duration,
    /// Silence that is too long even of a live upstream.
    pub longest: Duration,
}

/// Why an upstream is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// It does not answer probes.
    Dead,
    /// Another request found that it seems dead.
    FoundDead,
    /// It lives and says nothing.
    TooLong,
}

impl Silence {
    /// The silence's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Dead => "probe-unanswered",
            Self::FoundDead => "found-dead",
            Self::TooLong => "silent-too-long",
        }
    }
}

/// Waits for something from an upstream for as long as the upstream seems to live.
///
/// # Errors
/// The upstream is not waited for any longer.
pub async fn wait_while_alive<T>(
    state: &GatewayState,
    upstream: &Upstream,
    patience: Patience,
    awaited: impl Future<Output = T>,
) -> Result<T, Silence> {
    let mut awaited = pin!(awaited);
    let mut watching = pin!(watch(state, upstream, patience));
    tokio::select! {
        biased;
        value = &mut awaited => Ok(value),
        silence = &mut watching => Err(silence),
    }
}

async fn watch(state: &GatewayState, upstream: &Upstream, patience: Patience) -> Silence {
    let found_dead = async {
        upstream.suspected().await;
        // The word of others is checked: they may be the ones that are cut off.
        match answers_probe(state, upstream).await {
            true => std::future::pending().await,
            false => Silence::FoundDead,
        }
    };
    let probing = async {
        loop {
            sleep(patience.probe_after).await;
            if !answers_probe(state, upstream).await {
                state.suspect(upstream, "probe-unanswered");
                return Silence::Dead;
            }
        }
    };
    tokio::select! {
        silence = found_dead => silence,
        silence = probing => silence,
        () = sleep(patience.longest) => Silence::TooLong,
    }
}

async fn answers_probe(state: &GatewayState, upstream: &Upstream) -> bool {
    let second = async {
        sleep(SECOND_PROBE_AFTER).await;
        probe(state, upstream).await
    };
    let either = async {
        let mut first = pin!(probe(state, upstream));
        let mut second = pin!(second);
        tokio::select! {
            answered = &mut first => answered || second.await,
            answered = &mut second => answered || first.await,
        }
    };
    timeout(PROBE_TIMEOUT, either).await.unwrap_or(false)
}

async fn probe(state: &GatewayState, upstream: &Upstream) -> bool {
    let request = state.protocol.probe_call(&upstream.record);
    exchange(&upstream.record, request, PROBE_TIMEOUT)
        .await
        .is_some()
}
