//! Registry of the engines, plain services and other entry hosts that this host knows.
//!
//! Engines are kept in one shard per service, each with its own lock.

use {
    parking_lot::{Mutex, RwLock},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tealshore_core::{
        clock,
        ids::{EngineId, HallId, HostId, ServiceId},
        protection::{Protection, enabled},
    },
    tealshore_decide::routing::{Candidate, Urgency, choose},
    tealshore_engines::wire::LoadReport,
    tealshore_hosts::{HostList, HostRole, HostState, ListedHost},
    xxhash_rust::xxh3::xxh3_64,
};

/// How long an engine gets no new work after a failure.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);
/// Slots assumed for an engine that has not reported its load yet.
const DEFAULT_SLOTS: u32 = 16;

struct EngineEntry {
    host: ListedHost,
    report: Option<(LoadReport, Instant)>,
    sent_since: u32,
    own_attempts: Arc<AtomicU32>,
    failed_at: Option<Instant>,
}

impl EngineEntry {
    fn new(host: ListedHost) -> Self {
        Self {
            host,
            report: None,
            sent_since: 0,
            own_attempts: Arc::default(),
            failed_at: None,
        }
    }

    /// Whether the engine may get new work: it is leaving neither by the host list nor by its own
    /// report, and has not failed recently.
    fn is_available(&self) -> bool {
        let has_failed = self
            .failed_at
            .is_some_and(|at| clock::elapsed(at) < FAILURE_COOLDOWN);
        let reports_leaving = self
            .report
            .as_ref()
            .is_some_and(|(report, _)| report.leaving);
        let is_leaving = self.host.state == HostState::Leaving && enabled(Protection::LeavingCheck);
        !is_leaving && !reports_leaving && !has_failed
    }

    fn candidate(&self, hall: &HallId) -> Candidate {
        let report = self.report.as_ref();
        Candidate {
            engine: self.host.id.clone(),
            slots: report.map_or(DEFAULT_SLOTS, |(report, _)| report.slots),
            reported: report.map_or(0, |(report, _)| report.running + report.waiting),
            report_age: report.map_or(Duration::MAX, |(_, at)| clock::elapsed(*at)),
            sent_since: self.sent_since,
            own: self.own_attempts.load(Ordering::Relaxed),
            same_hall: self.host.hall == *hall,
        }
    }
}

/// The engine chosen for an attempt.
pub struct ChosenEngine {
    /// Engine id.
    pub id: EngineId,
    /// Address that accepts generation requests.
    pub address: SocketAddr,
    /// Counts the attempt at the engine until dropped.
    pub slot: EngineSlot,
}

/// Counts one attempt of this host at an engine until it is dropped.
pub struct EngineSlot {
    own_attempts: Arc<AtomicU32>,
}

impl EngineSlot {
    fn take(own_attempts: &Arc<AtomicU32>) -> Self {
        own_attempts.fetch_add(1, Ordering::Relaxed);
        Self {
            own_attempts: own_attempts.clone(),
        }
    }
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        self.own_attempts.fetch_sub(1, Ordering::Relaxed);
    }
}

type Shard = Arc<Mutex<HashMap<EngineId, EngineEntry>>>;

#[derive(Default)]
struct OtherHosts {
    plain: HashMap<ServiceId, Vec<ListedHost>>,
    entries: Vec<ListedHost>,
    leaving_entries: HashSet<HostId>,
}

/// The engines, plain services and entry hosts that this host knows.
pub struct Fleet {
    hall: HallId,
    own_id: HostId,
    subset: usize,
    engines: RwLock<HashMap<ServiceId, Shard>>,
    others: RwLock<OtherHosts>,
}

impl Fleet {
    /// Creates an empty registry.
    pub fn new(own_id: HostId, hall: HallId, subset: usize) -> Self {
        Self {
            hall,
            own_id,
            subset,
            engines: RwLock::default(),
            others: RwLock::default(),
        }
    }

    /// Replaces the known hosts by those of a host list. Engines that keep their address keep their
    /// load and failure state.
    pub fn apply_host_list(&self, list: HostList) {
        let mut engines: HashMap<ServiceId, Vec<ListedHost>> = HashMap::new();
        let mut plain: HashMap<ServiceId, Vec<ListedHost>> = HashMap::new();
        let mut entries = Vec::new();
        for host in list.hosts {
            match host.role {
                HostRole::Engine => engines.entry(host.service.clone()).or_default().push(host),
                HostRole::Plain => plain.entry(host.service.clone()).or_default().push(host),
                HostRole::Entry => entries.push(host),
            }
        }
        self.apply_engines(engines);
        let mut others = self.others.write();
        let known: HashSet<HostId> = entries.iter().map(|host| host.id.clone()).collect();
        others.leaving_entries.retain(|host| known.contains(host));
        others.plain = plain;
        others.entries = entries;
    }

    fn apply_engines(&self, mut listed: HashMap<ServiceId, Vec<ListedHost>>) {
        for hosts in listed.values_mut() {
            self.retain_subset(hosts);
        }
        let mut shards = self.engines.write();
        for service in listed.keys() {
            shards.entry(service.clone()).or_default();
        }
        for (service, shard) in shards.iter() {
            let mut old = std::mem::take(&mut *shard.lock());
            let hosts = listed.remove(service).unwrap_or_default();
            let known = hosts.into_iter().map(|host| {
                let same = old
                    .remove(&host.id)
                    .filter(|known| known.host.address == host.address);
                let engine = match same {
                    Some(known) => EngineEntry { host, ..known },
                    None => EngineEntry::new(host),
                };
                (engine.host.id.clone(), engine)
            });
            *shard.lock() = known.collect();
        }
    }

