//! What this host relies on after the store was restored from an older copy: whether its configuration is complete, and
//! what other hosts tell of theirs.

use {
    super::GatewayState,
    crate::{
        edge::{Revision, RowSet, StoreEra, era_of, revision_in},
        feed::{KnowledgeAtRestore, RESTORE_GRACE, RecoveryEvidence},
        peers::ConfigurationReport,
        view::ViewFacts,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{clock, ids::ConfigVersion},
};

/// How long operators have to write again what was lost, at a host that followed the store until shortly before. Such a
/// host can lack only what was acknowledged in the last moments.
const FOLLOWER_REWRITE_TIME: Duration = Duration::from_secs(3);

/// The longest pause between two configurations that an operator writes again one after the other.
const REWRITE_PAUSE: Duration = Duration::from_secs(1);

/// The highest version of the configuration that other hosts have in force.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeardConfiguration {
    version: ConfigVersion,
    /// The host to fetch it from; `None` if that was tried.
    source: Option<SocketAddr>,
}

impl GatewayState {
    /// Prepares for the time in which operators write again what the store lost. Call it before the new era is recorded.
    pub(super) fn expect_rewrites(&self, era: StoreEra, now: Instant) {
        let is_first_start = self.options.host.is_first_start && self.view.version() == 0;
        if let Some(start_of_era) = revision_in(era, 0).filter(|_| is_first_start) {
            self.record_recovery_point(start_of_era, RecoveryEvidence::FirstStart);
            return;
        }
        let (rewrite_time, knowledge) = if self.is_view_fresh(now) {
            (FOLLOWER_REWRITE_TIME, KnowledgeAtRestore::Recent)
        } else {
            (RESTORE_GRACE, KnowledgeAtRestore::Outdated)
        };
        log::warn!(
            "view: restored configuration not relied on yet era={era} rewrite_time_ms={} {}",
            rewrite_time.as_millis(),
            ViewFacts::of(&self.view, now)
        );
        self.feed.expect_rewrites(now + rewrite_time, knowledge);
    }

    /// Records that an operator wrote a configuration after the restore, in the row of this revision. A host that knew
    /// nothing recent can't tell whether it is the last of several that were lost, so it waits for further ones.
    pub fn record_rewrite(&self, revision: Revision, now: Instant) {
        match self.feed.knowledge_at_restore() {
            KnowledgeAtRestore::Recent => {
                self.record_recovery_point(revision, RecoveryEvidence::Rewritten);
            }
            KnowledgeAtRestore::Outdated => {
                let until = now + REWRITE_PAUSE;
                self.feed
                    .expect_rewrites(until, KnowledgeAtRestore::Outdated);
            }
        }
    }

    /// Records that the store's configuration is complete from a revision on.
    pub fn record_recovery_point(&self, point: Revision, evidence: RecoveryEvidence) {
        let is_outdated = era_of(point) < self.feed.era();
        if is_outdated || !self.feed.record_recovery_point(point) {
            return;
        }
        log::info!(
            "view: restored configuration complete point={point} evidence={} era={} known={:?}",
            evidence.name(),
            self.feed.era(),
            self.feed.progress(RowSet::Configuration).watermark()
        );
        self.confirm_known_configuration();
        self.feed.notify();
        self.peers.wake_sender();
    }

    /// Confirms the configuration in force as of the answer that is known, if that is complete.
    fn confirm_known_configuration(&self) {
        let now = clock::now();
        let known = self.feed.progress(RowSet::Configuration).watermark();
        let answered = known.and_then(|known| self.feed.to_local_instant(known.written, now));
        if let Some(moment) = answered.filter(|_| self.is_known_newest(now)) {
            self.view.confirm(moment);
        }
    }

    /// Whether the store's configuration is complete and the one in force is not known to be behind it or behind that of
    /// another host.
    fn is_known_newest(&self, now: Instant) -> bool {
        let is_superseded = self.feed.is_in_restore_grace(now)
            && self.heard_configuration.lock().version > self.view.version();
        let is_known = self.view.version() > 0 && self.feed.is_configuration_complete();
        is_known && !is_superseded && !self.view.has_unconfirmed_change()
    }

    /// Whether an answer of the store, given at `moment`, shows that the configuration in force is the newest.
    pub fn confirms_configuration(&self, moment: Instant) -> bool {
        if let Some(revision) = self.feed.revision_complete_by_time(moment) {
            self.record_recovery_point(revision, RecoveryEvidence::TimePassed);
        }
        self.is_known_newest(clock::now())
    }

    /// What this host tells others of its configuration; `None` if the store was never restored.
    pub fn configuration_report(&self, now: Instant) -> Option<ConfigurationReport> {
        if self.feed.era() == 0 {
            return None;
        }
        let store_time = self.feed.store_time(now);
        let confirmed = store_time
            .zip(self.view.age(now))
            .and_then(|(store_time, age)| store_time.checked_sub(age));
        Some(ConfigurationReport {
            version: self.view.version(),
            recovery_point: self.feed.recovery_point(),
            confirmed,
        })
    }

    /// Applies what another host tells of its configuration.
    pub fn apply_configuration_report(&self, report: &ConfigurationReport, source: SocketAddr) {
        self.record_heard_version(report.version, source);
        self.record_recovery_point(report.recovery_point, RecoveryEvidence::Peer);
    }

    fn record_heard_version(&self, version: ConfigVersion, source: SocketAddr) {
        if version <= self.view.version() || !self.feed.is_in_restore_grace(clock::now()) {
            return;
        }
        let mut heard = self.heard_configuration.lock();
        if version >= heard.version {
            let source = Some(source);
            *heard = HeardConfiguration { version, source };
            drop(heard);
            self.feed.notify();
        }
    }

    /// The host from which a newer configuration than the one in force can be fetched. Each report is used once.
    pub fn take_newer_configuration_source(&self) -> Option<SocketAddr> {
        let mut heard = self.heard_configuration.lock();
        let source = heard.source.take();
        source.filter(|_| heard.version > self.view.version())
    }
}
