//! What this host knows of the roll-outs of all services.

mod progress;
mod service;
mod trial;

use {
    super::{
        evidence::{Evidence, route_key},
        exposure::SendKind,
        outcome::{Outcome, Quality},
        record::{Phase, RolloutOrder, RolloutRecord},
        turns::turn_takers,
        versions::{ListedVersion, Permit},
    },
    crate::{
        edge::{Revision, StoreEra, StoreTime},
        options::RolloutBounds,
        view::{Upstream, UpstreamRecord},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    service::ServiceRollout,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::{
        ids::{EngineVersion, ServiceId},
        protection::{Protection, enabled},
    },
};

/// What hosts tell each other of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// The version of the record's row.
    pub revision: Revision,
    /// The record.
    pub record: RolloutRecord,
    /// What answers told the sender, or all hosts of a group.
    pub evidence: Evidence,
}

impl RolloutNews {
    /// Takes in what another host says: the newer record, and the sum of the evidence.
    pub fn add(&mut self, other: &Self) {
        if other.revision > self.revision {
            self.revision = other.revision;
            self.record = other.record.clone();
        }
        if other.evidence.order > self.evidence.order {
            self.evidence = other.evidence.clone();
        } else {
            self.evidence.add(&other.evidence);
        }
    }
}

/// What this host knows of the roll-outs of all services.
pub struct Rollouts {
    services: Mutex<HashMap<ServiceId, ServiceRollout>>,
    /// What this host has of its first canary of each roll-out.
    first_part: f64,
}

impl Rollouts {
    /// Nothing is known; `first_part` is drawn at the start of the process, evenly from 0 to 1.
    #[must_use]
    pub fn new(first_part: f64) -> Self {
        Self {
            services: Mutex::default(),
            first_part,
        }
    }

    /// Takes in an order; whether it is a new one. `is_in_restore_grace` tells that rows may predate a restore of the store.
    pub fn apply_order(
        &self,
        order: RolloutOrder,
        is_in_restore_grace: bool,
        now: Instant,
    ) -> bool {
        let mut services = self.services.lock();
        let service = services.entry(order.service.clone()).or_default();
        service
            .progress
            .apply_order(order, is_in_restore_grace, now)
    }

    /// Applies orders of a restored store that were held; the services of these.
    pub fn end_grace(&self, now: Instant) -> Vec<ServiceId> {
        let mut services = self.services.lock();
        let applied = services.iter_mut().filter_map(|(id, service)| {
            let is_applied = service.progress.end_grace(now);
            is_applied.then(|| id.clone())
        });
        applied.collect()
    }

    /// The record of a service that the store of an era may have lost, with the version that its row must have.
    #[must_use]
    pub fn unwritten(
        &self,
        service: &ServiceId,
        era: StoreEra,
    ) -> Option<(Revision, RolloutRecord)> {
        self.services.lock().get(service)?.progress.unwritten(era)
    }

    /// Takes in a record, unless a newer one is known; whether it was newer.
    pub fn apply_record(
        &self,
        revision: Revision,
        record: &RolloutRecord,
        is_in_restore_grace: bool,
    ) -> bool {
        let mut services = self.services.lock();
        let service = services.entry(record.service.clone()).or_default();
        let known = service.progress.record.as_ref();
        let before = known.map_or("-", |(_, record)| record.phase.name());
        if !service
            .progress
            .apply_record(revision, record, is_in_restore_grace)
        {
            return false;
        }
        log::info!(
            "rollout: phase service={} order={} phase={} before={before} from={} target={} \
             revision={revision} since_ms={} deadline_ms={}",
            record.service,
            record.order,
            record.phase.name(),
            record.from,
            record.target,
            record.since.as_millis(),
            record.deadline.as_millis()
        );
        let known = service.progress.record.as_ref();
        let order = known.map_or(record.order, |(_, record)| record.order);
        service.count_for(order, self.first_part);
        true
    }

