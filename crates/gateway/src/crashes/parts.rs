//! Tracks parts of prompts that crash upstreams, and keeps requests with them from further upstreams.

use {
    crate::{
        forward::{Call, LostRequest},
        state::GatewayState,
    },
    std::time::{Duration, Instant},
    tealshore_core::answer::{ErrorKind, Failure},
    tealshore_core::clock,
    tealshore_quarantine::{
        crash::Crash,
        log::{UpdateScope, Verdict},
        parts::{
            RunId,
            crash::{PartCrash, PossibleCause},
            log::{Audience, UnsentReports},
            news::PartCrashReport,
        },
    },
    xxhash_rust::xxh3::xxh3_64,
};

impl super::Crashes {
    /// Crashes that parts of prompts may have caused, for a full state or a digest.
    pub fn part_reports(&self, now: Instant, scope: UpdateScope) -> Vec<PartCrashReport> {
        self.parts.lock().reports(now, scope)
    }

    /// Changes about parts of prompts that were not sent yet.
    pub fn take_unsent_part_reports(&self, now: Instant) -> UnsentReports {
        self.parts.lock().take_unsent(now)
    }

    /// Crashes that suspected parts of prompts may have caused, to keep in the store.
    pub fn suspicious_part_reports(&self, now: Instant) -> Vec<PartCrashReport> {
        self.parts.lock().suspicious(now)
    }
}

impl GatewayState {
    /// Records the crash of an upstream under a run that it had just begun.
    pub(super) fn record_part_crash(&self, lost: &LostRequest, crash: &Crash, now: Instant) {
        if lost.shared_parts.is_empty() || !crash.is_at_start() {
            return;
        }
        let causes = lost.shared_parts.iter().map(|part| PossibleCause {
            part: *part,
            began_before: false,
        });
        let crash = PartCrash {
            run: run_id(crash),
            upstream: crash.upstream.clone(),
            request: lost.fingerprint,
            runtime: lost.runtime,
            causes: causes.collect(),
            began: crash.began,
            ended: crash.ended,
        };
        let suspects = self.crashes.parts.lock().record_crash(crash, now);
        for suspect in suspects {
            log::warn!(
                "quarantine: prompt part suspected request={} digest={:016x} part={:016x} group={} sequence={} \
                 weight={} requests={} began_before={} quarantined={}",
                lost.request,
                lost.fingerprint,
                suspect.part,
                suspect.group.len(),
                suspect.strength.sequence,
                suspect.strength.weight,
                suspect.strength.requests,
                suspect.strength.began_before,
                suspect.strength.is_enough()
            );
        }
        self.announce_part_change();
    }

    /// Records that an upstream began to answer a request, so that no part of its prompt crashes upstreams.
    pub fn record_begin(&self, lost: &LostRequest) {
        if lost.shared_parts.is_empty() {
            return;
        }
        let now = clock::now();
        let mut parts = self.crashes.parts.lock();
        let has_excluded = parts.record_begin(&lost.shared_parts, lost.runtime, now);
        drop(parts);
        if has_excluded {
            log::info!(
                "quarantine: prompt parts excluded request={} digest={:016x}",
                lost.request,
                lost.fingerprint
            );
            self.announce_part_change();
        }
    }

    /// Records that an upstream which seemed to crash is alive. Returns whether the crash was known.
    pub(super) fn retract_part_crash(&self, crash: &Crash, now: Instant) -> bool {
        let was_known = self.crashes.parts.lock().retract(run_id(crash), now);
        if was_known {
            self.announce_part_change();
        }
        was_known
    }

    /// Applies what another host or the store reports of crashes and the parts that may have caused them. `audience`
    /// are the hosts to which this host sends it on.
    pub fn apply_part_reports(
        &self,
        reports: &[PartCrashReport],
        audience: Audience,
        source: &str,
    ) {
        if reports.is_empty() {
            return;
        }
        let mut parts = self.crashes.parts.lock();
        let before = parts.quarantined();
        let has_changed = parts.merge(reports, audience, clock::now());
        let quarantined = parts.quarantined();
        drop(parts);
        if !has_changed {
            return;
        }
        log::info!(
            "quarantine: reports of prompt parts merged reports={} quarantined={quarantined} before={before} \
             source={source}",
            reports.len()
        );
        self.announce_part_change();
    }

    fn announce_part_change(&self) {
        let quarantined = self.crashes.parts.lock().quarantined();
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(quarantined);
        self.crashes.parts_changed.notify_one();
        self.peers.parts_changed.notify_one();
    }

    /// Checks that no part of a prompt is in quarantine for crashing upstreams.
    pub(super) fn check_parts(&self, call: &Call, now: Instant) -> Result<(), Failure> {
        if call.shared_parts.is_empty() {
            return Ok(());
        }
        let rank_of = |part| self.peers.position_for(&format!("{part:016x}"), now).0;
        let mut parts = self.crashes.parts.lock();
        let verdict = parts.verdict(call.fingerprint, &call.shared_parts, rank_of, now);
        drop(parts);
        match verdict {
            Verdict::Allowed => Ok(()),
            Verdict::Quarantined { crashes, left } => Err(refusal(call, crashes, left)),
        }
    }
}

/// Identifies a run by the caller's attempt and the upstream.
fn run_id(crash: &Crash) -> RunId {
    xxh3_64(format!("{} {}", crash.attempt, crash.upstream).as_bytes())
}

fn refusal(call: &Call, crashes: usize, left: Duration) -> Failure {
    log::warn!(
        "quarantine: request refused request={} digest={} parts={} against={crashes} left_s={}",
        call.id(),
        call.fingerprint_hex(),
        call.parts_hex(),
        left.as_secs()
    );
    let detail = format!(
        "{crashes} upstreams ended under requests with a part of this prompt; it is sent to no further one for {} s",
        left.as_secs()
    );
    Failure::new(ErrorKind::Quarantined, detail)
}
