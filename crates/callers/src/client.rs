//! A client for callers: it requests addresses, reads a streamed response, and resumes on another
//! entry host when its connection breaks.

use {
    crate::wire::{
        ADDRESSES_PATH, AddressResponse, COMPLETIONS_PATH, CompletionEvent, CompletionRequest,
        DONE, LAST_EVENT_HEADER, REPEAT_HEADER, REQUEST_ID_HEADER,
    },
    bytes::Bytes,
    futures::StreamExt,
    http::{Method, Request, Response, StatusCode, header::AUTHORIZATION},
    hyper::body::Incoming,
    sse_stream::SseStream,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::Problem,
        http::{Body, ClientOptions, HttpClient, SendError, empty, full, json_body, read_limited},
        ids::{RequestId, TokenId},
    },
    tokio::time::timeout,
};

/// The maximum size of a problem document or address response.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// The options of a caller.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// The customer's API key.
    pub key: String,
    /// The timeout for the head of a response and for each event; after it the caller reconnects.
    pub read_timeout: Duration,
    /// The maximum number of connections for one request.
    pub max_connections: u32,
    /// Whether a resume sends the tokens that were already received.
    pub send_received: bool,
    /// Whether to use HTTP/2.
    pub http2: bool,
}

/// A completion request of a caller with its headers.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the request.
    pub id: RequestId,
    /// The body of the request.
    pub request: CompletionRequest,
    /// The value of the repeat header, which overrides the template; `None` sends none.
    pub repeat: Option<String>,
}

/// A received token.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The position from the event.
    pub position: u64,
    /// The id of the token.
    pub token: TokenId,
    /// The text of the token.
    pub text: String,
    /// The time of arrival.
    pub at: Instant,
}

/// How a response ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The response is complete.
    Complete,
    /// The system reported that it can't complete the request.
    Problem(Problem),
    /// The caller gave up; contains the cause of the last failure.
    GaveUp(String),
}

/// All that a caller received of a response.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The tokens in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// The id of the last event that has one.
    pub last_event: Option<String>,
    /// The number of connections that were used.
    pub connections: u32,
    /// How the response ended.
    pub end: CallEnd,
}

impl CallRecord {
    /// Returns the ids of the received tokens.
    #[must_use]
    pub fn tokens(&self) -> Vec<TokenId> {
        self.arrivals.iter().map(|arrival| arrival.token).collect()
    }
}

/// How one connection ended.
enum ConnectionEnd {
    Complete,
    Problem(Problem),
    Broken(String),
}

/// A client that sends requests to entry hosts.
#[derive(Clone)]
pub struct Caller {
    options: CallerOptions,
    client: HttpClient,
}

impl Caller {
    /// Creates a caller with its own connection pool.
    #[must_use]
    pub fn new(options: CallerOptions) -> Self {
        Self {
            client: HttpClient::new(&ClientOptions {
                http2: options.http2,
                ..ClientOptions::default()
            }),
            options,
        }
    }

