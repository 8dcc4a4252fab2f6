//! Words in answers that have no reader.

use {
    std::collections::HashSet,
    tealshore_core::ids::{Born, EngineId},
};

/// How many words of lives of upstreams are remembered as seen.
pub const MAX_UNKNOWN_HEADERS: usize = 1_024;

/// Words that upstreams said and that have no reader, so that each is told once for each life.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    seen: HashSet<(EngineId, Born, String)>,
}

impl UnknownHeaders {
    /// Notes a word; whether it is to be told. Where many were seen, no further one is.
    pub fn record(&mut self, id: &EngineId, born: Born, header: &str) -> bool {
        if self.seen.len() >= MAX_UNKNOWN_HEADERS {
            return false;
        }
        self.seen.insert((id.clone(), born, header.to_owned()))
    }
}
