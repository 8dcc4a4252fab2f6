//! An HTTP client that tells a request that never left from one that may have.

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

/// How connections are opened and kept.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How many idle connections are kept for each peer; 0 opens one a request.
    pub max_idle_per_peer: usize,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Whether HTTP/2 is spoken from the first byte.
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

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection was made: no byte can have left.
    NotSent(String),
    /// Bytes may have left: the peer may or may not have acted.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Unknown(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for SendError {}

/// A client with its pool of connections. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// A client that never repeats a request by itself.
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

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    /// [`SendError::NotSent`] only where no connection was made.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.inner.request(request).await.map_err(|error| {
            let cause = chain_of(&error);
            if error.is_connect() {
                SendError::NotSent(cause)
            } else {
                SendError::Unknown(cause)
            }
        })
    }

    /// Sends a request and reads its whole answer within the time and bound.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; running out of time or bound is [`SendError::Unknown`].
    pub async fn fetch(
        &self,
        request: Request<Body>,
        timeout: Duration,
        bound_bytes: usize,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let exchange = async {
            let answer = self.send(request).await?;
            let status = answer.status();
            let body = read_limited(answer.into_body(), bound_bytes).await;
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

fn chain_of(error: &dyn std::error::Error) -> String {
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
