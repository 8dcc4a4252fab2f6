//! What this host knows of requests that crash upstreams, and what it does about it.

mod watch;

use {
    crate::{state::GatewayState, view::Upstream},
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
        ids::{Fingerprint, RequestId},
    },
    tealshore_quarantine::{
        crash::Crash,
        log::{CrashLog, NoteOutcome, QUARANTINE_THRESHOLD, UpdateScope, Verdict},
        news::CrashUpdate,
        uncertain::UncertainCrashes,
    },
};

/// With so many crashes against it a stream that lost one more upstream waits to learn whether that
/// one ended, too, before it goes on at the next.
const DOUBTFUL_CRASHES: usize = QUARANTINE_THRESHOLD - 1;

/// The crashes that this host knows of.
#[derive(Default)]
pub struct Crashes {
    log: Mutex<CrashLog>,
    /// Ends that may turn out to be none.
    uncertain: Mutex<UncertainCrashes<Arc<Upstream>>>,
    /// Requests whose uncertain ends are looked at again.
    watched: Mutex<HashSet<Fingerprint>>,
    /// What was known before this host's start is known here, as far as any host or the store knows.
    is_restored: AtomicBool,
}

impl Crashes {
    /// Notes that what was known before this host's start was learned, or that there was nothing.
    pub fn note_restored(&self) {
        self.is_restored.store(true, Ordering::Relaxed);
    }

    /// Whether this host can tell another one what was known before its start.
    pub fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }

    /// What to tell the other hosts of the group; none while this host has not learned what was known before its start.
    pub fn news(&self, now: Instant) -> Option<Vec<CrashUpdate>> {
        self.is_restored()
            .then(|| self.log.lock().updates(now, UpdateScope::Group))
    }

    /// What to tell other groups.
    pub fn news_of_group(&self, now: Instant) -> Vec<CrashUpdate> {
        self.log.lock().updates(now, UpdateScope::OtherGroups)
    }

    /// What to keep in the store.
    pub fn suspects(&self, now: Instant) -> Vec<CrashUpdate> {
        self.log.lock().suspects(now)
    }

    /// Whether so much speaks against a request, or may, that it waits for certainty before its next send.
    pub fn is_doubtful(&self, request: Fingerprint) -> bool {
        let silent = self.uncertain.lock().silent(request);
        self.log.lock().against_with(request, silent) >= DOUBTFUL_CRASHES
    }
}

impl GatewayState {
    /// Takes in that an upstream ended under a run that this host carried, and tells the peers.
    pub fn note_crash(&self, request: &RequestId, digest: Fingerprint, crash: Crash) {
        let now = Instant::now();
        let upstream = crash.upstream.clone();
        let noted = self.crashes.log.lock().note(digest, crash, now);
        let against = match noted {
            NoteOutcome::New { against } => against,
            NoteOutcome::Known | NoteOutcome::Outweighed => {
                log::info!(
                    "quarantine: crash left out request={request} digest={digest:016x} \
                     upstream={upstream} why={noted:?}"
                );
                return;
            }
        };
        log::warn!(
            "quarantine: crash noted request={request} digest={digest:016x} upstream={upstream} \
             against={against} of={QUARANTINE_THRESHOLD}"
        );
        self.count_quarantined(now);
        self.peers.wake_sender();
    }

    /// Takes in that a request got a whole answer, and tells the peers where that ends crashes against it.
    pub fn note_completed(&self, request: &RequestId, digest: Fingerprint) {
        let now = Instant::now();
        self.crashes.uncertain.lock().clear(digest);
        let is_news = self.crashes.log.lock().note_completed(digest, now);
        if is_news {
            log::info!("quarantine: cleared request={request} digest={digest:016x}");
            self.count_quarantined(now);
            self.peers.wake_sender();
        }
    }

    /// Takes in what another host tells of crashes.
    pub fn apply_crash_news(&self, news: &[CrashUpdate], source: &str) {
        let now = Instant::now();
        let learned = self.crashes.log.lock().merge(news, now);
        if learned.is_empty() {
            return;
        }
        self.count_quarantined(now);
        for request in learned {
            log::info!(
                "quarantine: learned digest={:016x} against={} before={} of={QUARANTINE_THRESHOLD} source={source}",
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

    /// Checks that a request does not crash the upstreams which run it.
    ///
    /// # Errors
    /// It is in quarantine: it may be sent to no upstream.
    pub fn check_quarantine(&self, request: &str, digest: Fingerprint) -> Result<(), Failure> {
        let verdict = self.crashes.log.lock().verdict(digest, Instant::now());
        match verdict {
            Verdict::Allowed => Ok(()),
            Verdict::Quarantined { crashes, left } => Err(refusal(request, digest, crashes, left)),
        }
    }
}

fn refusal(request: &str, digest: Fingerprint, crashes: usize, left: Duration) -> Failure {
    log::warn!(
        "quarantine: refused request={request} digest={digest:016x} against={crashes} left_s={}",
        left.as_secs()
    );
    let detail = format!(
        "{crashes} upstreams ended under this request, one after the other; it is sent to no \
         further one for {} s",
        left.as_secs()
    );
    Failure::new(ErrorKind::Quarantined, detail)
}
