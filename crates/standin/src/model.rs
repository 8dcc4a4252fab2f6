//! The model of the engine stand-in. Each token depends on all tokens before it, on the pinned weights
//! and on the seed, so that a wrong prefix or a mix of two generations can be detected.

use {
    tealshore_core::{chain::TokenChain, ids::TokenId},
    tealshore_engines::wire::{ModelPin, Prompt},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of different tokens.
const VOCABULARY: u64 = 50_000;

/// The state of the model after a prefix.
#[derive(Clone, Copy, Debug)]
pub struct TokenModel {
    chain: TokenChain,
}

impl TokenModel {
    /// Creates the state before the prompt.
    #[must_use]
    pub fn new(pin: &ModelPin, seed: u64) -> Self {
        let weights = format!("{}\0{}\0{}\0{seed}", pin.model, pin.adapter, pin.version);
        Self {
            chain: TokenChain(xxh3_64(weights.as_bytes())),
        }
    }

    /// Appends tokens of the prompt or the answer to the prefix.
    pub fn feed(&mut self, tokens: &[TokenId]) {
        self.chain = self.chain.extend(tokens);
    }

    /// Returns the token that an engine with this salt samples next.
    #[must_use]
    pub fn sample(&self, salt: u64) -> TokenId {
        let drawn = xxh3_64_with_seed(&self.chain.0.to_le_bytes(), salt) % VOCABULARY;
        TokenId::try_from(drawn).unwrap_or_default()
    }
}

/// Tokenizes a prompt, one token per word.
#[must_use]
pub fn tokenize(prompt: &Prompt) -> Vec<TokenId> {
    match prompt {
        Prompt::Tokens(tokens) => tokens.clone(),
        Prompt::Text(text) => text.split_whitespace().map(word_token).collect(),
    }
}

/// Returns the text of a token.
#[must_use]
pub fn token_text(token: TokenId) -> String {
    format!(" t{token}")
}

fn word_token(word: &str) -> TokenId {
    TokenId::try_from(xxh3_64(word.as_bytes()) % VOCABULARY).unwrap_or_default()
}
