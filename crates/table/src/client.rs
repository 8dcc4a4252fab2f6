//! Client of the table, with retries.

use {
    crate::wire::{Conflict, ROWS_PATH, Row, TRANSACTIONS_PATH, Transaction},
    backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder},
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    std::{fmt, net::SocketAddr, time::Duration},
    tealshore_core::{
        http::{Body, ClientOptions, HttpClient, SendError, empty, json_body},
        protection::{Protection, enabled},
        settings::{Section, SettingError},
    },
    tokio::time::{Instant, sleep},
};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Minimum delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay between retries, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The `[table]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// Address of the table.
    pub address: SocketAddr,
    /// Timeout of one HTTP exchange.
    pub exchange_timeout: Duration,
    /// How long an operation may take, including its retries.
    pub operation_timeout: Duration,
}

impl TableOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        Ok(Self {
            address: section.address("address")?,
            exchange_timeout: section.duration_ms(
                "exchange_timeout_ms",
                Duration::from_millis(500),
                10..=60_000,
            )?,
            operation_timeout: section.duration_ms(
                "operation_timeout_ms",
                Duration::from_secs(2),
                10..=600_000,
            )?,
        })
    }
}

/// The table could not be reached, rejected the request or did not answer in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableUnavailable {
    /// Human-readable cause.
    pub cause: String,
}

impl fmt::Display for TableUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the table is unavailable: {}", self.cause)
    }
}

impl std::error::Error for TableUnavailable {}

/// Outcome of a transaction that the table answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// The transaction was committed.
    Yes,
    /// Conditions did not hold. If the response to an earlier attempt was lost, that attempt may
    /// have committed and caused the conflict; the rows in the conflict show whether it did.
    Conflict(Conflict),
}

/// Why the outcome of a transaction is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitError {
    /// No attempt can have taken effect at the table.
    NotSent(TableUnavailable),
    /// An attempt may have taken effect, or may still do so.
    Unknown(TableUnavailable),
}

/// Client of the table. Clones share its connections.
#[derive(Clone)]
pub struct TableClient {
    options: TableOptions,
    client: HttpClient,
}

/// An attempt to commit a transaction that has no outcome.
struct FailedAttempt {
    may_have_arrived: bool,
    cause: String,
}

enum Exchange {
    Response(StatusCode, Bytes),
    /// The table rejected the request without executing it (status 429 or 503).
    Refused(StatusCode),
    NotSent(String),
    Unknown(String),
}

impl TableClient {
    /// Creates a client for the table at the address in `options`.
    #[must_use]
    pub fn new(options: TableOptions) -> Self {
        let client = HttpClient::new(&ClientOptions {
            connect_timeout: options.exchange_timeout,
            ..ClientOptions::default()
        });
        Self { options, client }
    }

    /// Commits a transaction and retries until the operation times out. The transaction is also
    /// sent again if a response was lost, so it must have a condition that no longer holds once it
    /// has been committed, which lets it take effect only once.
    ///
    /// # Errors
    /// Returns an error that says whether the transaction may have taken effect.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Committed, CommitError> {
        let deadline = Instant::now() + self.options.operation_timeout;
        let mut delays = retry_backoff();
        let mut may_have_arrived = false;
        loop {
            let failed = match self.try_commit(transaction).await {
                Ok(committed) => return Ok(committed),
                Err(failed) => failed,
            };
            may_have_arrived |= failed.may_have_arrived;
            let may_retry = !may_have_arrived || enabled(Protection::ReadBack);
            let delay = delays.next().unwrap_or(MAX_BACKOFF);
            if !may_retry || Instant::now() + delay >= deadline {
                let unavailable = TableUnavailable {
                    cause: failed.cause,
                };
                return Err(if may_have_arrived {
                    CommitError::Unknown(unavailable)
                } else {
                    CommitError::NotSent(unavailable)
                });
            }
            sleep(delay).await;
        }
    }

    async fn try_commit(&self, transaction: &Transaction) -> Result<Committed, FailedAttempt> {
        let body = json_body(transaction);
        let (may_have_arrived, cause) = match self
            .exchange(Method::POST, TRANSACTIONS_PATH, body)
            .await
        {
            Exchange::Response(StatusCode::OK, _) => return Ok(Committed::Yes),
            Exchange::Response(StatusCode::CONFLICT, body) => {
                match serde_json::from_slice::<Conflict>(&body) {
                    Ok(conflict) if !conflict.failed.is_empty() => {
                        return Ok(Committed::Conflict(conflict));
                    }
                    Ok(_) | Err(_) => (true, "status 409 without a failed condition".to_owned()),
                }
            }
            Exchange::Response(status, _) => (true, format!("status {status}")),
            Exchange::Refused(status) => (false, format!("status {status}")),
            Exchange::NotSent(cause) => (false, cause),
            Exchange::Unknown(cause) => (true, cause),
        };
        Err(FailedAttempt {
            may_have_arrived,
            cause,
        })
    }

    /// Reads a row; `None` if it does not exist. Failed reads are not retried.
    ///
    /// # Errors
    /// Returns an error if the table is unavailable or its response cannot be parsed.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, TableUnavailable> {
        let path = format!("{ROWS_PATH}/{key}");
        match self.exchange(Method::GET, &path, empty()).await {
            Exchange::Response(StatusCode::NOT_FOUND, _) => Ok(None),
            Exchange::Response(StatusCode::OK, body) => decode(&body).map(Some),
            other => Err(unavailable(other)),
        }
    }

    /// Reads all rows whose key starts with `prefix`, ordered by key. Failed reads are not retried.
    ///
    /// # Errors
    /// Returns an error if the table is unavailable or its response cannot be parsed.
    pub async fn read_prefix(&self, prefix: &str) -> Result<Vec<Row>, TableUnavailable> {
        let path = format!("{ROWS_PATH}?prefix={prefix}");
        match self.exchange(Method::GET, &path, empty()).await {
            Exchange::Response(StatusCode::OK, body) => decode(&body),
            other => Err(unavailable(other)),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Body) -> Exchange {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.options.address))
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Exchange::NotSent(error.to_string()),
        };
        match self
            .client
            .fetch(request, self.options.exchange_timeout, MAX_RESPONSE_BYTES)
            .await
        {
            Ok((status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS), _)) => {
                Exchange::Refused(status)
            }
            Ok((status, body)) => Exchange::Response(status, body),
            Err(SendError::NotSent(cause)) => Exchange::NotSent(cause),
            Err(SendError::Unknown(cause)) => Exchange::Unknown(cause),
        }
    }
}

/// Exponential backoff with jitter, so that many hosts do not retry at the same time.
fn retry_backoff() -> ExponentialBackoff {
    ExponentialBuilder::default()
        .with_min_delay(INITIAL_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .with_jitter()
        .without_max_times()
        .build()
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, TableUnavailable> {
    serde_json::from_slice(body).map_err(|error| TableUnavailable {
        cause: format!("cannot parse the response: {error}"),
    })
}

fn unavailable(exchange: Exchange) -> TableUnavailable {
    let cause = match exchange {
        Exchange::Response(status, _) | Exchange::Refused(status) => format!("status {status}"),
        Exchange::NotSent(cause) | Exchange::Unknown(cause) => cause,
    };
    TableUnavailable { cause }
}
