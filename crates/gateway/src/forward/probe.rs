//! Tells a dead upstream from one that is silent for good reason.

use {
    crate::{
        connection::{CallBounds, short_call},
        state::GatewayState,
        view::Upstream,
    },
    std::{future::Future, pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long a live upstream may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(170);
/// The bounds of one probe; a report of an engine's runs takes some kilobytes.
const PROBE_BOUNDS: CallBounds = CallBounds {
    timeout: PROBE_TIMEOUT,
    answer_bytes: 64 * 1024,
};
/// After this time a second probe goes out, lest one lost packet pass for a death.
const SECOND_PROBE_AFTER: Duration = Duration::from_millis(60);

/// An upstream's word on its load is some hundred milliseconds old, so it must say this many
/// times in a row that it is idle.
const IDLE_WORDS: u32 = 2;

/// What an upstream answered to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeWord {
    Unanswered,
    /// It lives, and may have requests.
    Alive,
    /// It lives and has no request.
    Idle,
}

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
    /// It says that it has no request at all, so it lost this one.
    NotHeld,
    /// It lives and says nothing.
    TooLong,
}

impl Silence {
    /// The silence's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Dead => "probe-unanswered",
            Self::FoundDead => "found-dead",
            Self::NotHeld => "not-held",
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
        match ask(state, upstream).await {
            ProbeWord::Alive | ProbeWord::Idle => std::future::pending().await,
            ProbeWord::Unanswered => Silence::FoundDead,
        }
    };
    tokio::select! {
        silence = found_dead => silence,
        silence = probe_repeatedly(state, upstream, patience) => silence,
        () = sleep(patience.longest) => Silence::TooLong,
    }
}

async fn probe_repeatedly(
    state: &GatewayState,
    upstream: &Upstream,
    patience: Patience,
) -> Silence {
    let mut idle_words = 0;
    loop {
        sleep(patience.probe_after).await;
        match ask(state, upstream).await {
            ProbeWord::Unanswered => {
                state.suspect(upstream, "probe-unanswered");
                return Silence::Dead;
            }
            ProbeWord::Idle => idle_words += 1,
            ProbeWord::Alive => idle_words = 0,
        }
        if idle_words >= IDLE_WORDS {
            return Silence::NotHeld;
        }
    }
}

async fn ask(state: &GatewayState, upstream: &Upstream) -> ProbeWord {
    let second = async {
        sleep(SECOND_PROBE_AFTER).await;
        probe(state, upstream).await
    };
    let either = async {
        let mut first = pin!(probe(state, upstream));
        let mut second = pin!(second);
        tokio::select! {
            word = &mut first => match word {
                ProbeWord::Unanswered => second.await,
                ProbeWord::Alive | ProbeWord::Idle => word,
            },
            word = &mut second => match word {
                ProbeWord::Unanswered => first.await,
                ProbeWord::Alive | ProbeWord::Idle => word,
            },
        }
    };
    timeout(PROBE_TIMEOUT, either)
        .await
        .unwrap_or(ProbeWord::Unanswered)
}

async fn probe(state: &GatewayState, upstream: &Upstream) -> ProbeWord {
    let request = state.protocol.probe_call(&upstream.record);
    match short_call(upstream.record.address, request, PROBE_BOUNDS).await {
        None => ProbeWord::Unanswered,
        Some((status, body)) => match state.protocol.read_probe(status, &body) {
            Some(0) => ProbeWord::Idle,
            Some(_) | None => ProbeWord::Alive,
        },
    }
}
