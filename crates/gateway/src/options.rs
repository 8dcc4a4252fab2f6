//! The settings file, with one struct per section.

mod duties;
mod engine_orders;

use {
    crate::{budget::BudgetBounds, topology::Topology},
    std::{
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
    tealshore_core::{
        ids::{HallId, HostId},
        logs::LogOptions,
        settings::{Section, SettingError, Settings},
    },
};

pub use {
    duties::{Duty, DutyOptions},
    engine_orders::EngineOrderOptions,
};

/// The largest time allowed in a setting, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// Names of all sections.
const SECTIONS: [&str; 8] = [
    "host",
    "halls",
    "store",
    "peers",
    "bounds",
    "duties",
    "engine_orders",
    "log",
];

/// All settings.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// `[host]`
    pub host: HostOptions,
    /// `[halls]`
    pub topology: Topology,
    /// `[store]`
    pub store: StoreOptions,
    /// `[peers]`
    pub peers: PeerOptions,
    /// `[bounds]`
    pub bounds: BoundOptions,
    /// `[duties]`; `None` if the section configures no duties.
    pub duties: Option<DutyOptions>,
    /// `[engine_orders]`
    pub engine_orders: EngineOrderOptions,
    /// `[log]`
    pub log: LogOptions,
}

/// Identity, addresses and capacity of this host.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// The host's name.
    pub id: HostId,
    /// The hall that the host is in.
    pub hall: HallId,
    /// Listen address for callers' requests.
    pub callers_address: SocketAddr,
    /// Listen address for the directory, which gives callers the addresses of serving hosts.
    pub directory_address: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Local address of connections to upstreams; `None` if the system chooses it.
    pub source_address: Option<IpAddr>,
    /// Most bytes of request bodies held in memory at once.
    pub body_bytes: usize,
    /// Most bytes of memory that large answers of upstreams take at once.
    pub answer_bytes: usize,
    /// Most connections of callers open at once.
    pub max_connections: usize,
    /// Most tunnels that are open for other hosts at once.
    pub max_tunnels: usize,
    /// Bandwidth of the host's link in Mbit/s. Hosts with faster links are preferred for sending
    /// data on behalf of others.
    pub link_mbps: u32,
    /// Whether the whole system starts for the first time, so that there is no state to restore
    /// and no caller is waiting.
    pub is_first_start: bool,
}

/// Connection to the platform's store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The store's address.
    pub address: SocketAddr,
    /// How long a watch waits for changes. A watch that stops responding is abandoned
    /// after `watch` plus `timeout`, so the sum must stay below the time within which a leaving
    /// upstream must stop getting new work.
    pub watch: Duration,
    /// How long the store may take to answer a call, beyond the wait of a watch.
    pub timeout: Duration,
}

/// The other hosts of this system.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Address on which this host receives their datagrams. All hosts use the same port.
    pub address: SocketAddr,
    /// Hosts that are contacted at startup.
    pub seeds: Vec<IpAddr>,
    /// Address on which this host opens tunnels to upstreams for its peers. All hosts use the same port. `None` if it
    /// opens none and uses none.
    pub tunnel_address: Option<SocketAddr>,
    /// How often this host sends its state to its peers.
    pub heartbeat: Duration,
    /// Time without a message after which a peer is removed from the addresses given to callers.
    pub silence: Duration,
    /// How long a peer may take to tell which runs it knows. A caller that resumes a stream waits meanwhile.
    pub run_inquiry: Duration,
    /// How long a peer may take to tell whether an upstream ended a tunnel. A caller waits for the end of its answer
    /// meanwhile.
    pub tunnel_end: Duration,
}

/// Policy for requests with API keys while a host's set of keys is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleKeyPolicy {
    /// Refuses them: a revoked key must stop working on all hosts within the key age.
    Refuse,
    /// Serves them with the last known keys for as long as no newer ones are available.
    Serve,
}

impl StaleKeyPolicy {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let refuses = flag(section, "refuse_stale_keys", true)?;
        Ok(if refuses { Self::Refuse } else { Self::Serve })
    }
}

