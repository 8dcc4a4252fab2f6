//! An HTTP client that distinguishes requests that were not sent from those that may have been.

use {
    super::body::{Body, BodyError, ReadError, read_limited},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{fmt, time::Duration},
};

/// Options for opening and pooling connections.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The maximum number of idle connections per peer; 0 opens one for each request.
    pub max_idle_per_peer: usize,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Whether to use HTTP/2 with prior knowledge.
    pub http2: bool,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            max_idle_per_peer: 64,
            idle_timeout: Duration::from_secs(15),
            http2: false,
        }
    }
}

/// The reason why a request got no complete response.
#[derive(Debug)]
pub enum SendError {
    /// No connection was made, so no byte was sent.
    NotSent(String),
    /// Bytes may have been sent: the peer may or may not have acted on the request.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no complete response: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// Creates a client that never retries a request by itself.
    #[must_use]
    pub fn new(options: &ClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.connect_timeout));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .pool_max_idle_per_host(options.max_idle_per_peer)
            .retry_canceled_requests(false)
            .http2_only(options.http2)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    /// [`SendError::NotSent`] only if no connection was made.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.inner.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            if error.is_connect() {
                SendError::NotSent(cause)
            } else {
                SendError::Unknown(cause)
            }
        })
    }

    /// Sends a request and reads the complete response within the timeout and the size limit.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; exceeding the timeout or the size limit is [`SendError::Unknown`].
    pub async fn fetch(
        &self,
        request: Request<Body>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = read_limited(response.into_body(), max_bytes).await;
            let body = body.map_err(|error| match error {
                ReadError::TooLarge => SendError::Unknown("the answer is too large".to_owned()),
                ReadError::Broken => SendError::Unknown("the answer broke off".to_owned()),
            })?;
            Ok((status, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(SendError::Unknown("timed out".to_owned())),
        }
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(source) = next {
        text.push_str(": ");
        text.push_str(&source.to_string());
        next = source.source();
    }
    text
}

const _: fn() = || {
    fn assert_send<T: Send>() {}
    assert_send::<BodyError>();
};
