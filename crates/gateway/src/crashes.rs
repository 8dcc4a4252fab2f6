//! Tracks requests that crash upstreams, and keeps them from further upstreams.

mod parts;
mod watch;

use {
    crate::{
        forward::{Call, LostRequest},
        state::GatewayState,
        view::Upstream,
    },
    parking_lot::Mutex,
    std::{
        collections::HashSet,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure},
        clock,
        ids::{Fingerprint, RequestId},
    },
    tealshore_quarantine::{
        crash::Crash,
        log::{CrashLog, QUARANTINE_THRESHOLD, RecordOutcome, UpdateScope, Verdict},
        news::CrashUpdate,
        parts::{PartId, log::PartLog},
        trial::{TRIAL_INTERVAL, Trials},
        uncertain::UncertainCrashes,
    },
    tokio::{sync::Notify, time::sleep},
};

/// A stream with this many crashes against it that lost one more upstream is not resumed on the next one
/// before it is known whether the lost upstream ended as well.
const NEAR_QUARANTINE_CRASHES: usize = QUARANTINE_THRESHOLD - 1;
/// How often a quarantine is checked that may still prove to be wrong.
const SETTLING_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A request does not wait for its quarantine to settle if its caller has less than this time left.
const MIN_TIME_LEFT: Duration = Duration::from_millis(500);

/// Crashes that are known to this host.
pub struct Crashes {
    log: Mutex<CrashLog>,
    /// Crashes by the parts of prompts that may have caused them.
    parts: Mutex<PartLog>,
    /// Notified when more is known of the parts of prompts that crash upstreams.
    pub parts_changed: Notify,
    /// Suspected ends of upstreams that may turn out not to have happened.
    uncertain: Mutex<UncertainCrashes<Arc<Upstream>>>,
    /// Requests whose uncertain ends are being rechecked.
    watched: Mutex<HashSet<Fingerprint>>,
    /// Requests that this host tries again after their quarantine.
    trials: Mutex<Trials>,
    /// Whether the crashes from before this host's start are known, as far as any host or the store knows
    /// them.
    is_restored: AtomicBool,
}

impl Crashes {
    /// Creates the state of a host that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            log: Mutex::default(),
            parts: Mutex::new(PartLog::new(now)),
            parts_changed: Notify::new(),
            uncertain: Mutex::default(),
            trials: Mutex::new(Trials::new(now)),
            watched: Mutex::default(),
            is_restored: AtomicBool::default(),
        }
    }

    /// Records that the crashes from before this host's start were learned, or that there were none.
    pub fn mark_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
    }

    /// Whether this host can tell another one of the crashes from before its start.
    pub fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }

    /// Crashes to report to the other hosts of the group, or none until this host has learned those from
    /// before its start.
    pub fn updates(&self, now: Instant) -> Option<Vec<CrashUpdate>> {
        self.is_restored()
            .then(|| self.log.lock().updates(now, UpdateScope::Group))
    }

    /// Crashes to report to other groups.
    pub fn updates_of_group(&self, now: Instant) -> Vec<CrashUpdate> {
        self.log.lock().updates(now, UpdateScope::OtherGroups)
    }

    /// Crashes to keep in the store.
    pub fn suspects(&self, now: Instant) -> Vec<CrashUpdate> {
        self.log.lock().suspects(now)
    }

    /// Whether one more crash may put the request in quarantine, if ends that are still uncertain are
    /// counted. Such a request waits until they are certain before its next send.
    pub fn is_near_quarantine(&self, call: &Call) -> bool {
        self.is_near(call.fingerprint, &call.shared_parts)
    }

    /// Whether the request is in quarantine, and the next second may show that other requests have crashed its
    /// upstreams. It is not refused before, unless its time runs out.
    pub fn is_settling(&self, call: &Call) -> bool {
        let now = clock::now();
        let settles_in = self.log.lock().settles_in(call.fingerprint, now);
        settles_in.is_some() && call.left(now) > MIN_TIME_LEFT
    }

    /// Waits until the quarantine of a request has settled, or has proved to be wrong.
    pub async fn await_settled(&self, call: &Call) {
        let began = clock::now();
        while self.is_settling(call) {
            sleep(SETTLING_CHECK_INTERVAL).await;
        }
        let waited = clock::elapsed(began);
        if waited >= SETTLING_CHECK_INTERVAL {
            let verdict = self.log.lock().verdict(call.fingerprint, clock::now());
            log::info!(
                "quarantine: verdict settled request={} digest={} waited_ms={} verdict={verdict:?}",
                call.id(),
                call.fingerprint_hex(),
                waited.as_millis()
            );
        }
    }

    fn is_near(&self, request: Fingerprint, shared_parts: &[PartId]) -> bool {
        let silent = self.uncertain.lock().silent(request);
        self.log.lock().against_with(request, silent) >= NEAR_QUARANTINE_CRASHES
            || self.parts.lock().is_suspected(shared_parts)
    }
}