    /// All orders that are known.
    #[must_use]
    pub fn orders(&self) -> Vec<(RolloutOrder, Duration)> {
        let services = self.services.lock();
        let known = services
            .values()
            .filter_map(|it| it.progress.order.as_ref());
        known
            .map(|known| (known.order.clone(), known.heard.elapsed()))
            .collect()
    }

    /// The record of a service, with the version of its row.
    #[must_use]
    pub fn record(&self, service: &ServiceId) -> Option<(Revision, RolloutRecord)> {
        self.services.lock().get(service)?.progress.record.clone()
    }

    /// The version that serves a service besides any that is tried.
    #[must_use]
    pub fn serving(
        &self,
        service: &ServiceId,
        ready: &[Arc<Upstream>],
        bounds: RolloutBounds,
    ) -> Option<EngineVersion> {
        let services = self.services.lock();
        let listed = listed_versions(ready);
        let permit = services.get(service)?.permit(&listed, bounds)?;
        Some(match permit {
            Permit::Only(version) => version,
            Permit::Canary { from, .. } => from,
            Permit::Prefer { target, .. } => target,
        })
    }

    /// What this host tells the others of each service that was ever rolled out.
    #[must_use]
    pub fn news(&self) -> Vec<RolloutNews> {
        let services = self.services.lock();
        let known = services.values().filter_map(|service| {
            let (revision, record) = service.progress.record.clone()?;
            // What is decided is judged no more: its counts need not travel for ever.
            let evidence = if record.phase.is_over() {
                Evidence::none(record.order)
            } else {
                service.evidence.clone()
            };
            Some(RolloutNews {
                revision,
                record,
                evidence,
            })
        });
        known.collect()
    }

    /// What the answers on this host told since an order.
    #[must_use]
    pub fn evidence(&self, service: &ServiceId, order: Revision) -> Evidence {
        let services = self.services.lock();
        let known = services.get(service).map(|known| known.evidence.clone());
        known
            .filter(|evidence| evidence.order == order)
            .unwrap_or_else(|| Evidence::none(order))
    }

    /// The upstreams that may get a request, in sets: the next one is for where the one before has no
    /// room.
    #[must_use]
    pub fn admitted(
        &self,
        service: &ServiceId,
        ready: Vec<Arc<Upstream>>,
        bounds: RolloutBounds,
        now: Option<StoreTime>,
    ) -> Vec<Vec<Arc<Upstream>>> {
        if !enabled(Protection::VersionPermit) {
            return vec![ready];
        }
        let mut services = self.services.lock();
        let known = services.entry(service.clone()).or_default();
        let is_rolled_out = known.progress.order.is_some() || known.progress.record.is_some();
        if let (false, Some(version)) = (is_rolled_out, single_version(&ready)) {
            if known.serving.as_ref() != Some(version) {
                known.serving = Some(version.clone());
            }
            return vec![ready];
        }
        if !is_rolled_out && !bounds.needs_order {
            return vec![ready];
        }
        let Some(permit) = known.permit(&listed_versions(&ready), bounds) else {
            return vec![ready];
        };
        let of = |version: &EngineVersion| -> Vec<Arc<Upstream>> {
            let upstreams = ready.iter();
            let found = upstreams.filter(|upstream| upstream.record.version == *version);
            found.cloned().collect()
        };
        match permit {
            Permit::Only(version) => vec![of(&version)],
            Permit::Prefer { target, from } => vec![of(&target), of(&from)],
            Permit::Canary { from, target }
                if known.exposure.allows_canary(bounds.canary_share) =>
            {
                vec![
                    turn_takers(of(&target), bounds.canary_share, now),
                    of(&from),
                ]
            }
            Permit::Canary { from, .. } => vec![of(&from)],
        }
    }

