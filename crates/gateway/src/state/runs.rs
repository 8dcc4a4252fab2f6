//! The runs that this host answers.

use {
    super::GatewayState,
    std::time::Duration,
    tealshore_core::clock,
    tealshore_runs::{KnownRun, RunLocation, RunReport},
};

impl GatewayState {
    /// Records that this host answers a request, and reports it to the peers at once: they must know of the run before
    /// its caller can have an event of it.
    pub fn begin_run(&self, run: KnownRun) {
        self.runs.log.lock().begin(run, clock::now());
        self.peers.announce_run();
    }

    /// Records runs that this host learned of at its start.
    pub fn restore_runs(&self, runs: Vec<RunReport>) {
        let now = clock::now();
        let mut log = self.runs.log.lock();
        for report in runs {
            log.record_peer(report.run, RunLocation::OtherGroup, report.age, now);
        }
    }

    /// Records runs that this host read from the store, which does not say when they were last answered.
    pub fn restore_stored_runs(&self, runs: Vec<KnownRun>) {
        let reports = runs.into_iter().map(|run| RunReport {
            run,
            state: None,
            age: Duration::ZERO,
        });
        self.restore_runs(reports.collect());
    }
}