impl GatewayState {
    /// Records that an upstream crashed while it ran a request that this host had sent, and wakes the sender
    /// of updates to peers.
    pub fn record_crash(&self, lost: &LostRequest, crash: Crash) {
        let now = clock::now();
        let (request, fingerprint) = (&lost.request, lost.fingerprint);
        self.record_part_crash(lost, &crash, now);
        let upstream = crash.upstream.clone();
        let recorded = self.crashes.log.lock().record(fingerprint, crash, now);
        let against = match recorded {
            RecordOutcome::New { against } => against,
            RecordOutcome::Known | RecordOutcome::Outweighed => {
                log::info!(
                    "quarantine: crash not counted request={request} digest={fingerprint:016x} \
                     upstream={upstream} why={recorded:?}"
                );
                return;
            }
        };
        log::warn!(
            "quarantine: crash recorded request={request} digest={fingerprint:016x} upstream={upstream} \
             against={against} of={QUARANTINE_THRESHOLD}"
        );
        self.count_quarantined(now);
        self.peers.wake_sender();
    }

    /// Records that a request was answered in full. Wakes the sender of updates to peers if that clears
    /// crashes against the request.
    pub fn record_completed(&self, request: &RequestId, fingerprint: Fingerprint) {
        let now = clock::now();
        self.crashes.uncertain.lock().clear(fingerprint);
        let has_cleared = self.crashes.log.lock().record_completed(fingerprint, now);
        if has_cleared {
            log::info!("quarantine: crashes cleared request={request} digest={fingerprint:016x}");
            self.count_quarantined(now);
            self.peers.wake_sender();
        }
    }

    /// Applies the crashes that another host or the store reports.
    pub fn apply_crash_updates(&self, updates: &[CrashUpdate], source: &str) {
        let now = clock::now();
        let learned = self.crashes.log.lock().merge(updates, now);
        if learned.is_empty() {
            return;
        }
        self.count_quarantined(now);
        for request in learned {
            log::info!(
                "quarantine: update merged digest={:016x} against={} before={} of={QUARANTINE_THRESHOLD} \
                 source={source}",
                request.request,
                request.against,
                request.before
            );
        }
    }

    fn count_quarantined(&self, now: Instant) {
        let quarantined = self.crashes.log.lock().quarantined(now);
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined.set(quarantined);
    }

    /// Checks that a request is not in quarantine for crashing upstreams.
    ///
    /// # Errors
    /// The request is in quarantine and may not be sent to any upstream.
    pub fn check_quarantine(&self, call: &Call) -> Result<(), Failure> {
        let now = clock::now();
        let verdict = self.request_verdict(call.fingerprint, now);
        match verdict {
            Verdict::Allowed => self.check_parts(call, now),
            Verdict::Quarantined { crashes, left } => {
                Err(refusal(call.id(), call.fingerprint, crashes, left))
            }
        }
    }

    /// Returns the verdict on a whole request. After a quarantine one host after the other may try it.
    fn request_verdict(&self, request: Fingerprint, now: Instant) -> Verdict {
        let log = self.crashes.log.lock();
        let verdict = log.verdict(request, now);
        let due = log.on_trial_since(request, now);
        let crashes = log.against(request);
        drop(log);
        let Some(due) = due else {
            return verdict;
        };
        let (rank, _) = self.peers.position_for(&format!("{request:016x}"), now);
        let mut trials = self.crashes.trials.lock();
        if trials.admit(request, request, due, rank, now) {
            return Verdict::Allowed;
        }
        let left = TRIAL_INTERVAL;
        Verdict::Quarantined { crashes, left }
    }
}

fn refusal(request: &str, fingerprint: Fingerprint, crashes: usize, left: Duration) -> Failure {
    log::warn!(
        "quarantine: request refused request={request} digest={fingerprint:016x} against={crashes} left_s={}",
        left.as_secs()
    );
    let detail = format!(
        "{crashes} upstreams ended under this request, one after the other; it is sent to no \
         further one for {} s",
        left.as_secs()
    );
    Failure::new(ErrorKind::Quarantined, detail)
}
