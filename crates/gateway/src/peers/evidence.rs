//! Evidence that other hosts collected about current rollouts, kept until these end. A host that saw a version fail may
//! restart, become silent or disappear; its evidence still counts against the version.

use {
    super::message::ServiceUse,
    crate::{edge::Revision, rollout::Evidence},
    std::collections::{BTreeSet, HashMap},
    tealshore_core::ids::{HallId, ServiceId},
    tealshore_duties::lease::ProcessId,
};

/// Evidence of processes and groups, for all rollouts.
#[derive(Debug, Default)]
pub(super) struct EvidenceLedger(HashMap<ServiceId, OrderEvidence>);

/// Evidence collected since one order.
#[derive(Debug, Default)]
struct OrderEvidence {
    order: Revision,
    processes: HashMap<ProcessId, (HallId, Evidence)>,
    /// Evidence from the digest of each group's relay.
    groups: HashMap<HallId, Evidence>,
}

impl EvidenceLedger {
    /// Records the evidence that a process collected and sent itself.
    pub(super) fn record_process(
        &mut self,
        process: &ProcessId,
        hall: &HallId,
        entries: &[ServiceUse],
    ) {
        self.record(entries, |collected, evidence| {
            let total = collected
                .processes
                .entry(process.clone())
                .or_insert_with(|| (hall.clone(), Evidence::new(evidence.order)));
            keep_larger(&mut total.1, evidence);
        });
    }

    /// Records the evidence that the processes of a group collected, as sent by its relay.
    pub(super) fn record_group(&mut self, hall: &HallId, entries: &[ServiceUse]) {
        self.record(entries, |collected, evidence| {
            let total = collected
                .groups
                .entry(hall.clone())
                .or_insert_with(|| Evidence::new(evidence.order));
            keep_larger(total, evidence);
        });
    }

    fn record(
        &mut self,
        entries: &[ServiceUse],
        mut keep: impl FnMut(&mut OrderEvidence, &Evidence),
    ) {
        for entry in entries {
            let Some(rollout) = &entry.rollout else {
                continue;
            };
            let collected = self.0.entry(entry.service.clone()).or_default();
            if rollout.record.order < collected.order {
                continue;
            }
            if rollout.record.order > collected.order || rollout.record.phase.is_over() {
                *collected = OrderEvidence {
                    order: rollout.record.order,
                    ..OrderEvidence::default()
                };
            }
            let is_of_order = rollout.evidence.order == collected.order;
            if is_of_order && !rollout.record.phase.is_over() {
                keep(collected, &rollout.evidence);
            }
        }
    }

    /// Returns the total evidence of all processes of all halls since an order.
    pub(super) fn sum(&self, service: &ServiceId, order: Revision) -> Evidence {
        let mut sum = Evidence::new(order);
        let Some(collected) = self.for_order(service, order) else {
            return sum;
        };
        let halls_of_processes = collected.processes.values().map(|(hall, _)| hall);
        let halls: BTreeSet<&HallId> = halls_of_processes.chain(collected.groups.keys()).collect();
        for hall in halls {
            let direct = collected.processes_of(hall);
            match collected.groups.get(hall) {
                Some(digest) if digest.sends() > direct.sends() => sum.add(digest),
                Some(_) | None => sum.add(&direct),
            }
        }
        sum
    }

    /// Returns the total evidence of the processes of one hall since an order.
    pub(super) fn sum_of_hall(
        &self,
        service: &ServiceId,
        order: Revision,
        hall: &HallId,
    ) -> Evidence {
        let collected = self.for_order(service, order);
        collected.map_or_else(
            || Evidence::new(order),
            |collected| collected.processes_of(hall),
        )
    }

    fn for_order(&self, service: &ServiceId, order: Revision) -> Option<&OrderEvidence> {
        self.0
            .get(service)
            .filter(|collected| collected.order == order)
    }
}

impl OrderEvidence {
    fn processes_of(&self, hall: &HallId) -> Evidence {
        let mut sum = Evidence::new(self.order);
        for (_, evidence) in self.processes.values().filter(|(of, _)| of == hall) {
            sum.add(evidence);
        }
        sum
    }
}

/// Keeps the larger of two totals of the same source. Totals only grow, so a smaller one is older, or from a relay that
/// received state from fewer processes.
fn keep_larger(total: &mut Evidence, other: &Evidence) {
    if other.sends() >= total.sends() {
        total.clone_from(other);
    }
}
