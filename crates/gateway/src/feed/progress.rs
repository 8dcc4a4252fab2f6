//! How far a host's knowledge of one set of rows goes.

use {
    super::SetWatermark,
    crate::edge::{Revision, era_of},
};

/// How far a host's knowledge of one set of rows goes; it never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetProgress {
    watermark: Option<SetWatermark>,
    /// How far it went when it was first known in its era.
    first_of_era: Revision,
}

impl SetProgress {
    /// How far it goes; none before the set was read.
    #[must_use]
    pub fn watermark(&self) -> Option<SetWatermark> {
        self.watermark
    }

    /// Whether a row was written since the set was first known in the row's era.
    #[must_use]
    pub fn is_written_since_restore(&self, revision: Revision) -> bool {
        let first = self.first_of_era;
        era_of(first) == era_of(revision) && revision > first
    }

    /// Notes that the set is known as another watermark says.
    pub fn advance(&mut self, watermark: SetWatermark) {
        let known = self.watermark.unwrap_or_default();
        if era_of(watermark.revision) > era_of(known.revision) {
            self.first_of_era = watermark.revision;
        }
        self.watermark = Some(SetWatermark {
            revision: known.revision.max(watermark.revision),
            changed: known.changed.max(watermark.changed),
            written: known.written.max(watermark.written),
        });
    }
}
