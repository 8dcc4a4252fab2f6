//! Serves a caller's request: finds its route and customer, reads its body and runs it.

use {
    super::{
        ended::{log_answer, log_failure},
        refusal::refuse,
        unanswered::UnansweredGuard,
        unread::{expects_continue, keep_connection},
    },
    crate::{
        edge::RequestFacts,
        forward::{
            Call, MAX_HOLD, content_digest_of, fingerprint_of, run_plain, run_stream,
            shared_part_ids, strip_connection_headers,
        },
        in_flight::{LastAnswer, RequestKind, RequestProgress, Stage, TrackedRequest},
        lifecycle::InFlightGuard,
        state::GatewayState,
        stop::StopEnd,
        view::{Configuration, Customer, Route, RouteKind, ViewFacts},
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Request, Response, header, request},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::{sync::Arc, time::Duration},
    tealshore_core::{
        answer::{ErrorKind, Failure, Ran},
        clock,
        http::Body,
        ids::ServiceId,
        protection::{Protection, enabled},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// A final answer is sent this long before the caller or the operator stops waiting for it.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Once a planned stop has lasted this long, new streams are refused, as they might not end in time.
const MAX_STOP_AGE_FOR_STREAMS: Duration = Duration::from_millis(1_200);

/// What is known of a request before its body is read.
struct Admitted {
    configuration: Arc<Configuration>,
    route: Route,
    service: ServiceId,
    customer: Option<Customer>,
    view: ViewFacts,
}

/// Answers one request of a caller.
pub async fn answer_caller(
    state: Arc<GatewayState>,
    last_answer: LastAnswer,
    request: Request<Incoming>,
) -> Response<Body> {
    let received = clock::now();
    last_answer.forget();
    let in_flight = InFlightGuard::begin(&state);
    let (head, mut body) = request.into_parts();
    let expects_continue = expects_continue(&head);
    let facts = state.protocol.read_request(&head);
    let tracked = state.in_flight.begin(facts.request.clone(), received);
    let unanswered = UnansweredGuard::begin(&state, &facts, received);
    let result = serve(&state, &tracked, head, facts.clone(), &mut body).await;
    let mut response = match result {
        Ok(response) => {
            // The end of a stream that has begun is counted as its body ends.
            if tracked.stage() != Stage::Answering {
                state.count_stop_end(StopEnd::Answered);
            }
            response
        }
        Err(failure) => {
            let failure = match facts.last_event {
                // The caller already has events of an earlier attempt, so its stream ran.
                Some(_) => failure.after_earlier_attempt(Ran::Yes),
                None => failure,
            };
            log_failure(&state, &facts, &failure, received);
            let mut refusal = refuse(&state, &facts, &failure);
            // The rest of a body that came too slowly was waited for already.
            if failure.kind == ErrorKind::RequestTooSlow
                || !keep_connection(&state, body, expects_continue).await
            {
                let close = HeaderValue::from_static("close");
                refusal.headers_mut().insert(header::CONNECTION, close);
            }
            refusal
        }
    };
    if state.stop.closes_answered_connections() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    unanswered.answered();
    if tracked.stage() != Stage::Answering {
        tracked.record_stage(Stage::Answered);
    }
    last_answer.keep(tracked);
    drop(in_flight);
    response
}

async fn serve(
    state: &Arc<GatewayState>,
    tracked: &Arc<TrackedRequest>,
    head: request::Parts,
    facts: RequestFacts,
    body: &mut Incoming,
) -> Result<Response<Body>, Failure> {
    let receiving = Box::pin(receive(state, tracked, head, facts, body));
    let reading = state.stop.in_time(receiving);
    let call = reading
        .await
        .map_err(|_| Failure::new(ErrorKind::Stopping, "this host stops"))??;
    check_time_to_answer(state, &call.route)?;
    let running = state.stop.in_time(Box::pin(run(state, call)));
    running.await.unwrap_or_else(|_| {
        let detail = "this host stops and has no answer yet";
        let ran = ran_at_most(&tracked.progress());
        Err(Failure::new(ErrorKind::Stopping, detail).after_earlier_attempt(ran))
    })
}

/// Admits a request and reads its body.
async fn receive(
    state: &Arc<GatewayState>,
    tracked: &Arc<TrackedRequest>,
    head: request::Parts,
    facts: RequestFacts,
    body: &mut Incoming,
) -> Result<Arc<Call>, Failure> {
    let received = tracked.received;
    state.wait_for_first_view().await;
    state.wait_for_view_after_standstill().await;
    let admitted = admit(state, &head, &facts)?;
    if facts.request.is_none() {
        let detail = "the request has no id";
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    state.record_request(&admitted.service);
    if let Some(age) = state.view.age(received) {
        let age_s = age.as_secs_f64();
        state.metrics.configuration_age_seconds.observe(age_s);
    }
    let mut deadline = received + max_hold(&facts, &admitted.route);
    if !enabled(Protection::BodyTimeout) {
        deadline += MAX_HOLD;
    }
    let reading = clock::timeout_at(deadline, read_body(state, &admitted.configuration, body));
    let (body, room) = reading
        .await
        .map_err(|_| Failure::new(ErrorKind::RequestTooSlow, "the body took too long"))??;
    tracked.record_admission(&admitted.route);
    let body = ReceivedBody { bytes: body, room };
    let call = Arc::new(prepare(tracked.clone(), head, facts, body, admitted));
    log::debug!(
        "call: admitted request={} route={} {} customer={}",
        call.id(),
        call.route.name,
        call.view,
        call.customer.as_deref().unwrap_or("-")
    );
    Ok(call)
}

async fn run(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Response<Body>, Failure> {
    match call.route.kind {
        RouteKind::Stream { .. } => run_stream(state, call).await,
        RouteKind::Safe | RouteKind::Unsafe => {
            let response = run_plain(state, &call).await?;
            log_answer(state, &call, &response);
            Ok(response)
        }
    }
}

/// Whether an unanswered request may have run.
fn ran_at_most(progress: &RequestProgress) -> Ran {
    match progress.kind {
        RequestKind::Call if progress.sends == 0 => Ran::No,
        // An earlier attempt of the caller may have run a stream that this host has not sent.
        RequestKind::Call | RequestKind::Stream | RequestKind::Unknown => Ran::Unknown,
    }
}

/// Checks that a plain call is likely to end before this host has stopped.
fn check_time_to_answer(state: &GatewayState, route: &Route) -> Result<(), Failure> {
    match (route.kind, state.stop.time_to_answer()) {
        (RouteKind::Safe | RouteKind::Unsafe, Some(left))
            if left.is_zero() || left < route.objective =>
        {
            let detail = "this host stops before the call would end";
            Err(Failure::new(ErrorKind::Stopping, detail))
        }
        (RouteKind::Safe | RouteKind::Unsafe | RouteKind::Stream { .. }, _) => Ok(()),
    }
}

fn admit(
    state: &GatewayState,
    head: &request::Parts,
    facts: &RequestFacts,
) -> Result<Admitted, Failure> {
    let Some(configuration) = state.view.configuration() else {
        let detail = "this host has not yet learned the configuration";
        return Err(Failure::new(ErrorKind::NotReady, detail));
    };
    let host = host_of(head);
    let route = configuration.route(&host, head.uri.path()).cloned();
    let is_public = facts.key.is_none() && route.as_ref().is_some_and(|route| route.public);
    if configuration.must_authenticate(facts.key.as_ref()) && !is_public {
        check_view_age(state, facts)?;
    }
    let route = route
        .ok_or_else(|| Failure::new(ErrorKind::UnknownPath, "no route has this host and path"))?;
    let customer = authenticate(&configuration, &route, facts)?;
    if state
        .stop
        .age()
        .is_some_and(|age| age > MAX_STOP_AGE_FOR_STREAMS)
        && matches!(route.kind, RouteKind::Stream { .. })
    {
        let detail = "this host stops before the stream would end";
        return Err(Failure::new(ErrorKind::Stopping, detail));
    }
    let service = route
        .choose_service()
        .ok_or_else(|| Failure::new(ErrorKind::UnknownService, "the route has no service"))?
        .clone();
    Ok(Admitted {
        configuration,
        route,
        service,
        customer,
        view: ViewFacts::of(&state.view, clock::now()),
    })
}

/// Checks that this host may authenticate requests by the keys that it knows: they must be recent, unless the
/// settings allow stale keys. A request that is admitted by stale keys is counted and logged.
fn check_view_age(state: &GatewayState, facts: &RequestFacts) -> Result<(), Failure> {
    let now = clock::now();
    if !state.accepts_keys(now) {
        // A missing route is not reported either: it may have been added in the meantime.
        let detail = "this host has not heard from the store in time";
        return Err(Failure::new(ErrorKind::StaleView, detail));
    }
    if !state.is_view_fresh(now) {
        state.metrics.stale_requests.inc();
        log::info!(
            "call: admitted with a stale view request={} {}",
            facts.request.as_deref().unwrap_or("-"),
            ViewFacts::of(&state.view, now)
        );
    }
    Ok(())
}

fn host_of(head: &request::Parts) -> String {
    let from_header = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = from_header.or_else(|| head.uri.host()).unwrap_or_default();
    let without_port = host.split(':').next().unwrap_or_default();
    without_port.to_ascii_lowercase()
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    facts: &RequestFacts,
) -> Result<Option<Customer>, Failure> {
    let known = facts
        .key
        .as_ref()
        .and_then(|key| configuration.customers.get(key));
    let must_authenticate = configuration.must_authenticate(facts.key.as_ref());
    if known.is_none() && must_authenticate && !route.public {
        let detail = "no customer has this key";
        return Err(Failure::new(ErrorKind::Unauthenticated, detail));
    }
    Ok(known.cloned())
}

/// Reads the whole body within this host's memory limit for bodies. Memory is reserved as the body arrives,
/// since its sender may not announce the length and may be slow.
async fn read_body(
    state: &GatewayState,
    configuration: &Configuration,
    body: &mut Incoming,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Failure> {
    let max_bytes = configuration.limits.body_bytes;
    let too_large = || {
        let detail = format!("a body has at most {max_bytes} bytes");
        Failure::new(ErrorKind::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let mut received_body = BytesMut::new();
    let mut room: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::new(ErrorKind::BadRequest, "the body broke off"))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if received_body.len() + bytes.len() > max_bytes {
            return Err(too_large());
        }
        let reserved = reserve_body_room(state, bytes.len())?;
        match &mut room {
            Some(room) => room.merge(reserved),
            None => room = Some(reserved),
        }
        received_body.extend_from_slice(&bytes);
    }
    Ok((received_body.freeze(), room))
}

/// The whole body of a request.
struct ReceivedBody {
    bytes: Bytes,
    /// Counts its memory.
    room: Option<OwnedSemaphorePermit>,
}

fn reserve_body_room(state: &GatewayState, bytes: usize) -> Result<OwnedSemaphorePermit, Failure> {
    let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
    let room = state.body_memory.clone();
    room.try_acquire_many_owned(permits)
        .map_err(|_| Failure::new(ErrorKind::HostLimit, "this host holds too many bodies"))
}

fn prepare(
    tracked: Arc<TrackedRequest>,
    head: request::Parts,
    facts: RequestFacts,
    body: ReceivedBody,
    admitted: Admitted,
) -> Call {
    let Admitted {
        configuration,
        route,
        service,
        customer,
        view,
    } = admitted;
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    let received = tracked.received;
    let deadline = received + max_hold(&facts, &route);
    let priority = customer
        .as_ref()
        .and_then(|customer| customer.priority)
        .unwrap_or(route.priority);
    let host = headers.get(header::HOST);
    let content = content_digest_of(&head.method, &head.uri, host, &facts, &body.bytes);
    Call {
        fingerprint: fingerprint_of(&head.uri, &facts, &body.bytes),
        content,
        shared_parts: shared_part_ids(facts.prompt.as_ref()),
        method: head.method,
        uri: head.uri,
        headers,
        body: body.bytes,
        _body_room: body.room,
        deadline,
        facts,
        configuration,
        route,
        service,
        customer: customer.map(|customer| customer.name),
        view,
        priority,
        received,
        tracked,
    }
}

/// How long a request may be held: the shorter of the caller's deadline and the route's timeout, less a
/// margin.
fn max_hold(facts: &RequestFacts, route: &Route) -> Duration {
    let hold = facts.deadline.unwrap_or(MAX_HOLD).min(route.timeout);
    hold.saturating_sub(ANSWER_MARGIN)
}
