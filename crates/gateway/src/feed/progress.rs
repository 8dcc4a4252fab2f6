//! How far a host's knowledge of one set of rows goes.

use super::SetWatermark;

/// How far a host's knowledge of one set of rows goes; it never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetProgress {
    watermark: Option<SetWatermark>,
}

impl SetProgress {
    /// How far it goes; none before the set was read.
    #[must_use]
    pub fn watermark(&self) -> Option<SetWatermark> {
        self.watermark
    }

    /// Notes that the set is known as another watermark says.
    pub fn advance(&mut self, watermark: SetWatermark) {
        let known = self.watermark.unwrap_or_default();
        self.watermark = Some(SetWatermark {
            revision: known.revision.max(watermark.revision),
            changed: known.changed.max(watermark.changed),
            written: known.written.max(watermark.written),
        });
    }
}
