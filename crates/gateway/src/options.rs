//! The settings, one struct a section.

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

/// The longest time that a setting may give, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// The names of the sections.
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
    /// `[duties]`; none where the deployment has none.
    pub duties: Option<DutyOptions>,
    /// `[engine_orders]`
    pub engine_orders: EngineOrderOptions,
    /// `[log]`
    pub log: LogOptions,
}

/// Who and where this host is.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Its name.
    pub id: HostId,
    /// Its hall.
    pub hall: HallId,
    /// Where it takes callers.
    pub callers_address: SocketAddr,
    /// Where it tells callers which addresses to use.
    pub directory_address: SocketAddr,
    /// Where it tells whether it takes traffic.
    pub readiness_address: SocketAddr,
    /// Where it shows metrics.
    pub metrics_address: SocketAddr,
    /// Bytes of request bodies held at once.
    pub body_bytes: usize,
    /// Connections of callers held at once.
    pub max_connections: usize,
    /// What its link carries, in Mbit/s: hosts with better links send for others first.
    pub link_mbps: u32,
    /// Whether the whole system starts for the first time: nothing runs yet, and no caller waits.
    pub is_first_start: bool,
}

/// The platform's store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Where it is.
    pub address: SocketAddr,
    /// How long a watch waits for changes. A watch may fall silent: with the time beyond it,
    /// this must stay below the bound after which a leaving upstream gets no new work.
    pub watch: Duration,
    /// How long the store may take beyond that.
    pub timeout: Duration,
}

/// The other hosts of this system.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// Where this host takes their datagrams; theirs have the same port.
    pub address: SocketAddr,
    /// Hosts to begin with.
    pub seeds: Vec<IpAddr>,
    /// How often this host tells them of itself.
    pub heartbeat: Duration,
    /// Silence after which a peer is taken out of the addresses for callers.
    pub silence: Duration,
}

/// What becomes of requests with keys while a host's knowledge of keys is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleKeyPolicy {
    /// They are refused: a key that was taken away must stop everywhere within the age.
    Refuse,
    /// They are served by the keys last known, for as long as nothing newer can be learned.
    Serve,
}

impl StaleKeyPolicy {
    fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let refuses = flag(section, "refuse_stale_keys", true)?;
        Ok(if refuses { Self::Refuse } else { Self::Serve })
    }
}

/// Bounds that the system keeps.
#[derive(Clone, Debug)]
pub struct BoundOptions {
    /// The age past which what is known of keys counts as stale.
    pub key_age: Duration,
    /// What becomes of requests with keys while it is stale.
    pub stale_keys: StaleKeyPolicy,
    /// How long a planned stop may take.
    pub stop: Duration,
    /// How long callers may keep addresses.
    pub keep_addresses: Duration,
    /// The budget of repeated sends of all hosts.
    pub retries: BudgetBounds,
    /// Whether new versions need an operator's order, and what they get while they are tried.
    pub rollouts: RolloutBounds,
}

/// The part of a service's requests that a version gets while it is tried, unless the settings say.
const DEFAULT_CANARY_SHARE: f64 = 0.1;

/// The bad answers of all hosts after which a version that is tried gets nothing more, unless the settings say.
const DEFAULT_MOST_BAD_ANSWERS: u64 = 50;

/// What an upstream's version means for the requests that it gets.
#[derive(Clone, Copy, Debug)]
pub struct RolloutBounds {
    /// A version gets requests only where an order lets it. Else all versions that are listed do, as
    /// long as no order is known: nobody orders roll-outs there.
    pub needs_order: bool,
    /// The part of a service's requests that a version gets at most while it is tried.
    pub canary_share: f64,
    /// Whether a version gets no more than that until its roll-out is completed, also once it seems
    /// good: one that is bad only under a load that no canary had is never found.
    pub is_shift_bounded: bool,
    /// The bad answers of all hosts after which a version that is tried gets nothing more, unless it is shown to be
    /// no worse than what serves.
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
                DEFAULT_MOST_BAD_ANSWERS,
                1..=1_000_000,
            )?,
        })
    }
}

impl GatewayOptions {
    /// Reads a file.
    ///
    /// # Errors
    /// Names the section and key that is not allowed, and what is.
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
            body_bytes: to_usize(memory_mb * 1024 * 1024 / BODY_MEMORY_DIVISOR),
            max_connections: to_usize(max_files / CONNECTION_FILES_DIVISOR),
            link_mbps: number(section, "link_mbps", 1_000.0)?.round() as u32,
            is_first_start: flag(section, "first_start", false)?,
        })
    }
}

/// Bodies of requests take one part in this many of the memory.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Callers' connections take one part in this many of the files.
const CONNECTION_FILES_DIVISOR: u64 = 2;

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
            heartbeat: section.duration_ms(
                "heartbeat_ms",
                Duration::from_millis(500),
                range.clone(),
            )?,
            silence: section.duration_ms("silence_ms", Duration::from_millis(1_600), range)?,
        })
    }
}

fn read_seeds(section: &mut Section<'_>) -> Result<Vec<IpAddr>, SettingError> {
    const ALLOWED: &str = "addresses IP:PORT or IP, separated by commas";
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

/// The largest number that a setting may give.
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