/// Guarantees that the system gives, from the section `[bounds]`.
#[derive(Clone, Debug)]
pub struct BoundOptions {
    /// The age above which the known API keys count as stale.
    pub key_age: Duration,
    /// Policy for requests with API keys while the keys are stale.
    pub stale_keys: StaleKeyPolicy,
    /// Longest duration of a graceful stop.
    pub stop: Duration,
    /// Longest time for which callers may cache addresses.
    pub keep_addresses: Duration,
    /// Retry budget shared by all hosts.
    pub retries: BudgetBounds,
    /// Rules for roll-outs of new versions.
    pub rollouts: RolloutBounds,
}

/// Default share of a service's requests that a canary version gets.
const DEFAULT_CANARY_SHARE: f64 = 0.1;

/// Default number of bad answers, over all hosts, after which a version that is being rolled out
/// gets no more requests.
const DEFAULT_MAX_BAD_ANSWERS: u64 = 50;

/// How an upstream's version decides which requests it gets.
#[derive(Clone, Copy, Debug)]
pub struct RolloutBounds {
    /// Whether a version needs a roll-out order to get requests. Otherwise all listed versions get
    /// requests as long as no order is known, since the deployment may not use roll-out orders.
    pub needs_order: bool,
    /// The largest share of a service's requests that a canary version gets.
    pub canary_share: f64,
    /// Whether a version stays limited to the canary share until its roll-out completes, even once
    /// it is judged good: canary requests can't reveal a version that fails only under a higher
    /// load than theirs.
    pub is_shift_bounded: bool,
    /// Number of bad answers, over all hosts, after which a version that is being rolled out gets no
    /// more requests, unless it is shown to be no worse than the serving version.
    pub most_bad_answers: u64,
}

impl RolloutBounds {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        Ok(Self {
            needs_order: section.optional("canary_share").is_some(),
            canary_share: number(section, "canary_share", DEFAULT_CANARY_SHARE)?,
            is_shift_bounded: flag(section, "bounded_shift", false)?,
            most_bad_answers: section.integer(
                "most_bad_answers",
                DEFAULT_MAX_BAD_ANSWERS,
                1..=1_000_000,
            )?,
        })
    }
}

impl GatewayOptions {
    /// Loads the settings from a file.
    ///
    /// # Errors
    /// The file can't be read, or a section, key or value is not allowed; the error names it and
    /// what is allowed.
    pub fn load(file: &Path) -> Result<Self, SettingError> {
        let settings = Settings::load(file)?;
        settings.deny_unknown(&SECTIONS, &[])?;
        Ok(Self {
            host: settings.read_section("host", HostOptions::read)?,
            topology: settings.read_section("halls", Topology::read)?,
            store: settings.read_section("store", StoreOptions::read)?,
            peers: settings.read_section("peers", PeerOptions::read)?,
            bounds: settings.read_section("bounds", BoundOptions::read)?,
            duties: settings.read_section("duties", DutyOptions::read)?,
            engine_orders: settings.read_section("engine_orders", EngineOrderOptions::read)?,
            log: settings.read_section("log", LogOptions::read)?,
        })
    }
}

impl HostOptions {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let memory_mb = section.integer("memory_mb", 256, 16..=1 << 20)?;
        let max_files = section.integer("max_files", 4_096, 64..=1 << 24)?;
        Ok(Self {
            id: section.required("id", "the host's name")?,
            hall: section.required("hall", "the name of a hall")?,
            callers_address: section.address("callers_address")?,
            directory_address: section.address("directory_address")?,
            readiness_address: section.address("readiness_address")?,
            metrics_address: section.address("metrics_address")?,
            source_address: read_source_address(section)?,
            body_bytes: to_usize(memory_mb * 1024 * 1024 / BODY_MEMORY_DIVISOR),
            answer_bytes: to_usize(memory_mb * 1024 * 1024 / ANSWER_MEMORY_DIVISOR),
            max_connections: to_usize(max_files / CONNECTION_FILES_DIVISOR),
            max_tunnels: to_usize(max_files / TUNNEL_FILES_DIVISOR),
            link_mbps: number(section, "link_mbps", 1_000.0)?.round() as u32,
            is_first_start: flag(section, "first_start", false)?,
        })
    }
}

fn read_source_address(section: &mut Section<'_>) -> Result<Option<IpAddr>, SettingError> {
    const KEY: &str = "source_address";
    let Some(value) = section.optional(KEY) else {
        return Ok(None);
    };
    let address = value.parse();
    address
        .map(Some)
        .map_err(|_| section.bad_value(KEY, value, "an IP address without a port"))
}