    /// Whether an upstream may get a request that would rather go there than anywhere else.
    #[must_use]
    pub fn may_receive(&self, upstream: &UpstreamRecord, bounds: RolloutBounds) -> bool {
        let services = self.services.lock();
        let Some(known) = services.get(&upstream.service) else {
            return true;
        };
        let version = &upstream.version;
        match known.permit_by_record(bounds) {
            Some(Permit::Only(only)) => only == *version,
            Some(Permit::Prefer { target, .. }) => target == *version,
            Some(Permit::Canary { from, target }) => {
                let has_share = known.exposure.allows_canary(bounds.canary_share);
                from == *version || (target == *version && has_share)
            }
            None => known.is_not_tried_unheard(version),
        }
    }

    /// Whether an upstream may get a request at all, checked at the instant of the send: a roll-back
    /// may have been heard of since it was chosen.
    #[must_use]
    pub fn is_open(&self, upstream: &UpstreamRecord) -> bool {
        let services = self.services.lock();
        let known = services.get(&upstream.service);
        let record = known.and_then(ServiceRollout::record_unless_stopped);
        record.is_none_or(|record| match record.phase {
            Phase::Canary | Phase::Shifting => true,
            Phase::Completed => upstream.version == record.target,
            Phase::RolledBack => upstream.version != record.target,
        })
    }

    /// Notes that a request is sent to an upstream.
    pub fn note_send(&self, upstream: &UpstreamRecord, send: SendKind) {
        let mut services = self.services.lock();
        let Some(known) = services.get_mut(&upstream.service) else {
            return;
        };
        let target = known.current().map(|record| &record.target);
        if target.is_some_and(|target| *target == upstream.version) {
            known.exposure.note_canary(send);
        } else {
            known.exposure.note_request(send);
        }
    }

    /// Notes how a send ended; what that says of its version, for what is usual on the route.
    pub fn note_outcome(
        &self,
        upstream: &UpstreamRecord,
        route: &str,
        outcome: Outcome,
    ) -> Quality {
        let mut services = self.services.lock();
        let known = services.get_mut(&upstream.service);
        let quality = match (outcome, &known) {
            (Outcome::Failed, _) => Quality::Failed,
            (Outcome::Lost, _) => Quality::Lost,
            (Outcome::Answered(took), Some(known)) if known.typical.is_slow(route, took) => {
                Quality::Slow
            }
            (Outcome::Answered(_), _) => Quality::Good,
        };
        let Some(known) = known else {
            return quality;
        };
        let is_target = known
            .current()
            .is_some_and(|record| record.target == upstream.version);
        if is_target {
            known
                .evidence
                .record_target(&upstream.id, route_key(route), quality);
            return quality;
        }
        if let Outcome::Answered(took) = outcome {
            known.typical.observe(route, took);
        }
        let is_from = known
            .current()
            .is_some_and(|record| record.from == upstream.version);
        if is_from {
            known.evidence.record_serving(route_key(route), quality);
        }
        quality
    }

    /// Whether a roll-out of any service is under way, or one was ordered and has no record yet.
    #[must_use]
    pub fn is_any_open(&self) -> bool {
        let services = self.services.lock();
        services.values().any(|service| {
            let ordered = service
                .progress
                .order
                .as_ref()
                .map(|known| known.order.revision);
            let recorded = service
                .progress
                .record
                .as_ref()
                .map(|(_, record)| record.order);
            service.current().is_some() || ordered > recorded
        })
    }
}

fn single_version(ready: &[Arc<Upstream>]) -> Option<&EngineVersion> {
    let first = &ready.first()?.record.version;
    ready
        .iter()
        .all(|upstream| upstream.record.version == *first)
        .then_some(first)
}

fn listed_versions(ready: &[Arc<Upstream>]) -> Vec<ListedVersion> {
    let mut listed: Vec<ListedVersion> = Vec::new();
    for upstream in ready {
        let version = &upstream.record.version;
        let row = upstream.row;
        match listed.iter_mut().find(|it| it.version == *version) {
            Some(known) => known.oldest_row = known.oldest_row.min(row),
            None => listed.push(ListedVersion {
                version: version.clone(),
                oldest_row: row,
            }),
        }
    }
    listed
}
