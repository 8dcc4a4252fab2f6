//! Words in answers that have no reader.

use {
    std::collections::HashSet,
    tealshore_core::ids::{EngineId, StartTime},
};

/// How many words of lives of upstreams are remembered as seen.
pub const MOST_WORDS: usize = 1_024;

/// Words that upstreams said and that have no reader, so that each is told once for each life.
#[derive(Debug, Default)]
pub struct UnknownWords {
    seen: HashSet<(EngineId, StartTime, String)>,
}

impl UnknownWords {
    /// Notes a word; whether it is to be told. Where many were seen, no further one is.
    pub fn note(&mut self, id: &EngineId, born: StartTime, word: &str) -> bool {
        if self.seen.len() >= MOST_WORDS {
            return false;
        }
        self.seen.insert((id.clone(), born, word.to_owned()))
    }
}
