//! The peer that lists hosts: the platform's lagging host list.

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

/// The path of the list.
pub const HOSTS_PATH: &str = "/v1/hosts";
/// The largest list, in bytes; 2,000 hosts take about 300 KB.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// One of ours: it takes callers.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is up.
    Live,
    /// It will go; it must get no new work.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub id: HostId,
    /// What it does.
    pub role: HostRole,
    /// What it serves, such as `summary-llm`; empty for entry hosts.
    #[serde(default)]
    pub service: ServiceId,
    /// Where it stands.
    pub hall: HallId,
    /// Where it takes callers, or orders.
    pub address: SocketAddr,
    /// Where an entry host takes its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// What the platform says of it.
    pub state: HostState,
}

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts that the platform knows.
    pub hosts: Vec<ListedHost>,
}

/// The `[hosts]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostsOptions {
    /// Where the list is read.
    pub address: SocketAddr,
    /// How often it is read.
    pub poll_interval: Duration,
}

impl HostsOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key with a value that is not allowed.
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

/// What a read of the list gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostListUpdate {
    /// A list that this reader has not seen.
    New(HostList),
    /// The list of the last reading.
    Unchanged,
    /// It can't be had.
    Unavailable,
}

/// Reads the host list, whole only when it has changed.
pub struct HostsClient {
    address: SocketAddr,
    client: HttpClient,
    etag: Option<HeaderValue>,
}

impl HostsClient {
    const TIMEOUT: Duration = Duration::from_secs(1);

    /// A reader of the list at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: HttpClient::new(&ClientOptions::default()),
            etag: None,
        }
    }

    /// Reads the list.
    pub async fn read(&mut self) -> HostListUpdate {
        match tokio::time::timeout(Self::TIMEOUT, self.try_read()).await {
            Ok(Some(reading)) => reading,
            Ok(None) | Err(_) => HostListUpdate::Unavailable,
        }
    }

    async fn try_read(&mut self) -> Option<HostListUpdate> {
        let mut request = Request::get(format!("http://{}{HOSTS_PATH}", self.address));
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let answer = self.client.send(request.body(empty()).ok()?).await.ok()?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => return Some(HostListUpdate::Unchanged),
            StatusCode::OK => {}
            _ => return None,
        }
        let tag = answer.headers().get(ETAG).cloned();
        let body = read_limited(answer.into_body(), MAX_LIST_BYTES)
            .await
            .ok()?;
        let list = serde_json::from_slice(&body).ok()?;
        self.etag = tag;
        Some(HostListUpdate::New(list))
    }
}
