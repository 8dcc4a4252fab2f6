//! Client of the platform's host list, which may lag behind the actual state of the hosts.

use {
    http::{
        HeaderValue, Request, StatusCode,
        header::{ETAG, IF_NONE_MATCH},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::{
        http::{ClientOptions, HttpClient, empty, read_limited},
        ids::{HallId, HostId, ServiceId},
        settings::{Section, SettingError},
    },
};

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";
/// Maximum size of the host list, in bytes; 2,000 hosts take about 300 KB.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry host of this system, which accepts callers.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// State of a host, according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host will shut down and must get no new work.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Host id.
    pub id: HostId,
    /// Role of the host.
    pub role: HostRole,
    /// Service that the host provides, such as `summary-llm`; empty for entry hosts.
    #[serde(default)]
    pub service: ServiceId,
    /// Hall of the host.
    pub hall: HallId,
    /// Address that accepts callers, generation requests or plain calls, depending on the role.
    pub address: SocketAddr,
    /// Address at which an entry host accepts other entry hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// State of the host, according to the platform.
    pub state: HostState,
}

/// The host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts known to the platform.
    pub hosts: Vec<ListedHost>,
}

/// The `[hosts]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostsOptions {
    /// Address of the host list service.
    pub address: SocketAddr,
    /// Interval at which the list is read.
    pub poll_interval: Duration,
}

impl HostsOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Returns an error that names the key with an invalid value.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        Ok(Self {
            address: section.address("address")?,
            poll_interval: section.duration_ms(
                "poll_interval_ms",
                Duration::from_secs(1),
                50..=60_000,
            )?,
        })
    }
}

/// Result of reading the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostListUpdate {
    /// The list changed since the last read.
    New(HostList),
    /// The list is the same as at the last read.
    Unchanged,
    /// The list could not be read.
    Unavailable,
}

/// Reads the host list with conditional requests, so that it is transferred only if it changed.
pub struct HostsClient {
    address: SocketAddr,
    client: HttpClient,
    etag: Option<HeaderValue>,
}

impl HostsClient {
    const READ_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates a client for the host list service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::new(&ClientOptions::default()),
            etag: None,
        }
    }

    /// Reads the host list.
    pub async fn read(&mut self) -> HostListUpdate {
        match tokio::time::timeout(Self::READ_TIMEOUT, self.try_read()).await {
            Ok(Some(update)) => update,
            Ok(None) | Err(_) => HostListUpdate::Unavailable,
        }
    }

    async fn try_read(&mut self) -> Option<HostListUpdate> {
        let mut request = Request::get(format!("http://{}{HOSTS_PATH}", self.address));
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let response = self.client.send(request.body(empty()).ok()?).await.ok()?;
        match response.status() {
            StatusCode::NOT_MODIFIED => return Some(HostListUpdate::Unchanged),
            StatusCode::OK => {}
            _ => return None,
        }
        let new_etag = response.headers().get(ETAG).cloned();
        let body = read_limited(response.into_body(), MAX_LIST_BYTES)
            .await
            .ok()?;
        let list = serde_json::from_slice(&body).ok()?;
        self.etag = new_etag;
        Some(HostListUpdate::New(list))
    }
}
