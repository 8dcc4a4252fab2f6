//! The caller's side: it asks for addresses, reads an answer, and comes back to another
//! entry host when its connection breaks.

use {
    crate::wire::{
        ADDRESSES_PATH, AddressAnswer, COMPLETIONS_PATH, CompletionEvent, CompletionRequest, DONE,
        LAST_EVENT_HEADER, REPEAT_HEADER, REQUEST_ID_HEADER,
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

/// The largest problem document or address answer.
const ANSWER_BOUND_BYTES: usize = 256 * 1024;

/// How a caller behaves.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// The customer's key.
    pub key: String,
    /// How long a caller waits for the next event before it goes elsewhere.
    pub patience: Duration,
    /// How many connections it tries in all.
    pub max_connections: u32,
    /// Whether it sends back the tokens that it has.
    pub send_received: bool,
    /// Whether it speaks HTTP/2.
    pub http2: bool,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request's id.
    pub id: RequestId,
    /// The request.
    pub request: CompletionRequest,
    /// Overrides what the template says of repeating.
    pub repeat: Option<String>,
}

/// A token as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The position that the event named.
    pub position: u64,
    /// The token.
    pub token: TokenId,
    /// The token as text.
    pub text: String,
    /// When it arrived.
    pub at: Instant,
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// It is whole.
    Whole,
    /// The system said that it can't go on.
    Problem(Problem),
    /// The caller gave up.
    GaveUp(String),
}

/// Everything that a caller saw of an answer.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The tokens in the order of their arrival.
    pub arrivals: Vec<Arrival>,
    /// The id of the last event.
    pub last_event: Option<String>,
    /// How many connections were used.
    pub connections: u32,
    /// How it ended.
    pub end: CallEnd,
}

impl CallRecord {
    /// The tokens alone.
    #[must_use]
    pub fn tokens(&self) -> Vec<TokenId> {
        self.arrivals.iter().map(|arrival| arrival.token).collect()
    }
}

/// What became of one connection.
enum ConnectionEnd {
    Whole,
    Problem(Problem),
    Broken(String),
}

/// A caller.
#[derive(Clone)]
pub struct Caller {
    options: CallerOptions,
    client: HttpClient,
}

impl Caller {
    /// A caller with its own connections.
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

    /// Asks an entry host which addresses to use.
    ///
    /// # Errors
    /// The host does not answer, or refuses.
    pub async fn addresses(&self, entry: SocketAddr) -> Result<AddressAnswer, String> {
        let request = Request::get(format!("http://{entry}{ADDRESSES_PATH}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.options.key))
            .body(empty())
            .map_err(|error| error.to_string())?;
        let answer = self
            .client
            .fetch(request, self.options.patience, ANSWER_BOUND_BYTES)
            .await;
        let (status, body) = answer.map_err(|error| error.to_string())?;
        if status != StatusCode::OK {
            return Err(String::from_utf8_lossy(&body).into_owned());
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    /// Reads a whole answer, from one entry host after the other. `progress` sees each token.
    pub async fn complete(
        &self,
        entries: &[SocketAddr],
        call: &Call,
        mut progress: impl FnMut(&Arrival),
    ) -> CallRecord {
        self.complete_with_ids(entries, call, |arrival, _| progress(arrival))
            .await
    }

    /// As [`Caller::complete`]; `progress` sees the id of each event as well.
    pub async fn complete_with_ids(
        &self,
        entries: &[SocketAddr],
        call: &Call,
        mut progress: impl FnMut(&Arrival, Option<&str>),
    ) -> CallRecord {
        let gave_up = CallEnd::GaveUp("no address".to_owned());
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
                .read_once(*entry, call, &mut record, &mut progress)
                .await
            {
                ConnectionEnd::Whole => {
                    record.end = CallEnd::Whole;
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

    /// Calls any path of an entry host, such as a plain service or a cancel.
    ///
    /// # Errors
    /// No answer came.
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
        let patience = self.options.patience * self.options.max_connections;
        self.client
            .fetch(request, patience, ANSWER_BOUND_BYTES)
            .await
    }

    /// Sends a request over one connection and returns the head of the answer.
    ///
    /// # Errors
    /// No answer came.
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

    async fn read_once(
        &self,
        entry: SocketAddr,
        call: &Call,
        record: &mut CallRecord,
        progress: &mut impl FnMut(&Arrival, Option<&str>),
    ) -> ConnectionEnd {
        let mut call = call.clone();
        if self.options.send_received && record.last_event.is_some() {
            call.request.received = Some(record.tokens());
        }
        let last_event = record.last_event.clone();
        let answer = timeout(
            self.options.patience,
            self.send(entry, &call, last_event.as_deref()),
        )
        .await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return ConnectionEnd::Broken(error.to_string()),
            Err(_) => return ConnectionEnd::Broken("no answer in time".to_owned()),
        };
        if answer.status() != StatusCode::OK {
            return read_problem(answer).await;
        }
        self.read_events(answer.into_body(), record, progress).await
    }

    async fn read_events(
        &self,
        body: Incoming,
        record: &mut CallRecord,
        progress: &mut impl FnMut(&Arrival, Option<&str>),
    ) -> ConnectionEnd {
        let mut events = SseStream::new(body);
        loop {
            let event = match timeout(self.options.patience, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return ConnectionEnd::Broken(error.to_string()),
                Ok(None) => return ConnectionEnd::Broken("the answer broke off".to_owned()),
                Err(_) => return ConnectionEnd::Broken("no event in time".to_owned()),
            };
            let data = event.data.unwrap_or_default();
            if event.event.as_deref() == Some("error") {
                return match serde_json::from_str(&data) {
                    Ok(problem) => ConnectionEnd::Problem(problem),
                    Err(error) => ConnectionEnd::Broken(error.to_string()),
                };
            }
            if data == DONE {
                return ConnectionEnd::Whole;
            }
            let Ok(token) = serde_json::from_str::<CompletionEvent>(&data) else {
                return ConnectionEnd::Broken("an event is not understood".to_owned());
            };
            take_in(token, event.id, record, progress);
        }
    }
}

fn take_in(
    event: CompletionEvent,
    id: Option<String>,
    record: &mut CallRecord,
    progress: &mut impl FnMut(&Arrival, Option<&str>),
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
            progress(&arrival, id.as_deref());
            record.arrivals.push(arrival);
        }
    }
    if id.is_some() {
        record.last_event = id;
    }
}

async fn read_problem(answer: Response<Incoming>) -> ConnectionEnd {
    let status = answer.status();
    let body = read_limited(answer.into_body(), ANSWER_BOUND_BYTES)
        .await
        .unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(problem) => ConnectionEnd::Problem(problem),
        Err(_) => ConnectionEnd::Broken(format!("status {status}")),
    }
}
