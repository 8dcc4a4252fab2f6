//! Versions that are tried: how many bad answers are known of them, and whether this host still sends to them.

use {
    super::{Rollouts, service::ServiceRollout},
    crate::{
        edge::Revision,
        rollout::{evidence::BadAnswers, record::RolloutRecord},
    },
    tealshore_core::ids::ServiceId,
};

impl Rollouts {
    /// The records of all roll-outs that are under way and try a version.
    #[must_use]
    pub fn open_trials(&self) -> Vec<RolloutRecord> {
        let services = self.services.lock();
        let open = services.values().filter_map(ServiceRollout::open_record);
        let open_trials = open.filter(|record| record.from != record.target);
        open_trials.cloned().collect()
    }

    /// Records how many bad answers of a version that is tried a host knows of; the most that any does.
    pub fn record_bad_answers(&self, known: &BadAnswers) -> u32 {
        let mut services = self.services.lock();
        let service = services.entry(known.service.clone()).or_default();
        service.record_bad_answers(known.order, known.count)
    }

    /// How many bad answers of each version that is tried any host knows of, as far as that was told.
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

    /// Lets this host send nothing more to the version that an order tries; whether it did until now. It
    /// needs no leader for that, and holds until the roll-out ends.
    pub fn stop_trial(&self, record: &RolloutRecord) -> bool {
        let mut services = self.services.lock();
        let service = services.entry(record.service.clone()).or_default();
        service.stopped_order.replace(record.order) != Some(record.order)
    }

    /// Whether this host stopped sending to the version that an order tries.
    #[must_use]
    pub fn is_trial_stopped(&self, service: &ServiceId, order: Revision) -> bool {
        let services = self.services.lock();
        let known = services.get(service);
        known.is_some_and(|known| known.stopped_order == Some(order))
    }
}
