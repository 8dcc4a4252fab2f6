//! The configuration in force, and the rules by which a newly read one replaces it.

use {
    super::Configuration,
    crate::edge::{Revision, era_of},
    std::{cmp::Ordering, sync::Arc},
    tealshore_core::{
        ids::ConfigVersion,
        protection::{Protection, enabled},
    },
};

/// Whether a row may be older than the last restore of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowOrigin {
    /// The row may come from the restored copy, and so be older than what was known before.
    MayPredateRestore,
    /// The row was written after the first answer that this host knows of in the store's current era.
    WrittenSinceRestore,
}

impl RowOrigin {
    /// The name of the origin in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::MayPredateRestore => "may-predate-restore",
            Self::WrittenSinceRestore => "written-since",
        }
    }
}

/// The result of applying a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The configuration is in force now.
    InForce,
    /// Ignored: the configuration in force has the same version or a higher one.
    Older,
    /// Not applied for now: the configuration in force has a higher version, which a restore of the store may
    /// have lost.
    Unconfirmed,
}

impl Applied {
    /// The name of the result in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::InForce => "in-force",
            Self::Older => "older",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// A configuration with the revision of its row.
struct VersionedConfiguration {
    configuration: Arc<Configuration>,
    revision: Revision,
}

/// The configuration in force. Its version never decreases, except after a restore of the store: if the
/// version in force was lost, the operator may continue from a lower one.
#[derive(Default)]
pub struct InForce {
    known: Option<VersionedConfiguration>,
    /// Whether the store has a lower version, written since its restore, that may not replace this one yet.
    has_unconfirmed_change: bool,
}

impl InForce {
    /// The configuration in force; `None` before the first one.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.known.as_ref().map(|known| &known.configuration)
    }

    /// The revision of the row of the configuration in force; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.known.as_ref().map_or(0, |known| known.revision)
    }

    /// Whether the store has a change, written since its restore, that is not in force yet.
    #[must_use]
    pub fn has_unconfirmed_change(&self) -> bool {
        self.has_unconfirmed_change
    }

    /// Applies a configuration that was read, with the revision of its row, if it may replace the one in force.
    /// During the grace period after a restore, a higher version that was lost is expected to be written again,
    /// so no lower version replaces it.
    pub fn apply(
        &mut self,
        configuration: Configuration,
        revision: Revision,
        origin: RowOrigin,
        is_in_restore_grace: bool,
    ) -> Applied {
        let applied = self.evaluate(configuration.version, revision, origin, is_in_restore_grace);
        match applied {
            Applied::InForce => {
                let configuration = Arc::new(configuration);
                self.known = Some(VersionedConfiguration {
                    configuration,
                    revision,
                });
                self.has_unconfirmed_change = false;
            }
            Applied::Unconfirmed => {
                self.has_unconfirmed_change |= origin == RowOrigin::WrittenSinceRestore;
            }
            Applied::Older => {}
        }
        applied
    }

    fn evaluate(
        &self,
        version: ConfigVersion,
        revision: Revision,
        origin: RowOrigin,
        is_in_restore_grace: bool,
    ) -> Applied {
        let Some(known) = &self.known else {
            return Applied::InForce;
        };
        if !enabled(Protection::MonotonicVersion) {
            return Applied::InForce;
        }
        let is_later_era = era_of(revision) > era_of(known.revision);
        match (version.cmp(&known.configuration.version), origin) {
            (Ordering::Greater, _) => Applied::InForce,
            // After a restore, the same version may have been written again with other content.
            (Ordering::Equal, _) if is_later_era => Applied::InForce,
            (Ordering::Less, RowOrigin::WrittenSinceRestore)
                if is_later_era && !is_in_restore_grace =>
            {
                Applied::InForce
            }
            (Ordering::Less, _) if is_later_era => Applied::Unconfirmed,
            (Ordering::Equal | Ordering::Less, _) => Applied::Older,
        }
    }
}
