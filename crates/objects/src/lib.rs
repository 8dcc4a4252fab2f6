//! The peer that keeps objects: the platform's object store, by the S3 protocol.
//!
//! Texts of declarations are stored under their own hash before a transaction names them,
//! so an object that the table names is always there and never changes.

use {
    object_store::{
        ClientOptions, ObjectStoreExt, RetryConfig,
        aws::{AmazonS3, AmazonS3Builder},
        path::Path,
    },
    std::{fmt, net::SocketAddr, time::Duration},
};

/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an operation may take with its tries.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(5);
/// How often an exchange is tried again.
const MAX_RETRIES: usize = 5;

/// The object store can't be asked, or refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectsUnavailable {
    /// Why, for a person.
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

/// Objects named by the hash of their content.
#[derive(Debug)]
pub struct ObjectsClient {
    store: AmazonS3,
}

impl ObjectsClient {
    /// The objects of one bucket of the store at an address.
    ///
    /// # Errors
    /// The bucket's name is not allowed.
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

    /// Stores a text; its name. Storing it again changes nothing.
    ///
    /// # Errors
    /// The store can't be asked.
    pub async fn put(&self, text: &str) -> Result<String, ObjectsUnavailable> {
        let name = blake3::hash(text.as_bytes()).to_hex().to_string();
        self.store
            .put(&path_of(&name), text.to_owned().into())
            .await?;
        Ok(name)
    }

    /// Reads the text of a name; none where there is no such object, or where its content
    /// is not what the name says.
    ///
    /// # Errors
    /// The store can't be asked.
    pub async fn get(&self, name: &str) -> Result<Option<String>, ObjectsUnavailable> {
        let answer = match self.store.get(&path_of(name)).await {
            Ok(answer) => answer,
            Err(object_store::Error::NotFound { .. }) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let content = answer.bytes().await?;
        let is_intact = blake3::hash(&content).to_hex().as_str() == name;
        Ok(is_intact.then(|| String::from_utf8_lossy(&content).into_owned()))
    }
}

fn path_of(name: &str) -> Path {
    Path::from(format!("declarations/{name}"))
}
