//! Checks an answer token by token against the model.

use {
    crate::work::Work,
    std::collections::HashSet,
    tealshore_callers::client::Arrival,
    tealshore_standin::model::{TokenModel, tokenize},
};

/// The result of checking an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCheck {
    /// Tokens that arrived, with repeated ones.
    pub tokens: u64,
    /// Positions that never arrived.
    pub missing: u64,
    /// Positions that arrived more than once.
    pub repeated: u64,
    /// Tokens that no engine samples after the tokens before them.
    pub mixed: u64,
}

impl AnswerCheck {
    /// Returns whether no position is missing, repeated or mixed.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.missing == 0 && self.repeated == 0 && self.mixed == 0
    }
}

/// Checks the arrivals of an answer of `length` tokens from engines with the salts `0..salts`.
#[must_use]
pub fn check_answer(work: &Work, arrivals: &[Arrival], length: u64, salts: u64) -> AnswerCheck {
    let mut check = AnswerCheck {
        tokens: arrivals.len() as u64,
        ..AnswerCheck::default()
    };
    let mut seen = HashSet::new();
    let mut model = TokenModel::new(&work.pin, work.call.request.seed);
    model.feed(&tokenize(&work.prompt()));
    for arrival in arrivals {
        if !seen.insert(arrival.position) {
            check.repeated += 1;
            continue;
        }
        let is_possible = (0..salts.max(1)).any(|salt| model.sample(salt) == arrival.token);
        check.mixed += u64::from(!is_possible);
        model.feed(&[arrival.token]);
    }
    check.missing = (0..length)
        .filter(|position| !seen.contains(position))
        .count() as u64;
    check
}