/// Request bodies may take up the host's memory divided by this number.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Large answers of upstreams may take up the host's memory divided by this number.
const ANSWER_MEMORY_DIVISOR: u64 = 4;
/// Callers' connections may take up the host's file descriptors divided by this number.
const CONNECTION_FILES_DIVISOR: u64 = 2;
/// As many tunnels may be open as the host has file descriptors divided by this number; each takes two.
const TUNNEL_FILES_DIVISOR: u64 = 8;

impl StoreOptions {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let range = 1..=MAX_TIME_MS;
        Ok(Self {
            address: section.address("address")?,
            watch: section.duration_ms("watch_ms", Duration::from_millis(2_500), range.clone())?,
            timeout: section.duration_ms("timeout_ms", Duration::from_millis(1_500), range)?,
        })
    }
}

impl PeerOptions {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let range = 1..=MAX_TIME_MS;
        Ok(Self {
            address: section.address("address")?,
            seeds: read_seeds(section)?,
            tunnel_address: read_tunnel_address(section)?,
            heartbeat: section.duration_ms(
                "heartbeat_ms",
                Duration::from_millis(500),
                range.clone(),
            )?,
            silence: section.duration_ms(
                "silence_ms",
                Duration::from_millis(1_600),
                range.clone(),
            )?,
            run_inquiry: section.duration_ms(
                "run_inquiry_ms",
                Duration::from_millis(100),
                range.clone(),
            )?,
            tunnel_end: section.duration_ms("tunnel_end_ms", Duration::from_millis(500), range)?,
        })
    }
}

fn read_tunnel_address(section: &mut Section<'_>) -> Result<Option<SocketAddr>, SettingError> {
    const KEY: &str = "tunnel_address";
    match section.optional(KEY) {
        None => Ok(None),
        Some(_) => section.address(KEY).map(Some),
    }
}

fn read_seeds(section: &mut Section<'_>) -> Result<Vec<IpAddr>, SettingError> {
    const ALLOWED: &str = "comma-separated addresses, each IP:PORT or IP";
    let text = section.text("seeds", "");
    let entries = text.split(',').map(str::trim);
    entries
        .filter(|entry| !entry.is_empty())
        .map(|entry| {
            let with_port = entry.parse::<SocketAddr>().map(|address| address.ip());
            with_port
                .or_else(|_| entry.parse::<IpAddr>())
                .map_err(|_| section.bad_value("seeds", entry, ALLOWED))
        })
        .collect()
}

impl BoundOptions {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let range = 1..=MAX_TIME_MS;
        let key_age = section.duration_ms("key_age_ms", Duration::from_secs(5), range.clone())?;
        let stop_s = number(section, "stop_s", 8.0)?;
        let keep_s = number(section, "keep_addresses_s", 5.0)?;
        let ratio = number(section, "retry_ratio", 0.2)?;
        let slack = number(section, "retry_slack", 20.0)?;
        let window_s = number(section, "retry_window_s", 10.0)?;
        Ok(Self {
            key_age,
            stale_keys: StaleKeyPolicy::read(section)?,
            stop: Duration::from_secs_f64(stop_s),
            keep_addresses: Duration::from_secs_f64(keep_s),
            retries: BudgetBounds {
                ratio,
                slack,
                window: Duration::from_secs_f64(window_s),
            },
            rollouts: RolloutBounds::read(section)?,
        })
    }
}

/// The largest number allowed in a setting.
const MAX_NUMBER: f64 = 1e6;

fn number(section: &mut Section<'_>, key: &str, default: f64) -> Result<f64, SettingError> {
    const ALLOWED: &str = "a number from 0 to 1000000";
    let Some(value) = section.optional(key) else {
        return Ok(default);
    };
    match value.parse::<f64>() {
        Ok(number) if (0.0..=MAX_NUMBER).contains(&number) => Ok(number),
        Ok(_) | Err(_) => Err(section.bad_value(key, value, ALLOWED)),
    }
}

fn flag(section: &mut Section<'_>, key: &str, default: bool) -> Result<bool, SettingError> {
    const ALLOWED: &str = "true or false";
    match section.optional(key) {
        None => Ok(default),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(value) => Err(section.bad_value(key, value, ALLOWED)),
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
