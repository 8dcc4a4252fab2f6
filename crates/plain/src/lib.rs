//! Client of plain services, which sends a call to one host.

use {
    bytes::Bytes,
    http::{HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::{ClientOptions, HttpClient, SendError, full},
    tealshore_decide::policy::Repeat,
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path at the service, including the query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body of the request.
    pub body: Bytes,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// Sends calls to hosts of plain services.
#[derive(Clone)]
pub struct PlainClient {
    pooled: HttpClient,
    unpooled: HttpClient,
    timeout: Duration,
}

impl PlainClient {
    /// Creates a client that waits up to `timeout` for each response.
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

    /// Sends a call to one host and reads the complete response.
    ///
    /// # Errors
    /// Returns an error that says whether the call may have run.
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

    /// Selects the client for a call. The host may close a pooled connection just as a call is
    /// sent, which leaves it unknown whether the call ran, so a call that must not be repeated
    /// gets a new connection.
    fn client_for(&self, repeat: Repeat) -> &HttpClient {
        match repeat {
            Repeat::Allowed => &self.pooled,
            Repeat::Forbidden => &self.unpooled,
        }
    }
}
