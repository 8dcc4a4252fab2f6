//! Trials of target versions: known bad answers, and whether this host still sends to the target.

use {
    super::{Rollouts, service::ServiceRollout},
    crate::{
        edge::Revision,
        rollout::{evidence::BadAnswers, record::RolloutRecord},
    },
    tealshore_core::ids::ServiceId,
};

impl Rollouts {
    /// Records of all open roll-outs to a version other than the serving one.
    #[must_use]
    pub fn open_trials(&self) -> Vec<RolloutRecord> {
        let services = self.services.lock();
        let open = services.values().filter_map(ServiceRollout::open_record);
        let open_trials = open.filter(|record| record.from != record.target);
        open_trials.cloned().collect()
    }

    /// Records a host's count of bad answers of a target. Returns the largest known count.
    pub fn record_bad_answers(&self, known: &BadAnswers) -> u32 {
        let mut services = self.services.lock();
        let service = services.entry(known.service.clone()).or_default();
        service.record_bad_answers(known.order, known.count)
    }

    /// The largest known count of bad answers of the target of each open roll-out, if above zero.
    #[must_use]
    pub fn bad_answers(&self) -> Vec<BadAnswers> {
        let services = self.services.lock();
        let known = services.values().filter_map(|service| {
            let record = service.open_record()?;
            let count = service.max_bad_of(record.order);
            (count > 0).then(|| BadAnswers {
                service: record.service.clone(),
                order: record.order,
                count,
            })
        });
        known.collect()
    }

    /// Stops sending to the target of a record and returns whether this host was still sending. It
    /// needs no leader, and holds until the roll-out ends.
    pub fn stop_trial(&self, record: &RolloutRecord) -> bool {
        let mut services = self.services.lock();
        let service = services.entry(record.service.clone()).or_default();
        service.stopped_order.replace(record.order) != Some(record.order)
    }

    /// Whether this host has stopped sending to the target of an order.
    #[must_use]
    pub fn is_trial_stopped(&self, service: &ServiceId, order: Revision) -> bool {
        let services = self.services.lock();
        let known = services.get(service);
        known.is_some_and(|known| known.stopped_order == Some(order))
    }
}
