//! The engine operations that the router uses, and their implementation over HTTP.

use {
    crate::{
        stream::TokenStream,
        wire::{
            CancelResponse, GENERATE_PATH, GenerateRequest, LOAD_PATH, LoadReport, STREAMS_PATH,
        },
    },
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    std::{future::Future, net::SocketAddr, time::Duration},
    tealshore_core::{
        http::{Body, HttpClient, SendError, empty, json_body},
        ids::{Position, StreamId},
    },
};

/// The maximum size of a response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The reason why no stream was opened.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchError {
    /// No byte of the request was sent.
    NotSent,
    /// The engine confirmed that the request has not started and never will.
    Refused,
    /// The engine does not have the requested stream.
    NotFound,
    /// The outcome is unknown: bytes may have been sent, and no conclusive response arrived.
    Unknown,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The stream has not started and never will.
    NeverStarted,
    /// The stream was executed at least in part, and is stopped now.
    Stopped,
    /// No conclusive response was received.
    Unknown,
}

/// The condition under which a cancellation takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelWhen {
    /// Unconditionally.
    Always,
    /// Only if the stream has no reader: another entry host may have taken it over.
    Unread,
}

/// The engine operations that the router uses.
pub trait Engine: Send + Sync {
    /// Starts a generation and returns its stream.
    fn generate(
        &self,
        generation: &GenerateRequest,
    ) -> impl Future<Output = Result<TokenStream, DispatchError>> + Send;

    /// Attaches to an existing stream of the engine, starting at a position.
    fn attach(
        &self,
        stream: &StreamId,
        from: Position,
    ) -> impl Future<Output = Result<TokenStream, DispatchError>> + Send;

    /// Cancels a stream under the given condition.
    fn cancel(
        &self,
        stream: &StreamId,
        when: CancelWhen,
    ) -> impl Future<Output = CancelOutcome> + Send;

    /// Requests the load report; `None` if the engine returned none in time.
    fn load(&self, timeout: Duration) -> impl Future<Output = Option<LoadReport>> + Send;
}

/// An engine that is accessed over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpEngine {
    /// The timeout of a cancellation.
    const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a client for the engine at an address.
    #[must_use]
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, http::Error> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(body)
    }

    async fn open_stream(
        &self,
        request: Result<Request<Body>, http::Error>,
        stream: &StreamId,
    ) -> Result<TokenStream, DispatchError> {
        let request = request.map_err(|_| DispatchError::NotSent)?;
        let response = self
            .client
            .send(request)
            .await
            .map_err(|error| match error {
                SendError::NotSent(_) => DispatchError::NotSent,
                SendError::Unknown(_) => DispatchError::Unknown,
            })?;
        match response.status() {
            StatusCode::OK => Ok(TokenStream::new(stream.clone(), response.into_body())),
            StatusCode::NOT_FOUND => Err(DispatchError::NotFound),
            // The engine already has a stream with this id, so it may have started.
            StatusCode::CONFLICT => Err(DispatchError::Unknown),
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(DispatchError::Refused)
            }
            _ => Err(DispatchError::Unknown),
        }
    }
}

impl Engine for HttpEngine {
    async fn generate(&self, generation: &GenerateRequest) -> Result<TokenStream, DispatchError> {
        let request = self.request(Method::POST, GENERATE_PATH, json_body(generation));
        self.open_stream(request, &generation.stream_id).await
    }

    async fn attach(
        &self,
        stream: &StreamId,
        from: Position,
    ) -> Result<TokenStream, DispatchError> {
        let path = format!("{STREAMS_PATH}{stream}?from={from}");
        self.open_stream(self.request(Method::GET, &path, empty()), stream)
            .await
    }

    async fn cancel(&self, stream: &StreamId, when: CancelWhen) -> CancelOutcome {
        let condition = match when {
            CancelWhen::Always => "",
            CancelWhen::Unread => "?unread=1",
        };
        let path = format!("{STREAMS_PATH}{stream}{condition}");
        let Ok(request) = self.request(Method::DELETE, &path, empty()) else {
            return CancelOutcome::Unknown;
        };
        let Ok((status, body)) = self
            .client
            .fetch(request, Self::CANCEL_TIMEOUT, MAX_RESPONSE_BYTES)
            .await
        else {
            return CancelOutcome::Unknown;
        };
        match serde_json::from_slice::<CancelResponse>(&body) {
            Ok(response) if status == StatusCode::OK && response.started => CancelOutcome::Stopped,
            Ok(_) if status == StatusCode::OK => CancelOutcome::NeverStarted,
            _ => CancelOutcome::Unknown,
        }
    }

    async fn load(&self, timeout: Duration) -> Option<LoadReport> {
        let request = self.request(Method::GET, LOAD_PATH, empty()).ok()?;
        let (status, body) = self
            .client
            .fetch(request, timeout, MAX_RESPONSE_BYTES)
            .await
            .ok()?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}
