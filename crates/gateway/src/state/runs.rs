//! The runs that this host answers.

use {
    super::GatewayState,
    std::time::{Duration, Instant},
    tealshore_core::{clock, ids::RequestId},
    tealshore_runs::{ContentMatch, KnownRun, LossReport, RunLocation, RunReport},
};

/// How long the first event of an ambiguous run waits for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

impl GatewayState {
    /// Records that this host answers a request, and reports it to the peers at once: they must know of the run before
    /// its caller can have an event of it.
    pub fn begin_run(&self, run: KnownRun) {
        self.runs.log.lock().begin(run, clock::now());
        self.peers.announce_run();
    }

    /// Returns once the caller of a run that began may have an event of it: if another caller may have asked for the
    /// same, the store must know of both runs, unless it does not answer in time.
    pub async fn await_stored_if_ambiguous(&self, wanted: ContentMatch, attempt: &RequestId) {
        let began = clock::now();
        let is_ambiguous = self.runs.log.lock().is_ambiguous(wanted, began);
        if !is_ambiguous || !self.feed.reaches_store() {
            return;
        }
        self.runs.report_ambiguity();
        if !self.runs.wait_stored(attempt, STORE_TIMEOUT).await {
            log::warn!(
                "runs: ambiguous run not stored in time request={attempt} content={:016x} waited_ms={}",
                wanted.content,
                clock::elapsed(began).as_millis()
            );
        }
    }

    /// Records runs that another host reports.
    pub fn record_peer_runs(&self, runs: Vec<KnownRun>, location: RunLocation, now: Instant) {
        let mut log = self.runs.log.lock();
        let mut is_ambiguous = false;
        for run in runs {
            let wanted = run.origin.as_ref().map(|origin| ContentMatch {
                fingerprint: run.trace.fingerprint,
                content: origin.content,
            });
            let is_new = log.record_peer(run, location, Duration::ZERO, now);
            let wanted = wanted.filter(|_| is_new);
            is_ambiguous |= wanted.is_some_and(|wanted| log.is_ambiguous(wanted, now));
        }
        drop(log);
        if is_ambiguous {
            self.runs.report_ambiguity();
        }
    }

    /// Records what another host knows of runs, at this host's start.
    pub fn restore_runs(&self, runs: Vec<RunReport>, loss: Option<LossReport>) {
        let now = clock::now();
        let mut log = self.runs.log.lock();
        for report in runs {
            log.record_peer(report.run, RunLocation::OtherGroup, report.age, now);
        }
        if let Some(loss) = loss {
            log.record_loss(loss, now);
        }
    }

    /// Records a row of runs that this host read from the store, as no other host knows the runs from before its start.
    pub fn restore_stored_runs(&self, runs: Vec<KnownRun>) {
        self.runs.log.lock().restore(runs, clock::now());
    }
}
