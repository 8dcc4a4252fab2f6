//! Stops a run that its engine still reports, although its events do not arrive, before the stream goes on elsewhere.
//! Closing the connection may not reach the engine either.

use {
    super::StreamRun,
    crate::{
        connection::{CallBounds, short_call},
        edge::SourceRun,
        forward::dial::dial,
        view::Upstream,
    },
    futures::TryFutureExt,
    std::{sync::Arc, time::Duration},
    tealshore_core::clock,
    tealshore_runs::MemoryCopy,
};

/// The bounds of the call that stops a run. The caller waits for it.
const STOP_CALL_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_millis(500),
    answer_bytes: 64 * 1024,
};

impl StreamRun {
    /// Orders the engine that still works on a run of the stream to stop it and to copy its memory to `target`, if that is
    /// another engine. Returns whether the stream can now resume from that copy; without it, the stream goes on by itself.
    pub(super) async fn stop_reported_run(&mut self, target: &Arc<Upstream>) -> bool {
        let Some(upstream) = self.reported_at.take() else {
            return false;
        };
        if upstream.record.id == target.record.id || !self.engines().copies {
            return false;
        }
        let began = clock::now();
        let (record, run) = (&upstream.record, self.call.request());
        let protocol = &self.state.protocol;
        let request = protocol.copy_call(record, &run, target.record.address, SourceRun::Stops);
        self.state.record_unpermitted(record);
        let opening = dial(&self.state, &upstream).map_ok(|dialed| dialed.stream);
        let answer = short_call(opening, request, STOP_CALL_BOUNDS).await;
        let outcome = match &answer {
            Ok((status, _)) => status.as_str().to_owned(),
            Err(failure) => format!("{failure:?}"),
        };
        let copied = answer
            .ok()
            .and_then(|(status, body)| protocol.read_copied(status, &body));
        let is_copied = copied.is_some();
        if let Some(name) = copied {
            let stopped = self
                .earlier_runs
                .iter_mut()
                .filter(|run| run.upstream.record.id == record.id);
            stopped.for_each(|run| run.is_ended = true);
            self.copy = Some(MemoryCopy {
                upstream: target.record.id.clone(),
                address: record.address,
                name,
            });
        }
        log::info!(
            "stream: stop of run ordered request={run} upstream={} copy_to={} is_copied={is_copied} outcome={outcome} \
             took_ms={}",
            record.id,
            target.record.id,
            clock::elapsed(began).as_millis()
        );
        is_copied
    }
}
