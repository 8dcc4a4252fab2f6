//! State of the roll-outs of all services, as known to this host.

mod progress;
mod service;
mod trial;

use {
    super::{
        evidence::{Evidence, route_key},
        exposure::SendKind,
        outcome::{Outcome, Quality},
        record::{Phase, RolloutOrder, RolloutRecord},
        turns::active_upstreams,
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
        clock,
        ids::{EngineVersion, ServiceId},
        protection::{Protection, enabled},
    },
};

/// What hosts exchange about a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Version of the record's row.
    pub revision: Revision,
    /// The newest record known to the sender.
    pub record: RolloutRecord,
    /// Evidence of the sender, or of all hosts of a group.
    pub evidence: Evidence,
}

impl RolloutReport {
    /// Merges a report of another host: keeps the newer record and adds up the evidence.
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

/// State of the roll-outs of all services, as known to this host.
pub struct Rollouts {
    services: Mutex<HashMap<ServiceId, ServiceRollout>>,
    /// Initial canary credit of this host for each roll-out.
    initial_credit: f64,
}

impl Rollouts {
    /// Creates an empty state; `initial_credit` is drawn uniformly from 0 to 1 at process start.
    #[must_use]
    pub fn new(initial_credit: f64) -> Self {
        Self {
            services: Mutex::default(),
            initial_credit,
        }
    }

    /// Applies an order and returns whether it is a new one. `is_in_restore_grace` says that rows may predate
    /// a restore of the store.
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

    /// Applies orders of a restored store that were deferred. Returns their services.
    pub fn apply_deferred_orders(&self, now: Instant) -> Vec<ServiceId> {
        let mut services = self.services.lock();
        let applied = services.iter_mut().filter_map(|(id, service)| {
            let is_applied = service.progress.apply_deferred_order(now);
            is_applied.then(|| id.clone())
        });
        applied.collect()
    }

    /// Returns the record that the store may have lost in a restore, and the row version to expect when
    /// writing it again; `era` is the current era of the store.
    #[must_use]
    pub fn pending_rewrite(
        &self,
        service: &ServiceId,
        era: StoreEra,
    ) -> Option<(Revision, RolloutRecord)> {
        self.services
            .lock()
            .get(service)?
            .progress
            .pending_rewrite(era)
    }

    /// Applies a record and returns whether this host's record changed. A known newer record is kept, unless
    /// the store lost this one in a restore.
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
            "rollout: record applied service={} order={} phase={} before={before} from={} target={} \
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
        service.reset_for_order(order, self.initial_credit);
        true
    }

    /// All known orders, each with the time since this host received it.
    #[must_use]
    pub fn orders(&self) -> Vec<(RolloutOrder, Duration)> {
        let services = self.services.lock();
        let known = services
            .values()
            .filter_map(|it| it.progress.order.as_ref());
        known
            .map(|known| (known.order.clone(), clock::elapsed(known.received_at)))
            .collect()
    }

    /// The record of a service, with the version of its row.
    #[must_use]
    pub fn record(&self, service: &ServiceId) -> Option<(Revision, RolloutRecord)> {
        self.services.lock().get(service)?.progress.record.clone()
    }

    /// The serving version of a service. During the canary phase this is not the target.
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

    /// Reports to other hosts, one for each service that has a roll-out record.
    #[must_use]
    pub fn reports(&self) -> Vec<RolloutReport> {
        let services = self.services.lock();
        let known = services.values().filter_map(|service| {
            let (revision, record) = service.progress.record.clone()?;
            // A decided roll-out is not evaluated again, so its evidence is not sent.
            let evidence = if record.phase.is_over() {
                Evidence::new(record.order)
            } else {
                service.evidence.clone()
            };
            Some(RolloutReport {
                revision,
                record,
                evidence,
            })
        });
        known.collect()
    }

    /// Evidence that this host has gathered since an order.
    #[must_use]
    pub fn evidence(&self, service: &ServiceId, order: Revision) -> Evidence {
        let services = self.services.lock();
        let known = services.get(service).map(|known| known.evidence.clone());
        known
            .filter(|evidence| evidence.order == order)
            .unwrap_or_else(|| Evidence::new(order))
    }

    /// Upstreams that may receive a request, as sets in order of preference. A later set is used only if no
    /// upstream of the earlier ones can take the request.
    #[must_use]
    pub fn eligible_upstreams(
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
                if known.canary_budget.allows_canary(bounds.canary_share) =>
            {
                vec![
                    active_upstreams(of(&target), bounds.canary_share, now),
                    of(&from),
                ]
            }
            Permit::Canary { from, .. } => vec![of(&from)],
        }
    }

    /// Whether a request with an affinity for an upstream may be sent there.
    #[must_use]
    pub fn accepts_affinity(&self, upstream: &UpstreamRecord, bounds: RolloutBounds) -> bool {
        let services = self.services.lock();
        let Some(known) = services.get(&upstream.service) else {
            return true;
        };
        let version = &upstream.version;
        match known.permit_by_record(bounds) {
            Some(Permit::Only(only)) => only == *version,
            Some(Permit::Prefer { target, .. }) => target == *version,
            Some(Permit::Canary { from, target }) => {
                let has_share = known.canary_budget.allows_canary(bounds.canary_share);
                from == *version || (target == *version && has_share)
            }
            None => known.is_permitted_without_record(version),
        }
    }

    /// Whether an upstream may receive requests at all. Checked immediately before a send, since a roll-back
    /// may have been received after the upstream was chosen.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &UpstreamRecord) -> bool {
        let services = self.services.lock();
        let known = services.get(&upstream.service);
        let record = known.and_then(ServiceRollout::effective_record);
        record.is_none_or(|record| match record.phase {
            Phase::Canary | Phase::Shifting => true,
            Phase::Completed => upstream.version == record.target,
            Phase::RolledBack => upstream.version != record.target,
        })
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&self, upstream: &UpstreamRecord, send: SendKind) {
        let mut services = self.services.lock();
        let Some(known) = services.get_mut(&upstream.service) else {
            return;
        };
        let target = known.open_record().map(|record| &record.target);
        if target.is_some_and(|target| *target == upstream.version) {
            known.canary_budget.record_canary(send);
        } else {
            known.canary_budget.record_request(send);
        }
    }

    /// Records the outcome of a send. Returns its quality, compared with the typical latency of the route.
    pub fn record_outcome(
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
            .open_record()
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
            .open_record()
            .is_some_and(|record| record.from == upstream.version);
        if is_from {
            known.evidence.record_serving(route_key(route), quality);
        }
        quality
    }

    /// Whether any service has an open roll-out, or an order without a record.
    #[must_use]
    pub fn has_open_rollout(&self) -> bool {
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
            service.open_record().is_some() || ordered > recorded
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
