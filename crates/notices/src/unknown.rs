//! Headers in answers that this program does not know.

use {
    std::collections::HashSet,
    tealshore_core::ids::{EngineId, StartTime},
};

/// Maximum number of remembered combinations of an upstream's incarnation and an unknown header.
pub const MAX_UNKNOWN_HEADERS: usize = 1_024;

/// Unknown headers in answers, so that each is reported once per incarnation of an upstream.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    seen: HashSet<(EngineId, StartTime, String)>,
}

impl UnknownHeaders {
    /// Records a header. Returns whether it should be reported, which is never the case once
    /// [`MAX_UNKNOWN_HEADERS`] are remembered.
    pub fn record(&mut self, id: &EngineId, born: StartTime, header: &str) -> bool {
        if self.seen.len() >= MAX_UNKNOWN_HEADERS {
            return false;
        }
        self.seen.insert((id.clone(), born, header.to_owned()))
    }
}
