//! The model of the engine stand-in: every token depends on all tokens before it, on the
//! pinned weights and on the seed, so that a wrong prefix or a mixed generation shows.

use {
    tealshore_core::{chain::TokenChain, ids::TokenId},
    tealshore_engines::wire::{ModelPin, Prompt},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// How many different tokens there are.
const VOCABULARY: u64 = 50_000;

/// The state of the model after a prefix.
#[derive(Clone, Copy, Debug)]
pub struct TokenModel {
    chain: TokenChain,
}

impl TokenModel {
    /// The state before the prompt.
    #[must_use]
    pub fn new(pin: &ModelPin, seed: u64) -> Self {
        let weights = format!("{}\0{}\0{}\0{seed}", pin.model, pin.adapter, pin.version);
        Self {
            chain: TokenChain(xxh3_64(weights.as_bytes())),
        }
    }

    /// Takes in tokens of the prompt or of the answer.
    pub fn feed(&mut self, tokens: &[TokenId]) {
        self.chain = self.chain.extend(tokens);
    }

    /// The token that an engine of this salt samples next.
    #[must_use]
    pub fn sample(&self, salt: u64) -> TokenId {
        let drawn = xxh3_64_with_seed(&self.chain.0.to_le_bytes(), salt) % VOCABULARY;
        TokenId::try_from(drawn).unwrap_or_default()
    }
}

/// Cuts a prompt into tokens, a word each.
#[must_use]
pub fn tokenize(prompt: &Prompt) -> Vec<TokenId> {
    match prompt {
        Prompt::Tokens(tokens) => tokens.clone(),
        Prompt::Text(text) => text.split_whitespace().map(word_token).collect(),
    }
}

/// A token as text.
#[must_use]
pub fn token_text(token: TokenId) -> String {
    format!(" t{token}")
}

fn word_token(word: &str) -> TokenId {
    TokenId::try_from(xxh3_64(word.as_bytes()) % VOCABULARY).unwrap_or_default()
}
