//! Handles `POST /v1/completions`.

use {
    super::{
        caller::{self, EarlierCalls},
        problem,
    },
    crate::{
        claims::{Claim, ClaimOutcome},
        drive::{AdmittedRequest, Driver, GenerationStart, Output},
        state::RouterState,
    },
    bytes::Bytes,
    futures::stream,
    http::{
        HeaderMap, HeaderValue, Request, Response,
        header::{CACHE_CONTROL, CONTENT_TYPE},
    },
    http_body_util::{BodyExt, StreamBody},
    hyper::body::{Frame, Incoming},
    rand::RngExt,
    std::{sync::Arc, time::SystemTime},
    tealshore_callers::{
        events::EventWriter,
        ticket::Ticket,
        wire::{CompletionRequest, LAST_EVENT_HEADER, REQUEST_ID_HEADER},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        chain::TokenChain,
        http::{Body, BodyError},
        ids::{GenerationId, Position, RequestId},
        protection::{Protection, enabled},
    },
    tealshore_decide::{generation::ResumePoint, policy::Repeat},
    tealshore_engines::wire::ModelPin,
    tealshore_operators::declarations::{Customer, Grant},
    tealshore_peers::{Location, RequestKey, Reservation},
};

/// A validated request, before it is decided how its generation starts.
struct RequestContext<'a> {
    state: &'a Arc<RouterState>,
    customer: &'a Customer,
    grant: &'a Grant,
    id: RequestId,
    earlier_calls: EarlierCalls,
    digest: String,
    repeat: Repeat,
    request: CompletionRequest,
}

/// How the generation of a request starts.
struct StartDecision {
    generation: GenerationId,
    pin: ModelPin,
    start: GenerationStart,
    claim: Option<Claim>,
    repeat: Repeat,
}

/// Handles a completion request.
pub async fn handle(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let earlier_calls = EarlierCalls::of(request.headers());
    let outcome = admit_and_respond(state, request).await;
    outcome.map_err(|failure| match earlier_calls {
        EarlierCalls::Ran => earlier_calls.qualify(failure),
        // `admit_and_respond` has adjusted these already: after the lookup of the location and
        // the claim, more is known than the request id tells.
        EarlierCalls::MayHaveRun | EarlierCalls::None => failure,
    })
}

async fn admit_and_respond(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let headers = request.headers().clone();
    let earlier_calls = EarlierCalls::of(&headers);
    let qualify = |failure| earlier_calls.qualify(failure);
    caller::refuse_if_stopping(state).map_err(qualify)?;
    let active = caller::active_declarations(state).map_err(qualify)?;
    let customer = caller::customer(&active, &headers)?;
    let body = caller::body(state, request).await.map_err(qualify)?;
    let request = CompletionRequest::parse(&body)?;
    let grant = find_grant(customer, &request)?;
    let id = caller::request_id(&headers)?
        .unwrap_or_else(|| format!("auto-{:032x}", rand::rng().random::<u128>()));
    let repeat = caller::repeat(&headers)?.unwrap_or(grant.repeat);
    let limit = state.options.callers.max_in_flight;
    let in_flight = state
        .in_flight
        .admit(&customer.id, &request.model, limit, grant.max_in_flight)
        .map_err(qualify)?;
    let context = RequestContext {
        state,
        customer,
        grant,
        id,
        earlier_calls,
        digest: request.digest(),
        repeat,
        request,
    };
    let decision = decide(&context, &headers).await?;
    let admitted = AdmittedRequest {
        customer: customer.id.clone(),
        id: context.id,
        digest: context.digest,
        generation: decision.generation,
        service: grant.service.clone(),
        pin: decision.pin,
        priority: grant.priority,
        policy: grant.resume,
        repeat: decision.repeat,
        claim: decision.claim,
        start: decision.start,
        _in_flight: in_flight,
        request: context.request,
    };
    respond(state, admitted).await
}

fn find_grant<'a>(
    customer: &'a Customer,
    request: &CompletionRequest,
) -> Result<&'a Grant, Failure> {
    let grant = customer.grants.get(&request.model).ok_or_else(|| {
        let known: Vec<&str> = customer.grants.keys().map(String::as_str).collect();
        Failure::new(
            ErrorKind::UnknownModel,
            format!(
                "model: {} is not granted; allowed: {}",
                request.model,
                known.join(", ")
            ),
        )
    })?;
    if request.max_tokens.get() > grant.max_tokens {
        return Err(Failure::new(
            ErrorKind::BadRequest,
            format!("max_tokens: at most {} are allowed", grant.max_tokens),
        ));
    }
    Ok(grant)
}

async fn decide(
    context: &RequestContext<'_>,
    headers: &HeaderMap,
) -> Result<StartDecision, Failure> {
    if let Some(last_event) = caller::text(headers, LAST_EVENT_HEADER)? {
        let ticket = context.state.signer.verify(last_event, SystemTime::now())?;
        return resume(context, ticket);
    }
    let generation = rand::rng().random();
    let key = RequestKey {
        customer: context.customer.id.clone(),
        request: context.id.clone(),
    };
    let pin = model_pin(context.grant);
    let location = Location {
        digest: context.digest.clone(),
        generation,
        attempt: 0,
        engine: None,
        pin: pin.clone().into(),
        once: context.repeat == Repeat::Forbidden,
        cancelled: false,
    };
    if let Reservation::Existing(known) = context.state.reserve_location(&key, location).await {
        if known.digest != context.digest {
            return Err(conflict(context));
        }
        if let Some(decision) = attach_from_start(context, known) {
            return Ok(decision);
        }
        // The home host has the request without an engine: another entry host may be about to
        // run it.
        let claim = claim(context, &key).await;
        return start_new(
            context,
            generation,
            pin,
            claim.map_err(|failure| failure.after_earlier_attempt(Ran::Unknown)),
        );
    }
    let claim = claim(context, &key).await;
    start_new(context, generation, pin, claim)
}

