//! How up to date a host's copy of one row set is.

use super::SetWatermark;

/// How up to date a host's copy of one row set is. It never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetProgress {
    watermark: Option<SetWatermark>,
}

impl SetProgress {
    /// The watermark of the set, or `None` until the set was read.
    #[must_use]
    pub fn watermark(&self) -> Option<SetWatermark> {
        self.watermark
    }

    /// Advances the set to a watermark; each part of the watermark only grows.
    pub fn advance(&mut self, watermark: SetWatermark) {
        let known = self.watermark.unwrap_or_default();
        self.watermark = Some(SetWatermark {
            revision: known.revision.max(watermark.revision),
            changed: known.changed.max(watermark.changed),
            written: known.written.max(watermark.written),
        });
    }
}
