//! Copies a run's memory anew when the engine that held the first copy is lost.
//!
//! An engine keeps such a copy for some seconds only, so the call is made again for as long
//! as the run lasts; it then copies only what is new.

use {
    crate::{
        connection::{CallBounds, short_call},
        run_trace::MemoryCopy,
        state::GatewayState,
        view::Upstream,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::ids::RequestId,
    tealshore_notices::Availability,
    tokio::sync::oneshot,
};

/// How often the call is made again, well within the time that engines keep a copy.
const REPEAT_AFTER: Duration = Duration::from_millis(2_500);
/// The bounds of a call, which is answered when the copy is made.
const COPY_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_secs(2),
    answer_bytes: 64 * 1024,
};

/// The copies that are made of one run after its first copy was lost.
#[derive(Default)]
pub struct Recopy {
    /// Where the copies go, once the first one was lost.
    target: Option<Arc<Upstream>>,
    begun: Option<Instant>,
    call: Option<oneshot::Receiver<MemoryCopy>>,
}

impl Recopy {
    /// The copy that the last call made.
    pub fn take_made(&mut self) -> Option<MemoryCopy> {
        let made = self.call.as_mut()?.try_recv();
        match made {
            Ok(copy) => {
                self.call = None;
                Some(copy)
            }
            Err(oneshot::error::TryRecvError::Closed) => {
                // The call failed: the next one may choose another engine.
                self.call = None;
                self.target = None;
                None
            }
            Err(oneshot::error::TryRecvError::Empty) => None,
        }
    }

    /// Whether a call is to be made now; `is_held` tells that a live engine holds a copy.
    pub fn is_due(&self, is_held: bool, now: Instant) -> bool {
        if self.call.is_some() {
            return false;
        }
        let waited = self.begun.map(|begun| now.saturating_duration_since(begun));
        match waited {
            None => !is_held,
            Some(waited) => waited >= REPEAT_AFTER,
        }
    }

    /// Makes a call; the copy goes where the last one went, as long as that engine lives.
    pub fn begin(
        &mut self,
        state: &Arc<GatewayState>,
        source: Arc<Upstream>,
        run: RequestId,
        chosen: Arc<Upstream>,
        now: Instant,
    ) {
        let kept = self.target.take().filter(|target| {
            let is_listed = state.view.upstreams.takes_work(&target.record.id);
            let leaves = state.availability(&target.record, now) == Availability::Leaving;
            is_listed && !leaves && !target.is_suspected(now)
        });
        let target = kept.unwrap_or(chosen);
        self.target = Some(target.clone());
        self.begun = Some(now);
        let (made, call) = oneshot::channel();
        self.call = Some(call);
        let state = state.clone();
        tokio::spawn(async move {
            if let Some(copy) = copy(&state, &source, &run, &target).await {
                // Nobody waits for it where the run has ended.
                let _ = made.send(copy);
            }
        });
    }
}

async fn copy(
    state: &GatewayState,
    source: &Upstream,
    run: &RequestId,
    target: &Upstream,
) -> Option<MemoryCopy> {
    let request = state
        .protocol
        .copy_call(&source.record, run, target.record.address);
    state.note_unpermitted(&source.record);
    let answer = short_call(source.record.address, request, COPY_BOUNDS).await;
    let name = answer.and_then(|(status, body)| state.protocol.read_copied(status, &body));
    log::info!(
        "stream: copied anew request={run} upstream={} copy_to={} outcome={}",
        source.record.id,
        target.record.id,
        if name.is_some() { "copied" } else { "failed" }
    );
    Some(MemoryCopy {
        upstream: target.record.id.clone(),
        address: source.record.address,
        name: name?,
    })
}
