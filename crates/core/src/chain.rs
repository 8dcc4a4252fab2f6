//! A chained hash over the tokens of a response.
//!
//! Equal hashes at the same position mean equal tokens, so a resume can verify that it continues
//! the response that the caller already has.

use {crate::ids::TokenId, xxhash_rust::xxh3::xxh3_64_with_seed};

/// The hash over the first tokens of a response; the default value is that of no tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenChain(pub u64);

impl TokenChain {
    /// Returns the hash with one token appended.
    #[must_use]
    pub fn push(self, token: TokenId) -> Self {
        Self(xxh3_64_with_seed(&token.to_le_bytes(), self.0))
    }

    /// Returns the hash with these tokens appended.
    #[must_use]
    pub fn extend(self, tokens: &[TokenId]) -> Self {
        tokens.iter().fold(self, |chain, token| chain.push(*token))
    }

    /// Computes the hash of a list of tokens.
    #[must_use]
    pub fn of(tokens: &[TokenId]) -> Self {
        Self::default().extend(tokens)
    }
}
