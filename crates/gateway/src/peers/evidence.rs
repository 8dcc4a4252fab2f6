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
    /// Records the evidence that a process sent about itself.
    pub(super) fn record_process(
        &mut self,
        process: &ProcessId,
        hall: &HallId,
        entries: &[ServiceUse],
    ) {
        self.record(entries, |seen, evidence| {
            let known = seen
                .processes
                .entry(process.clone())
                .or_insert_with(|| (hall.clone(), Evidence::none(evidence.order)));
            keep_larger(&mut known.1, evidence);
        });
    }

    /// Records the evidence that a relay sent about its group.
    pub(super) fn record_group(&mut self, hall: &HallId, entries: &[ServiceUse]) {
        self.record(entries, |seen, evidence| {
            let known = seen
                .groups
                .entry(hall.clone())
                .or_insert_with(|| Evidence::none(evidence.order));
            keep_larger(known, evidence);
        });
    }

    fn record(
        &mut self,
        entries: &[ServiceUse],
        mut keep: impl FnMut(&mut OrderEvidence, &Evidence),
    ) {
        for entry in entries {
            let Some(news) = &entry.rollout else {
                continue;
            };
            let seen = self.0.entry(entry.service.clone()).or_default();
            if news.record.order < seen.order {
                continue;
            }
            if news.record.order > seen.order || news.record.phase.is_over() {
                *seen = OrderEvidence {
                    order: news.record.order,
                    ..OrderEvidence::default()
                };
            }
            let is_of_order = news.evidence.order == seen.order;
            if is_of_order && !news.record.phase.is_over() {
                keep(seen, &news.evidence);
            }
        }
    }

    /// Returns the total evidence of all processes of all halls since an order.
    pub(super) fn sum(&self, service: &ServiceId, order: Revision) -> Evidence {
        let mut sum = Evidence::none(order);
        let Some(seen) = self.of_order(service, order) else {
            return sum;
        };
        let of_processes = seen.processes.values().map(|(hall, _)| hall);
        let halls: BTreeSet<&HallId> = of_processes.chain(seen.groups.keys()).collect();
        for hall in halls {
            let direct = seen.processes_of(hall);
            match seen.groups.get(hall) {
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
        let seen = self.of_order(service, order);
        seen.map_or_else(|| Evidence::none(order), |seen| seen.processes_of(hall))
    }

    fn of_order(&self, service: &ServiceId, order: Revision) -> Option<&OrderEvidence> {
        self.0.get(service).filter(|seen| seen.order == order)
    }
}

impl OrderEvidence {
    fn processes_of(&self, hall: &HallId) -> Evidence {
        let mut sum = Evidence::none(self.order);
        for (_, evidence) in self.processes.values().filter(|(of, _)| of == hall) {
            sum.add(evidence);
        }
        sum
    }
}

/// Keeps the larger of two totals of the same source. Totals only grow, so a smaller one is older, or from a relay that
/// received state from fewer processes.
fn keep_larger(known: &mut Evidence, other: &Evidence) {
    if other.sends() >= known.sends() {
        known.clone_from(other);
    }
}
