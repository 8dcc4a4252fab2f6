//! How far a host's knowledge of one set of rows goes.

use super::SetWord;

/// How far a host's knowledge of one set of rows goes; it never goes back.
#[derive(Clone, Copy, Debug, Default)]
pub struct SetProgress {
    word: Option<SetWord>,
}

impl SetProgress {
    /// How far it goes; none before the set was read.
    #[must_use]
    pub fn word(&self) -> Option<SetWord> {
        self.word
    }

    /// Notes that the set is known as another word says.
    pub fn advance(&mut self, word: SetWord) {
        let known = self.word.unwrap_or_default();
        self.word = Some(SetWord {
            revision: known.revision.max(word.revision),
            changed: known.changed.max(word.changed),
            written: known.written.max(word.written),
        });
    }
}
