//! How up to date a host's copy of one row set is.

use {
    super::SetWatermark,
    crate::edge::{Revision, era_of},
};

/// How up to date a host's copy of one row set is. It never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetProgress {
    watermark: Option<SetWatermark>,
    /// The version at which the set was first known in its current era.
    first_revision_of_era: Revision,
}

impl SetProgress {
    /// The watermark of the set, or `None` until the set was read.
    #[must_use]
    pub fn watermark(&self) -> Option<SetWatermark> {
        self.watermark
    }

    /// Returns whether a row was written after the set was first known in the row's era.
    #[must_use]
    pub fn is_written_since_restore(&self, revision: Revision) -> bool {
        let first = self.first_revision_of_era;
        era_of(first) == era_of(revision) && revision > first
    }

    /// Advances the set to a watermark; each part of the watermark only grows.
    pub fn advance(&mut self, watermark: SetWatermark) {
        let known = self.watermark.unwrap_or_default();
        if era_of(watermark.revision) > era_of(known.revision) {
            self.first_revision_of_era = watermark.revision;
        }
        self.watermark = Some(SetWatermark {
            revision: known.revision.max(watermark.revision),
            changed: known.changed.max(watermark.changed),
            written: known.written.max(watermark.written),
        });
    }
}
