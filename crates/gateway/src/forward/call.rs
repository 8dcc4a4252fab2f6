//! A caller's request while it is being served.

use {
    super::{
        ending::LostRequest,
        prompt_parts::{parts_hex, runtime_id},
    },
    crate::{
        edge::{RequestFacts, UpstreamOrder},
        in_flight::TrackedRequest,
        state::GatewayState,
        view::{Configuration, Route, Upstream, UpstreamRecord, ViewFacts},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header},
    http_body_util::Full,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::{ErrorKind, Failure},
        clock,
        ids::{CustomerId, Fingerprint, RequestId, ServiceId},
        protection::{Protection, enabled},
    },
    tealshore_quarantine::parts::PartId,
    tealshore_runs::{ContentDigest, ContentMatch},
    tokio::sync::OwnedSemaphorePermit,
    xxhash_rust::xxh3::Xxh3,
};

/// Maximum time for which a request is held whose caller sets no deadline, if the route's timeout is longer.
pub const MAX_HOLD: Duration = Duration::from_secs(600);

/// A caller's request while it is being served.
pub struct Call {
    /// What its head says.
    pub facts: RequestFacts,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Headers that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Counts the memory of the body, which is kept until the answer has ended: it may have to be sent again.
    pub _body_room: Option<OwnedSemaphorePermit>,
    /// The configuration that admitted it.
    pub configuration: Arc<Configuration>,
    /// Its route.
    pub route: Route,
    /// The service that was selected for it.
    pub service: ServiceId,
    /// The customer whose key it carries.
    pub customer: Option<CustomerId>,
    /// What its admission relied on.
    pub view: ViewFacts,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Digest of all that the request asks for.
    pub content: ContentDigest,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: Vec<PartId>,
    /// When its head was received.
    pub received: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
    /// Lists it as in flight.
    pub tracked: Arc<TrackedRequest>,
}

impl Call {
    /// Id of the request, for logs.
    pub fn id(&self) -> &str {
        self.facts.request.as_deref().unwrap_or("-")
    }

    /// Id of the request.
    pub fn request(&self) -> RequestId {
        self.facts.request.clone().unwrap_or_default()
    }

    /// Which runs were made for the same content.
    pub fn content_match(&self) -> ContentMatch {
        ContentMatch {
            fingerprint: self.fingerprint,
            content: self.content,
        }
    }

    /// The fingerprint of the request, for logs. It is the same for all attempts of the caller, at any host.
    pub fn fingerprint_hex(&self) -> String {
        format!("{:016x}", self.fingerprint)
    }

    /// The parts of the prompt that other requests may share, for logs.
    pub fn parts_hex(&self) -> String {
        parts_hex(&self.shared_parts)
    }

    /// Identifies the request for the detection of crashes, with what ran it at an upstream.
    pub fn lost_request(&self, upstream: &UpstreamRecord) -> LostRequest {
        LostRequest {
            request: self.request(),
            fingerprint: self.fingerprint,
            shared_parts: self.shared_parts.clone(),
            runtime: runtime_id(self.facts.prompt.as_ref(), upstream),
        }
    }

    /// Time left until the final answer is due.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// How long the caller still waits, in milliseconds.
    pub fn caller_waits_ms(&self, now: Instant) -> u64 {
        let waits = self.facts.deadline.unwrap_or(MAX_HOLD);
        let left = (self.received + waits).saturating_duration_since(now);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time since the request was received, in milliseconds, for logs.
    pub fn age_ms(&self) -> u128 {
        clock::elapsed(self.received).as_millis()
    }

    /// Checks just before a send what may have changed since the request was admitted.
    ///
    /// # Errors
    /// Its key can no longer be trusted, or it is in quarantine.
    pub fn check_before_send(&self, state: &GatewayState) -> Result<(), Failure> {
        state.check_quarantine(self)?;
        if self.customer.is_some() && !state.accepts_keys(clock::now()) {
            let detail = "this host has not heard from the store in time";
            return Err(Failure::new(ErrorKind::StaleView, detail));
        }
        self.check_key(state)
    }

    /// Runs these checks for a request that was already sent to an upstream, without the check of the view's
    /// age. The request was admitted by a fresh view, so what this host learns late only stops later
    /// requests. With that check, streams would end when they lose their upstream during an outage of the store.
    ///
    /// # Errors
    /// Its key was withdrawn, or it is in quarantine.
    pub fn check_before_resend(&self, state: &GatewayState) -> Result<(), Failure> {
        state.check_quarantine(self)?;
        self.check_key(state)
    }

    fn check_key(&self, state: &GatewayState) -> Result<(), Failure> {
        let Some(key) = self.facts.key.as_ref().filter(|_| self.customer.is_some()) else {
            return Ok(());
        };
        let configuration = state.view.configuration();
        if configuration.is_some_and(|now| !now.customers.contains_key(key)) {
            let detail = "the key was taken away";
            return Err(Failure::new(ErrorKind::Unauthenticated, detail));
        }
        Ok(())
    }

    /// Builds the request that is sent to an upstream.
    pub fn request_for(
        &self,
        state: &GatewayState,
        upstream: &Upstream,
        order: &UpstreamOrder<'_>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        state.protocol.write_order(order, &mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        if !headers.contains_key(header::HOST)
            && let Ok(host) = upstream.record.address.to_string().parse()
        {
            headers.insert(header::HOST, host);
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those that the connection header names, and the content length,
/// which is written anew.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

/// Digest of all that a request asks for, by which its answers may differ: unlike the fingerprint, it tells models,
/// host names and shared parts of prompts apart.
pub fn content_digest_of(
    method: &Method,
    uri: &Uri,
    host: Option<&HeaderValue>,
    facts: &RequestFacts,
    body: &Bytes,
) -> ContentDigest {
    let uri = uri.to_string();
    let mut fields: Vec<&[u8]> = vec![
        method.as_str().as_bytes(),
        uri.as_bytes(),
        host.map_or(&[], HeaderValue::as_bytes),
        facts.key.as_deref().unwrap_or_default().as_bytes(),
    ];
    if enabled(Protection::RequestDigest) {
        fields.push(body);
    }
    let mut digest = Xxh3::new();
    if let Some(prompt) = &facts.prompt {
        digest.update(&prompt.input_tokens.to_le_bytes());
        digest.update(&prompt.output_tokens.to_le_bytes());
        fields.push(prompt.model.as_bytes());
        fields.push(prompt.own_part.as_bytes());
        fields.extend(prompt.shared_parts.iter().map(String::as_bytes));
    }
    for field in fields {
        // With their lengths, fields can't be shifted into each other.
        digest.update(&field.len().to_le_bytes());
        digest.update(field);
    }
    digest.digest()
}

/// Digest of everything that identifies a request, except the id of the caller's attempt.
pub fn fingerprint_of(uri: &Uri, facts: &RequestFacts, body: &Bytes) -> Fingerprint {
    let mut digest = Xxh3::new();
    digest.update(uri.to_string().as_bytes());
    digest.update(facts.key.as_deref().unwrap_or_default().as_bytes());
    if let Some(prompt) = &facts.prompt {
        digest.update(prompt.own_part.as_bytes());
        digest.update(&prompt.input_tokens.to_le_bytes());
        digest.update(&prompt.output_tokens.to_le_bytes());
    }
    if enabled(Protection::RequestDigest) {
        digest.update(body);
    }
    digest.digest()
}
