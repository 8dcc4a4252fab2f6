//! The running hash over the tokens of an answer.
//!
//! Two answers with the same hash at the same position hold the same tokens, so a resume
//! can check that it continues what the caller already has.

use {crate::ids::TokenId, xxhash_rust::xxh3::xxh3_64_with_seed};

/// The hash after a number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenChain(pub u64);

impl TokenChain {
    /// The hash after one more token.
    #[must_use]
    pub fn push(self, token: TokenId) -> Self {
        Self(xxh3_64_with_seed(&token.to_le_bytes(), self.0))
    }

    /// The hash after these tokens as well.
    #[must_use]
    pub fn extend(self, tokens: &[TokenId]) -> Self {
        tokens.iter().fold(self, |chain, token| chain.push(*token))
    }

    /// The hash of a whole list of tokens.
    #[must_use]
    pub fn of(tokens: &[TokenId]) -> Self {
        Self::default().extend(tokens)
    }
}
