//! Client of the platform's object store, over the S3 protocol.
//!
//! Texts of declarations are content-addressed and stored before a transaction refers to them,
//! so every object that the table refers to exists and never changes.

use {
    object_store::{
        ClientOptions, ObjectStoreExt, RetryConfig,
        aws::{AmazonS3, AmazonS3Builder},
        path::Path,
    },
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an operation may take, including its retries.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of retries of an exchange.
const MAX_RETRIES: usize = 5;

/// The object store cannot be reached or rejected the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsUnavailable {
    /// Human-readable cause.
    pub cause: String,
}

impl fmt::Display for ObjectsUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the object store is unavailable: {}", self.cause)
    }
}

impl std::error::Error for ObjectsUnavailable {}

impl From<object_store::Error> for ObjectsUnavailable {
    fn from(error: object_store::Error) -> Self {
        Self {
            cause: error.to_string(),
        }
    }
}

/// Client for objects that are named by the hash of their content.
#[derive(Debug)]
pub struct ObjectsClient {
    store: AmazonS3,
}

impl ObjectsClient {
    /// Creates a client for one bucket of the object store at `address`.
    ///
    /// # Errors
    /// Returns an error if the client cannot be built from these settings.
    pub fn new(address: SocketAddr, bucket: &str) -> Result<Self, ObjectsUnavailable> {
        let retry = RetryConfig {
            max_retries: MAX_RETRIES,
            retry_timeout: OPERATION_TIMEOUT,
            ..RetryConfig::default()
        };
        let store = AmazonS3Builder::new()
            .with_endpoint(format!("http://{address}"))
            .with_bucket_name(bucket)
            .with_region("local")
            .with_client_options(
                ClientOptions::new()
                    .with_allow_http(true)
                    .with_timeout(EXCHANGE_TIMEOUT),
            )
            .with_skip_signature(true)
            .with_retry(retry)
            .build()?;
        Ok(Self { store })
    }

    /// Stores a text and returns its name. Storing the same text again changes nothing.
    ///
    /// # Errors
    /// Returns an error if the object store is unavailable.
    pub async fn put(&self, text: &str) -> Result<String, ObjectsUnavailable> {
        let name = blake3::hash(text.as_bytes()).to_hex().to_string();
        self.store
            .put(&object_path(&name), text.to_owned().into())
            .await?;
        Ok(name)
    }

    /// Reads the text with a name; `None` if there is no such object or its content does not match
    /// the hash in its name.
    ///
    /// # Errors
    /// Returns an error if the object store is unavailable.
    pub async fn get(&self, name: &str) -> Result<Option<String>, ObjectsUnavailable> {
        let response = match self.store.get(&object_path(name)).await {
            Ok(response) => response,
            Err(object_store::Error::NotFound { .. }) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let content = response.bytes().await?;
        let is_intact = blake3::hash(&content).to_hex().as_str() == name;
        Ok(is_intact.then(|| String::from_utf8_lossy(&content).into_owned()))
    }
}

fn object_path(name: &str) -> Path {
    Path::from(format!("declarations/{name}"))
}
