//! The peer that serves plain calls: the adapter that passes a call on to one host.

use {
    bytes::Bytes,
    http::{HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::{ClientOptions, HttpClient, SendError, full},
    tealshore_decide::policy::Repeat,
};

/// The largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method.
    pub method: Method,
    /// The path at the service, with its query.
    pub path: String,
    /// The type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// Passes calls on.
#[derive(Clone)]
pub struct PlainClient {
    pooled: HttpClient,
    unpooled: HttpClient,
    timeout: Duration,
}

impl PlainClient {
    /// A client that waits `timeout` for each answer.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let unpooled = ClientOptions {
            max_idle_per_peer: 0,
            ..ClientOptions::default()
        };
        Self {
            pooled: HttpClient::new(&ClientOptions::default()),
            unpooled: HttpClient::new(&unpooled),
            timeout,
        }
    }

    /// Sends a call to one host and reads its whole answer.
    ///
    /// # Errors
    /// Tells whether the call can have run.
    pub async fn call(
        &self,
        host: SocketAddr,
        call: &PlainCall,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{host}{}", call.path));
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        let request = request
            .body(full(call.body.clone()))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        self.client_for(call.repeat)
            .fetch(request, self.timeout, MAX_RESPONSE_BYTES)
            .await
    }

    /// A pooled connection may be closed just as a call leaves, and then nobody knows whether
    /// it ran: a call that may not be repeated gets a connection of its own.
    fn client_for(&self, repeat: Repeat) -> &HttpClient {
        match repeat {
            Repeat::Allowed => &self.pooled,
            Repeat::Forbidden => &self.unpooled,
        }
    }
}