fn start_new(
    context: &RequestContext<'_>,
    generation: GenerationId,
    pin: ModelPin,
    claim: Result<Option<Claim>, Failure>,
) -> Result<StartDecision, Failure> {
    Ok(StartDecision {
        generation,
        pin,
        start: GenerationStart::New,
        claim: claim?,
        repeat: context.repeat,
    })
}

/// Resumes the generation of a caller that sent a ticket.
fn resume(context: &RequestContext<'_>, ticket: Ticket) -> Result<StartDecision, Failure> {
    let Ticket {
        position,
        chain,
        place,
    } = ticket;
    if place.customer != context.customer.id || place.request != context.id {
        return Err(Failure::new(
            ErrorKind::ForeignResumeToken,
            "last-event-id: of another request",
        ));
    }
    if place.digest != context.digest {
        return Err(conflict(context));
    }
    let pin = ModelPin::from(place.pin);
    let running = (place.attempt, place.engine);
    let start = match &context.request.received {
        Some(received) => {
            let is_same =
                received.len() as Position == position && TokenChain::of(received) == chain;
            if !is_same && enabled(Protection::ChainCheck) {
                return Err(Failure::new(
                    ErrorKind::ResumeMismatch,
                    "received: not the tokens up to the last event's id",
                ));
            }
            GenerationStart::FromTokens {
                received: received.clone(),
                running,
            }
        }
        None => GenerationStart::Attach {
            held: ResumePoint { position, chain },
            running,
        },
    };
    Ok(StartDecision {
        generation: place.generation,
        pin,
        start,
        claim: None,
        repeat: effective_repeat(context.repeat, place.once),
    })
}

/// Attaches to a known generation from its first token; `None` if it has no engine yet.
fn attach_from_start(context: &RequestContext<'_>, location: Location) -> Option<StartDecision> {
    let engine = location.engine?;
    let held = ResumePoint {
        position: 0,
        chain: TokenChain::default(),
    };
    let start = GenerationStart::Attach {
        held,
        running: (location.attempt, engine),
    };
    Some(StartDecision {
        generation: location.generation,
        pin: location.pin.into(),
        start,
        claim: None,
        repeat: effective_repeat(context.repeat, location.once),
    })
}

/// Combines the caller's wish with the stored one: a request that must not be repeated stays so,
/// even if a later call allows it.
fn effective_repeat(requested: Repeat, once: bool) -> Repeat {
    if once { Repeat::Forbidden } else { requested }
}

async fn claim(context: &RequestContext<'_>, key: &RequestKey) -> Result<Option<Claim>, Failure> {
    if context.repeat == Repeat::Allowed || !enabled(Protection::Claim) {
        return Ok(None);
    }
    match context.state.claims.claim(key, &context.digest).await {
        ClaimOutcome::Acquired(claim) => Ok(Some(claim)),
        ClaimOutcome::Taken { digest } if digest != context.digest => Err(conflict(context)),
        ClaimOutcome::Taken { .. } => Err(Failure::new(
            ErrorKind::AlreadyClaimed,
            format!("request {} was claimed before", context.id),
        )),
        ClaimOutcome::Unavailable => {
            let detail = "the request could not be claimed, so this time it was not sent";
            let failure = Failure::new(ErrorKind::TableUnavailable, detail);
            Err(context.earlier_calls.qualify(failure))
        }
    }
}

fn conflict(context: &RequestContext<'_>) -> Failure {
    Failure::new(
        ErrorKind::RequestConflict,
        format!("request {} was used with another body", context.id),
    )
}

fn model_pin(grant: &Grant) -> ModelPin {
    ModelPin {
        model: grant.service.clone(),
        adapter: grant.adapter.clone(),
        version: grant.version.clone(),
    }
}

/// Waits for the first output before sending the response head, so that a failure up to then gets
/// its own status code.
async fn respond(
    state: &Arc<RouterState>,
    admitted: AdmittedRequest,
) -> Result<Response<Body>, Failure> {
    let id = admitted.id.clone();
    let mut driver = Driver::start(state.clone(), admitted);
    let first = match driver.next().await {
        Some(Output::Event(event)) => (event, false),
        Some(Output::End(end)) => (end, true),
        Some(Output::Failed(failure)) => return Err(failure),
        None => {
            return Err(Failure::new(
                ErrorKind::Internal,
                "the generation ended without an answer",
            ));
        }
    };
    let response = Response::new(response_body(state.clone(), driver, first));
    Ok(with_headers(response, &id))
}

fn response_body(state: Arc<RouterState>, driver: Driver, first: (Bytes, bool)) -> Body {
    let events = stream::unfold(
        (Some(first), false, driver),
        move |(first, is_over, mut driver)| {
            let state = state.clone();
            async move {
                if let Some((event, is_end)) = first {
                    return Some((data_frame(event), (None, is_end, driver)));
                }
                if is_over {
                    return None;
                }
                let (event, is_end) = match driver.next().await? {
                    Output::Event(event) => (event, false),
                    Output::End(end) => (end, true),
                    Output::Failed(failure) => {
                        (EventWriter::error(&problem::record(&state, &failure)), true)
                    }
                };
                Some((data_frame(event), (None, is_end, driver)))
            }
        },
    );
    StreamBody::new(events).boxed_unsync()
}

fn data_frame(event: Bytes) -> Result<Frame<Bytes>, BodyError> {
    Ok(Frame::data(event))
}

fn with_headers(mut response: Response<Body>, id: &RequestId) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    response
}
