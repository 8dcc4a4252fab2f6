//! A request that may run, with all that is fixed about it.

use {
    crate::{claims::Claim, in_flight::InFlightGuard},
    tealshore_callers::{
        ticket::TicketPlace,
        wire::{CallerPrompt, CompletionRequest},
    },
    tealshore_core::{
        answer::Ran,
        ids::{
            AttemptNo, CustomerId, EngineId, GenerationId, Position, RequestId, ServiceId, SiteId,
            TokenId, stream_id,
        },
    },
    tealshore_decide::{
        generation::{Attempt, Held},
        policy::{Repeat, ResumePolicy},
    },
    tealshore_engines::wire::{GenerateOrder, ModelPin, Prompt},
    tealshore_peers::{Location, RequestKey},
};

/// How a generation starts on this host.
pub enum GenerationStart {
    /// From nothing.
    New,
    /// From the tokens that the caller sent back.
    FromTokens {
        /// The tokens.
        received: Vec<TokenId>,
        /// The attempt and engine that may still have the generation.
        running: (AttemptNo, EngineId),
    },
    /// By reading it again from its engine, for a caller that holds a part of it.
    Attach {
        /// What the caller holds.
        held: Held,
        /// The attempt and engine that have the generation.
        running: (AttemptNo, EngineId),
    },
}

impl GenerationStart {
    /// What is known of an earlier try at another entry host; none where there was none.
    pub fn earlier_try(&self) -> Option<Ran> {
        match self {
            Self::New => None,
            Self::Attach { held, .. } if held.position == 0 => Some(Ran::Unknown),
            Self::FromTokens { .. } | Self::Attach { .. } => Some(Ran::Yes),
        }
    }
}

/// A request that may run.
pub struct AdmittedRequest {
    /// The customer.
    pub customer: CustomerId,
    /// The request's id.
    pub id: RequestId,
    /// The request.
    pub request: CompletionRequest,
    /// The digest of the request.
    pub digest: String,
    /// The generation.
    pub generation: GenerationId,
    /// The group of engines.
    pub service: ServiceId,
    /// What it is pinned to.
    pub pin: ModelPin,
    /// Its priority.
    pub priority: i32,
    /// The customer's choice.
    pub policy: ResumePolicy,
    /// Whether it may reach a model more than once.
    pub repeat: Repeat,
    /// Its claim, where it needed one.
    pub claim: Option<Claim>,
    /// How it starts.
    pub start: GenerationStart,
    /// Counts it as in flight until it is dropped.
    pub _in_flight: InFlightGuard,
}

impl AdmittedRequest {
    /// Names it across customers.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            customer: self.customer.clone(),
            request: self.id.clone(),
        }
    }

    /// Names it to engines, which know no customers: two of them may use the same id.
    pub fn engine_request_id(&self) -> RequestId {
        format!("{}:{}", self.customer, self.id)
    }

    /// The length that was asked for.
    pub fn max_tokens(&self) -> Position {
        self.request.max_tokens.get()
    }

    /// The order of an attempt that goes on after the tokens `received`.
    pub fn order(&self, attempt: AttemptNo, pin: ModelPin, received: &[TokenId]) -> GenerateOrder {
        let prompt = match &self.request.prompt {
            CallerPrompt::Text(text) => Prompt::Text(text.clone()),
            CallerPrompt::Tokens(tokens) => Prompt::Tokens(tokens.clone()),
        };
        GenerateOrder {
            stream_id: stream_id(self.generation, attempt),
            request_id: self.engine_request_id(),
            pin,
            prompt,
            received: received.to_vec(),
            max_tokens: self.max_tokens(),
            seed: self.request.seed,
            priority: self.priority,
        }
    }

    /// What the request's home is told of an attempt.
    pub fn location_at(&self, attempt: AttemptNo, engine: &EngineId) -> Location {
        Location {
            digest: self.digest.clone(),
            generation: self.generation,
            attempt,
            engine: Some(engine.clone()),
            pin: self.pin.clone().into(),
            once: self.repeat == Repeat::Forbidden,
            cancelled: false,
        }
    }

    /// What the tickets of an attempt say.
    pub fn ticket_place(&self, site: &SiteId, attempt: &Attempt, expires_s: u64) -> TicketPlace {
        TicketPlace {
            site: site.clone(),
            customer: self.customer.clone(),
            request: self.id.clone(),
            digest: self.digest.clone(),
            generation: self.generation,
            attempt: attempt.no,
            engine: attempt.engine.clone().unwrap_or_default(),
            pin: self.pin.clone().into(),
            once: self.repeat == Repeat::Forbidden,
            expires_s,
        }
    }
}
