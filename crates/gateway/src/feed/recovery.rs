//! From which revision on the configuration of a restored store is complete.
//!
//! A restored copy may lack configurations that were acknowledged before. Until operators have written them again, an
//! answer of the store does not show which configuration is the newest.

use {
    crate::edge::{Revision, era_of},
    std::{
        cmp::Ordering,
        time::{Duration, Instant},
    },
};

/// Why the configuration in the store counts as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryEvidence {
    /// The whole system starts for the first time, so nothing was lost.
    FirstStart,
    /// An operator wrote a configuration after the restore.
    Rewritten,
    /// Another host knows it.
    Peer,
    /// A host stored that it knows it.
    Stored,
    /// The time in which operators write again has passed.
    TimePassed,
}

impl RecoveryEvidence {
    /// The name of the evidence in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstStart => "first-start",
            Self::Rewritten => "rewritten",
            Self::Peer => "peer",
            Self::Stored => "stored",
            Self::TimePassed => "time-passed",
        }
    }
}

/// From which revision on the store's configuration is complete, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// The lowest such revision known, in the latest era that has one. Before the first restore every revision is
    /// complete.
    point: Revision,
    /// Until when operators may still write again what the last restore lost.
    rewrites_until: Option<Instant>,
    knowledge: KnowledgeAtRestore,
}

/// What a host knew of the configuration when it learned of the last restore.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KnowledgeAtRestore {
    /// It followed the store until shortly before.
    #[default]
    Recent,
    /// It knew nothing recent, so it relies on what the restored store holds.
    Outdated,
}

impl Recovery {
    /// The recovery point: the configuration is complete from this revision on.
    #[must_use]
    pub fn point(&self) -> Revision {
        self.point
    }

    /// Records a recovery point. Returns whether it tells more than the known one.
    pub fn record(&mut self, point: Revision) -> bool {
        let is_news = match era_of(point).cmp(&era_of(self.point)) {
            Ordering::Greater => true,
            Ordering::Equal => point < self.point,
            Ordering::Less => false,
        };
        if is_news {
            self.point = point;
        }
        is_news
    }

    /// Records that the store was restored, until when operators may write again what it lost, and what this host knew.
    pub fn expect_rewrites(&mut self, until: Instant, knowledge: KnowledgeAtRestore) {
        self.rewrites_until = Some(until);
        self.knowledge = knowledge;
    }

    /// What this host knew when it learned of the last restore.
    #[must_use]
    pub fn knowledge(&self) -> KnowledgeAtRestore {
        self.knowledge
    }

    /// Whether operators have had the time to write again what was lost, by an answer given at `moment`.
    #[must_use]
    pub fn is_rewritten_by(&self, moment: Instant) -> bool {
        self.rewrites_until.is_some_and(|until| moment >= until)
    }

    /// How much longer operators may write again what was lost; `None` if the store was never restored.
    #[must_use]
    pub fn time_for_rewrites(&self, now: Instant) -> Option<Duration> {
        let until = self.rewrites_until?;
        Some(until.saturating_duration_since(now))
    }

    /// Whether the configuration as of a revision is complete.
    #[must_use]
    pub fn covers(&self, revision: Revision) -> bool {
        era_of(self.point) == era_of(revision) && revision >= self.point
    }
}