    /// Requests the list of addresses from an entry host.
    ///
    /// # Errors
    /// The host did not respond, or returned an error status or an invalid body.
    pub async fn addresses(&self, entry: SocketAddr) -> Result<AddressResponse, String> {
        let request = Request::get(format!("http://{entry}{ADDRESSES_PATH}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.options.key))
            .body(empty())
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .fetch(request, self.options.read_timeout, MAX_RESPONSE_BYTES)
            .await;
        let (status, body) = response.map_err(|error| error.to_string())?;
        if status != StatusCode::OK {
            return Err(String::from_utf8_lossy(&body).into_owned());
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    /// Reads a complete response and cycles through the entry hosts on failures. `on_token` is
    /// called for each token.
    pub async fn complete(
        &self,
        entries: &[SocketAddr],
        call: &Call,
        mut on_token: impl FnMut(&Arrival),
    ) -> CallRecord {
        self.complete_with_ids(entries, call, |arrival, _| on_token(arrival))
            .await
    }

    /// As [`Caller::complete`], but `on_token` also gets the id of each event.
    pub async fn complete_with_ids(
        &self,
        entries: &[SocketAddr],
        call: &Call,
        mut on_token: impl FnMut(&Arrival, Option<&str>),
    ) -> CallRecord {
        let gave_up = CallEnd::GaveUp("no addresses to connect to".to_owned());
        let mut record = CallRecord {
            arrivals: Vec::new(),
            last_event: None,
            connections: 0,
            end: gave_up,
        };
        for entry in entries
            .iter()
            .cycle()
            .take(self.options.max_connections as usize)
        {
            record.connections += 1;
            match self
                .read_connection(*entry, call, &mut record, &mut on_token)
                .await
            {
                ConnectionEnd::Complete => {
                    record.end = CallEnd::Complete;
                    return record;
                }
                ConnectionEnd::Problem(problem) => {
                    let pause = problem.retry_after_ms;
                    record.end = CallEnd::Problem(problem);
                    let Some(pause_ms) = pause else { return record };
                    if record.connections < self.options.max_connections {
                        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    }
                }
                ConnectionEnd::Broken(cause) => record.end = CallEnd::GaveUp(cause),
            }
        }
        record
    }

    /// Sends a request to any path of an entry host, such as a plain service or a cancellation.
    ///
    /// # Errors
    /// No response was received.
    pub async fn fetch(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.options.key))
            .body(full(body.to_owned()))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let read_timeout = self.options.read_timeout * self.options.max_connections;
        self.client
            .fetch(request, read_timeout, MAX_RESPONSE_BYTES)
            .await
    }

    /// Sends the request once and returns the response once its head has arrived.
    ///
    /// # Errors
    /// No response was received.
    pub async fn send(
        &self,
        entry: SocketAddr,
        call: &Call,
        last_event: Option<&str>,
    ) -> Result<Response<Incoming>, SendError> {
        let request = self
            .request(entry, call, last_event)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        self.client.send(request).await
    }

    fn request(
        &self,
        entry: SocketAddr,
        call: &Call,
        last_event: Option<&str>,
    ) -> Result<Request<Body>, http::Error> {
        let mut request = Request::post(format!("http://{entry}{COMPLETIONS_PATH}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.options.key))
            .header(REQUEST_ID_HEADER, &call.id);
        if let Some(repeat) = &call.repeat {
            request = request.header(REPEAT_HEADER, repeat);
        }
        if let Some(last_event) = last_event {
            request = request.header(LAST_EVENT_HEADER, last_event);
        }
        request.body(json_body(&call.request))
    }

    async fn read_connection(
        &self,
        entry: SocketAddr,
        call: &Call,
        record: &mut CallRecord,
        on_token: &mut impl FnMut(&Arrival, Option<&str>),
    ) -> ConnectionEnd {
        let mut call = call.clone();
        if self.options.send_received && record.last_event.is_some() {
            call.request.received = Some(record.tokens());
        }
        let last_event = record.last_event.clone();
        let response = timeout(
            self.options.read_timeout,
            self.send(entry, &call, last_event.as_deref()),
        )
        .await;
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return ConnectionEnd::Broken(error.to_string()),
            Err(_) => return ConnectionEnd::Broken("no response within the timeout".to_owned()),
        };
        if response.status() != StatusCode::OK {
            return read_problem(response).await;
        }
        self.read_events(response.into_body(), record, on_token)
            .await
    }

    async fn read_events(
        &self,
        body: Incoming,
        record: &mut CallRecord,
        on_token: &mut impl FnMut(&Arrival, Option<&str>),
    ) -> ConnectionEnd {
        let mut events = SseStream::new(body);
        loop {
            let event = match timeout(self.options.read_timeout, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return ConnectionEnd::Broken(error.to_string()),
                Ok(None) => return ConnectionEnd::Broken("the stream ended early".to_owned()),
                Err(_) => return ConnectionEnd::Broken("no event within the timeout".to_owned()),
            };
            let data = event.data.unwrap_or_default();
            if event.event.as_deref() == Some("error") {
                return match serde_json::from_str(&data) {
                    Ok(problem) => ConnectionEnd::Problem(problem),
                    Err(error) => ConnectionEnd::Broken(error.to_string()),
                };
            }
            if data == DONE {
                return ConnectionEnd::Complete;
            }
            let Ok(token) = serde_json::from_str::<CompletionEvent>(&data) else {
                return ConnectionEnd::Broken("an event could not be parsed".to_owned());
            };
            record_tokens(token, event.id, record, on_token);
        }
    }
}

fn record_tokens(
    event: CompletionEvent,
    id: Option<String>,
    record: &mut CallRecord,
    on_token: &mut impl FnMut(&Arrival, Option<&str>),
) {
    let position = event.position;
    for choice in event.choices {
        let text = choice.text;
        for token in choice.token_ids {
            let arrival = Arrival {
                position,
                token,
                text: text.clone(),
                at: Instant::now(),
            };
            on_token(&arrival, id.as_deref());
            record.arrivals.push(arrival);
        }
    }
    if id.is_some() {
        record.last_event = id;
    }
}

async fn read_problem(response: Response<Incoming>) -> ConnectionEnd {
    let status = response.status();
    let body = read_limited(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(problem) => ConnectionEnd::Problem(problem),
        Err(_) => ConnectionEnd::Broken(format!("unexpected status {status}")),
    }
}
