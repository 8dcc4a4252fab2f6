//! An admitted request with its fixed parameters.

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
        generation::{Attempt, ResumePoint},
        policy::{Repeat, ResumePolicy},
    },
    tealshore_engines::wire::{GenerateRequest, ModelPin, Prompt},
    tealshore_peers::{Location, RequestKey},
};

/// How a generation starts on this host.
pub enum GenerationStart {
    /// As a new generation.
    New,
    /// From the tokens that the caller sent with the resume request.
    FromTokens {
        /// The tokens.
        received: Vec<TokenId>,
        /// The attempt and its engine, which may still hold the generation.
        running: (AttemptNo, EngineId),
    },
    /// By attaching to the generation at its engine, for a caller that has a part of it.
    Attach {
        /// The part that the caller has.
        held: ResumePoint,
        /// The attempt and its engine, which hold the generation.
        running: (AttemptNo, EngineId),
    },
}

impl GenerationStart {
    /// Whether an earlier call for this generation ran; `None` if there was no earlier call.
    pub fn earlier_try(&self) -> Option<Ran> {
        match self {
            Self::New => None,
            Self::Attach { held, .. } if held.position == 0 => Some(Ran::Unknown),
            Self::FromTokens { .. } | Self::Attach { .. } => Some(Ran::Yes),
        }
    }
}

/// A request that was admitted and may run.
pub struct AdmittedRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Request id.
    pub id: RequestId,
    /// The request body.
    pub request: CompletionRequest,
    /// Digest of the request body.
    pub digest: String,
    /// Generation id.
    pub generation: GenerationId,
    /// Service whose engines run the request.
    pub service: ServiceId,
    /// Model, adapter and version that all attempts use.
    pub pin: ModelPin,
    /// Scheduling priority at the engine.
    pub priority: i32,
    /// Resume policy of the customer's grant.
    pub policy: ResumePolicy,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Claim of the request, if it must not be repeated.
    pub claim: Option<Claim>,
    /// How the generation starts on this host.
    pub start: GenerationStart,
    /// Counts the request as in flight until dropped.
    pub _in_flight: InFlightGuard,
}

impl AdmittedRequest {
    /// Key of the request, unique across customers.
    pub fn key(&self) -> RequestKey {
        RequestKey {
            customer: self.customer.clone(),
            request: self.id.clone(),
        }
    }

    /// Request id for engines. It includes the customer, since engines do not know customers and
    /// two customers may use the same id.
    pub fn engine_request_id(&self) -> RequestId {
        format!("{}:{}", self.customer, self.id)
    }

    /// Maximum number of tokens that the request allows.
    pub fn max_tokens(&self) -> Position {
        self.request.max_tokens.get()
    }

    /// Builds the request to the engine for an attempt that continues after the tokens `received`.
    pub fn order(
        &self,
        attempt: AttemptNo,
        pin: ModelPin,
        received: &[TokenId],
    ) -> GenerateRequest {
        let prompt = match &self.request.prompt {
            CallerPrompt::Text(text) => Prompt::Text(text.clone()),
            CallerPrompt::Tokens(tokens) => Prompt::Tokens(tokens.clone()),
        };
        GenerateRequest {
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

    /// Location of an attempt, as reported to the home host of the request.
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

    /// Contents of the tickets for the tokens of an attempt.
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