    /// Keeps the engines with the highest hash of host id and engine id (rendezvous hashing), so
    /// that each host knows a subset and each engine is known by about as many hosts.
    fn retain_subset(&self, hosts: &mut Vec<ListedHost>) {
        if hosts.len() <= self.subset {
            return;
        }
        let own_id = &self.own_id;
        hosts.sort_by_key(|host| {
            std::cmp::Reverse(xxh3_64(format!("{own_id}\0{}", host.id).as_bytes()))
        });
        hosts.truncate(self.subset);
    }

    /// Chooses an engine for an attempt and counts the attempt; `None` if no engine has room.
    pub fn choose_engine(
        &self,
        service: &ServiceId,
        avoid: &[EngineId],
        urgency: Urgency,
        random: u64,
    ) -> Option<ChosenEngine> {
        let shard = self.shard(service)?;
        let mut engines = shard.lock();
        let available: Vec<Candidate> = engines
            .values()
            .filter(|engine| engine.is_available())
            .map(|engine| engine.candidate(&self.hall))
            .collect();
        let is_untried = |candidate: &Candidate| !avoid.contains(&candidate.engine);
        let untried: Vec<Candidate> = available
            .iter()
            .filter(|candidate| is_untried(candidate))
            .cloned()
            .collect();
        // An engine that already failed this generation is better than none.
        let chosen =
            choose(&untried, urgency, random).or_else(|| choose(&available, urgency, random))?;
        let engine = engines.get_mut(&chosen.engine)?;
        engine.sent_since += 1;
        Some(ChosenEngine {
            id: chosen.engine.clone(),
            address: engine.host.address,
            slot: EngineSlot::take(&engine.own_attempts),
        })
    }

    /// Address of an engine, whether or not it may get new work.
    pub fn engine_address(&self, service: &ServiceId, engine: &EngineId) -> Option<SocketAddr> {
        self.shard(service)?
            .lock()
            .get(engine)
            .map(|known| known.host.address)
    }

    /// Time of an engine's last load report.
    pub fn last_report(&self, service: &ServiceId, engine: &EngineId) -> Option<Instant> {
        self.shard(service)?
            .lock()
            .get(engine)?
            .report
            .as_ref()
            .map(|(_, at)| *at)
    }

    /// Records a load report.
    pub fn record_load(&self, service: &ServiceId, engine: &EngineId, report: LoadReport) {
        let Some(shard) = self.shard(service) else {
            return;
        };
        if let Some(known) = shard.lock().get_mut(engine) {
            known.report = Some((report, clock::now()));
            known.sent_since = 0;
        }
    }

    /// Marks an engine as failed: it gets no new work for `FAILURE_COOLDOWN`.
    pub fn mark_engine_failed(&self, service: &ServiceId, engine: &EngineId) {
        let Some(shard) = self.shard(service) else {
            return;
        };
        if let Some(known) = shard.lock().get_mut(engine) {
            known.failed_at = Some(clock::now());
        }
    }

    /// All known engines with their addresses.
    pub fn engines(&self) -> Vec<(ServiceId, EngineId, SocketAddr)> {
        let shards: Vec<(ServiceId, Shard)> = self
            .engines
            .read()
            .iter()
            .map(|(service, shard)| (service.clone(), shard.clone()))
            .collect();
        let each = shards.iter().flat_map(|(service, shard)| {
            let engines = shard.lock();
            engines
                .values()
                .map(|known| (service.clone(), known.host.id.clone(), known.host.address))
                .collect::<Vec<_>>()
        });
        each.collect()
    }

    /// Number of engines that have reported their load.
    pub fn reported_count(&self) -> usize {
        let shards: Vec<Shard> = self.engines.read().values().cloned().collect();
        let reported = |shard: &Shard| {
            shard
                .lock()
                .values()
                .filter(|known| known.report.is_some())
                .count()
        };
        shards.iter().map(reported).sum()
    }

    /// Live hosts of a plain service, those in this host's hall first; `None` if the service is
    /// unknown.
    pub fn plain_hosts(&self, service: &str) -> Option<Vec<SocketAddr>> {
        let others = self.others.read();
        let hosts = others.plain.get(service)?;
        let mut live: Vec<&ListedHost> = hosts
            .iter()
            .filter(|host| host.state == HostState::Live)
            .collect();
        live.sort_by_key(|host| host.hall != self.hall);
        Some(live.iter().map(|host| host.address).collect())
    }

    /// Number of known hosts of plain services.
    pub fn plain_count(&self) -> usize {
        self.others.read().plain.values().map(Vec::len).sum()
    }

    /// Entry hosts whose addresses may be given to callers.
    pub fn available_entries(&self) -> Vec<ListedHost> {
        let others = self.others.read();
        let is_available = |host: &&ListedHost| {
            host.state == HostState::Live && !others.leaving_entries.contains(&host.id)
        };
        others
            .entries
            .iter()
            .filter(is_available)
            .cloned()
            .collect()
    }

    /// All other entry hosts on the host list.
    pub fn peers(&self) -> Vec<ListedHost> {
        let others = self.others.read();
        others
            .entries
            .iter()
            .filter(|host| host.id != self.own_id)
            .cloned()
            .collect()
    }

    /// Records whether an entry host says that it is leaving.
    pub fn record_entry_state(&self, host: &HostId, leaving: bool) {
        let is_changed = self.others.read().leaving_entries.contains(host) != leaving;
        if !is_changed {
            return;
        }
        let mut others = self.others.write();
        if leaving {
            others.leaving_entries.insert(host.clone());
        } else {
            others.leaving_entries.remove(host);
        }
    }

    fn shard(&self, service: &ServiceId) -> Option<Shard> {
        self.engines.read().get(service).cloned()
    }
}
