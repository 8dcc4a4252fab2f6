//! Answers `POST /v1/completions`.

use {
    super::{
        caller::{self, EarlierCalls},
        problem,
    },
    crate::{
        claims::{Claim, ClaimOutcome},
        drive::{Admitted, Driver, Output, Start},
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
    tealshore_peers::{Place, PlaceKey, Reservation},
};

/// What is known of a request before it is decided how it starts.
struct Asked<'a> {
    state: &'a Arc<RouterState>,
    customer: &'a Customer,
    grant: &'a Grant,
    id: RequestId,
    earlier_calls: EarlierCalls,
    digest: String,
    repeat: Repeat,
    request: CompletionRequest,
}

/// How a request starts, with what it is pinned to.
struct Decided {
    generation: GenerationId,
    pin: ModelPin,
    start: Start,
    claim: Option<Claim>,
    repeat: Repeat,
}

/// Answers a request to generate.
pub async fn answer(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let earlier_calls = EarlierCalls::of(request.headers());
    let outcome = admit_and_respond(state, request).await;
    outcome.map_err(|failure| match earlier_calls {
        EarlierCalls::Ran => earlier_calls.qualify(failure),
        // Once the request's place and claim were looked up, more is known than its id tells.
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
    let running = caller::running(state).map_err(qualify)?;
    let customer = caller::customer(&running, &headers)?;
    let body = caller::body(state, request).await.map_err(qualify)?;
    let request = CompletionRequest::parse(&body)?;
    let grant = granted(customer, &request)?;
    let id = caller::request_id(&headers)?
        .unwrap_or_else(|| format!("auto-{:032x}", rand::rng().random::<u128>()));
    let repeat = caller::repeat(&headers)?.unwrap_or(grant.repeat);
    let bound = state.options.callers.max_in_flight;
    let in_flight = state
        .in_flight
        .enter(&customer.id, &request.model, bound, grant.max_in_flight)
        .map_err(qualify)?;
    let asked = Asked {
        state,
        customer,
        grant,
        id,
        earlier_calls,
        digest: request.digest(),
        repeat,
        request,
    };
    let decided = decide(&asked, &headers).await?;
    let admitted = Admitted {
        customer: customer.id.clone(),
        id: asked.id,
        digest: asked.digest,
        generation: decided.generation,
        service: grant.service.clone(),
        pin: decided.pin,
        priority: grant.priority,
        policy: grant.resume,
        repeat: decided.repeat,
        claim: decided.claim,
        start: decided.start,
        _in_flight: in_flight,
        request: asked.request,
    };
    respond(state, admitted).await
}

fn granted<'a>(customer: &'a Customer, request: &CompletionRequest) -> Result<&'a Grant, Failure> {
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

async fn decide(asked: &Asked<'_>, headers: &HeaderMap) -> Result<Decided, Failure> {
    if let Some(last_event) = caller::text(headers, LAST_EVENT_HEADER)? {
        let ticket = asked.state.signer.verify(last_event, SystemTime::now())?;
        return resume(asked, ticket);
    }
    let generation = rand::rng().random();
    let key = PlaceKey {
        customer: asked.customer.id.clone(),
        request: asked.id.clone(),
    };
    let pin = pin_of(asked.grant);
    let place = Place {
        digest: asked.digest.clone(),
        generation,
        attempt: 0,
        engine: None,
        pin: pin.clone().into(),
        once: asked.repeat == Repeat::Forbidden,
        cancelled: false,
    };
    if let Reservation::Existing(known) = asked.state.reserve_place(&key, place).await {
        if known.digest != asked.digest {
            return Err(conflict(asked));
        }
        if let Some(decided) = read_again(asked, known) {
            return Ok(decided);
        }
        // Another entry host has the request and is about to run it.
        let claim = claim(asked, &key).await;
        return start_new(
            asked,
            generation,
            pin,
            claim.map_err(|failure| failure.after_earlier_attempt(Ran::Unknown)),
        );
    }
    let claim = claim(asked, &key).await;
    start_new(asked, generation, pin, claim)
}

fn start_new(
    asked: &Asked<'_>,
    generation: GenerationId,
    pin: ModelPin,
    claim: Result<Option<Claim>, Failure>,
) -> Result<Decided, Failure> {
    Ok(Decided {
        generation,
        pin,
        start: Start::New,
        claim: claim?,
        repeat: asked.repeat,
    })
}

/// Goes on for a caller that holds a signed id.
fn resume(asked: &Asked<'_>, ticket: Ticket) -> Result<Decided, Failure> {
    let Ticket {
        position,
        chain,
        place,
    } = ticket;
    if place.customer != asked.customer.id || place.request != asked.id {
        return Err(Failure::new(
            ErrorKind::ForeignResumeToken,
            "last-event-id: of another request",
        ));
    }
    if place.digest != asked.digest {
        return Err(conflict(asked));
    }
    let pin = ModelPin::from(place.pin);
    let running = (place.attempt, place.engine);
    let start = match &asked.request.received {
        Some(received) => {
            let is_same =
                received.len() as Position == position && TokenChain::of(received) == chain;
            if !is_same && enabled(Protection::ChainCheck) {
                return Err(Failure::new(
                    ErrorKind::ResumeMismatch,
                    "received: not the tokens up to the last event's id",
                ));
            }
            Start::FromTokens {
                received: received.clone(),
                running,
            }
        }
        None => Start::Attach {
            held: ResumePoint { position, chain },
            running,
        },
    };
    Ok(Decided {
        generation: place.generation,
        pin,
        start,
        claim: None,
        repeat: stricter(asked.repeat, place.once),
    })
}

/// Reads a known generation from its start, where an engine has it already.
fn read_again(asked: &Asked<'_>, place: Place) -> Option<Decided> {
    let engine = place.engine?;
    let held = ResumePoint {
        position: 0,
        chain: TokenChain::default(),
    };
    let start = Start::Attach {
        held,
        running: (place.attempt, engine),
    };
    Some(Decided {
        generation: place.generation,
        pin: place.pin.into(),
        start,
        claim: None,
        repeat: stricter(asked.repeat, place.once),
    })
}

/// A request that may not be repeated stays so, whatever the caller says when it comes back.
fn stricter(asked: Repeat, once: bool) -> Repeat {
    if once { Repeat::Forbidden } else { asked }
}

async fn claim(asked: &Asked<'_>, key: &PlaceKey) -> Result<Option<Claim>, Failure> {
    if asked.repeat == Repeat::Allowed || !enabled(Protection::Claim) {
        return Ok(None);
    }
    match asked.state.claims.claim(key, &asked.digest).await {
        ClaimOutcome::Won(claim) => Ok(Some(claim)),
        ClaimOutcome::Taken { digest } if digest != asked.digest => Err(conflict(asked)),
        ClaimOutcome::Taken { .. } => Err(Failure::new(
            ErrorKind::AlreadyClaimed,
            format!("request {} was claimed before", asked.id),
        )),
        ClaimOutcome::Unavailable => {
            let detail = "the request could not be claimed, so this time it was not sent";
            let failure = Failure::new(ErrorKind::TableUnavailable, detail);
            Err(asked.earlier_calls.qualify(failure))
        }
    }
}

fn conflict(asked: &Asked<'_>) -> Failure {
    Failure::new(
        ErrorKind::RequestConflict,
        format!("request {} was used with another body", asked.id),
    )
}

fn pin_of(grant: &Grant) -> ModelPin {
    ModelPin {
        model: grant.service.clone(),
        adapter: grant.adapter.clone(),
        version: grant.version.clone(),
    }
}

/// Waits for the first token before the head is sent, so that a failure until then still
/// gets its own status.
async fn respond(state: &Arc<RouterState>, admitted: Admitted) -> Result<Response<Body>, Failure> {
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
    let answer = Response::new(body_of(state.clone(), driver, first));
    Ok(with_headers(answer, &id))
}

fn body_of(state: Arc<RouterState>, driver: Driver, first: (Bytes, bool)) -> Body {
    let events = stream::unfold(
        (Some(first), false, driver),
        move |(first, is_over, mut driver)| {
            let state = state.clone();
            async move {
                if let Some((event, is_end)) = first {
                    return Some((frame(event), (None, is_end, driver)));
                }
                if is_over {
                    return None;
                }
                let (event, is_end) = match driver.next().await? {
                    Output::Event(event) => (event, false),
                    Output::End(end) => (end, true),
                    Output::Failed(failure) => {
                        (EventWriter::error(&problem::note(&state, &failure)), true)
                    }
                };
                Some((frame(event), (None, is_end, driver)))
            }
        },
    );
    StreamBody::new(events).boxed_unsync()
}

fn frame(event: Bytes) -> Result<Frame<Bytes>, BodyError> {
    Ok(Frame::data(event))
}

fn with_headers(mut answer: Response<Body>, id: &RequestId) -> Response<Body> {
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    answer
}
