//! The calls, templates and customers of the experiments.

use {
    std::num::NonZeroU64,
    tealshore_callers::{
        client::Call,
        wire::{CallerPrompt, CompletionRequest},
    },
    tealshore_engines::wire::{ModelPin, Prompt},
    tealshore_operators::declarations::key_hash,
};

/// The key of [`LATENCY_CUSTOMER`].
pub const LATENCY_KEY: &str = "mekong-floods-key";
/// The key of [`THRIFT_CUSTOMER`].
pub const THRIFT_KEY: &str = "cedar-nights-key";
/// The customer of the template with the latency policy.
pub const LATENCY_CUSTOMER: &str = "mekong-floods";
/// The customer of the template with the thrift policy.
pub const THRIFT_CUSTOMER: &str = "cedar-nights";
/// The engine service of all experiments.
pub const SERVICE: &str = "assess-lm";
/// The version of the model weights in all experiments.
pub const VERSION: &str = "1";

/// Returns the declarations of all experiments: one template and customer for each resume policy, and
/// the template `draft`, whose requests may not be repeated.
#[must_use]
pub fn declarations() -> String {
    let latency = key_hash(LATENCY_KEY);
    let thrift = key_hash(THRIFT_KEY);
    format!(
        "[template assess]\nservice = {SERVICE}\nversion = {VERSION}\nresume = latency\nmax_tokens = 100000\nmax_in_flight = 5000\n\n\
         [template summary]\nservice = {SERVICE}\nversion = {VERSION}\nresume = thrift\nmax_tokens = 100000\nmax_in_flight = 5000\n\n\
         [template draft]\nservice = {SERVICE}\nversion = {VERSION}\nrepeat = forbidden\n\n\
         [customer {LATENCY_CUSTOMER}]\nkey_hash = {latency}\ntemplates = assess, draft\n\n\
         [customer {THRIFT_CUSTOMER}]\nkey_hash = {thrift}\ntemplates = summary, draft\n"
    )
}

/// Returns the declarations with additional customers, up to `customers` in all, which make no calls.
#[must_use]
pub fn declarations_for(customers: u64) -> String {
    let more = (2..customers).map(|index| {
        let hash = key_hash(&format!("customer-{index}-key"));
        format!("\n[customer customer-{index}]\nkey_hash = {hash}\ntemplates = assess, summary\nassess.share = 5\n")
    });
    declarations() + &more.collect::<String>()
}

/// A call, with the data that checks its answer.
#[derive(Clone, Debug)]
pub struct Work {
    /// The customer that makes the call.
    pub customer: String,
    /// The call.
    pub call: Call,
    /// The model that the generation must be pinned to.
    pub pin: ModelPin,
}

impl Work {
    /// Creates a call of a template for `tokens` tokens. [`THRIFT_CUSTOMER`] makes calls of `summary`,
    /// [`LATENCY_CUSTOMER`] all others.
    #[must_use]
    pub fn new(id: &str, template: &str, prompt: &str, tokens: u64) -> Self {
        let request = CompletionRequest {
            model: template.to_owned(),
            prompt: CallerPrompt::Text(prompt.to_owned()),
            max_tokens: NonZeroU64::new(tokens).unwrap_or(NonZeroU64::MIN),
            seed: 7,
            stream: true,
            received: None,
        };
        let pin = ModelPin {
            model: SERVICE.to_owned(),
            adapter: String::new(),
            version: VERSION.to_owned(),
        };
        let customer = if template == "summary" {
            THRIFT_CUSTOMER
        } else {
            LATENCY_CUSTOMER
        };
        Self {
            customer: customer.to_owned(),
            call: Call {
                id: id.to_owned(),
                request,
                repeat: None,
            },
            pin,
        }
    }

    /// Returns the request id that engines receive.
    #[must_use]
    pub fn engine_request_id(&self) -> String {
        format!("{}:{}", self.customer, self.call.id)
    }

    /// Returns the customer's key.
    #[must_use]
    pub fn key(&self) -> &'static str {
        if self.customer == THRIFT_CUSTOMER {
            THRIFT_KEY
        } else {
            LATENCY_KEY
        }
    }

    /// Returns the prompt that engines receive.
    #[must_use]
    pub fn prompt(&self) -> Prompt {
        match &self.call.request.prompt {
            CallerPrompt::Text(text) => Prompt::Text(text.clone()),
            CallerPrompt::Tokens(tokens) => Prompt::Tokens(tokens.clone()),
        }
    }

    /// Returns the requested length, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.call.request.max_tokens.get()
    }
}
