//! Which configuration is in force.

use {
    super::Configuration,
    crate::edge::{Revision, era_of},
    std::{cmp::Ordering, sync::Arc},
    tealshore_core::{
        ids::ConfigVersion,
        protection::{Protection, enabled},
    },
};

/// Since when a row says what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowOrigin {
    /// It may be older than what was known before the store was restored.
    MayPredateRestore,
    /// It was written since this host first read the set in the store's present era.
    WrittenSinceRestore,
}

/// What became of a configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force.
    InForce,
    /// One of a higher version, or the same one, is in force.
    Older,
    /// One of a higher version is in force, which the store may have lost.
    Unconfirmed,
}

impl Applied {
    /// Its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::InForce => "in-force",
            Self::Older => "older",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// A configuration with the version of its row.
struct Known {
    configuration: Arc<Configuration>,
    revision: Revision,
}

/// The configuration in force. Its version never goes back, unless the store lost the one in force and the
/// operator goes on from a lower one.
#[derive(Default)]
pub struct InForce(Option<Known>);

impl InForce {
    /// The configuration; none before the first.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.0.as_ref().map(|known| &known.configuration)
    }

    /// The version of its row; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.0.as_ref().map_or(0, |known| known.revision)
    }

    /// Takes in a configuration that was read, with the version of its row. In the grace
    /// period after a restore, one of a higher version that was lost is expected to be written again.
    pub fn apply(
        &mut self,
        configuration: Configuration,
        revision: Revision,
        age: RowOrigin,
        is_in_restore_grace: bool,
    ) -> Applied {
        let applied = self.judge(configuration.version, revision, age, is_in_restore_grace);
        match applied {
            Applied::InForce => {
                let configuration = Arc::new(configuration);
                self.0 = Some(Known {
                    configuration,
                    revision,
                });
            }
            Applied::Older | Applied::Unconfirmed => {}
        }
        applied
    }

    fn judge(
        &self,
        version: ConfigVersion,
        revision: Revision,
        age: RowOrigin,
        is_in_restore_grace: bool,
    ) -> Applied {
        let Some(known) = &self.0 else {
            return Applied::InForce;
        };
        if !enabled(Protection::MonotonicVersion) {
            return Applied::InForce;
        }
        let is_later_era = era_of(revision) > era_of(known.revision);
        match (version.cmp(&known.configuration.version), age) {
            (Ordering::Greater, _) => Applied::InForce,
            // It may have been written again with other content.
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
