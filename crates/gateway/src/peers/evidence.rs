//! What the other hosts saw of the roll-outs that are under way, kept until these end: a version goes on answering
//! while hosts that saw it fail restart, fall silent or are gone.

use {
    super::message::ServiceUse,
    crate::{edge::Revision, rollout::Evidence},
    std::collections::{BTreeSet, HashMap},
    tealshore_core::ids::{HallId, ServiceId},
    tealshore_duties::lease::ProcessId,
};

/// What processes and groups saw of all roll-outs.
#[derive(Debug, Default)]
pub(super) struct EvidenceLedger(HashMap<ServiceId, OrderEvidence>);

/// What was seen since one order.
#[derive(Debug, Default)]
struct OrderEvidence {
    order: Revision,
    processes: HashMap<ProcessId, (HallId, Evidence)>,
    /// By the digests of their relays.
    groups: HashMap<HallId, Evidence>,
}

impl EvidenceLedger {
    /// Records what a process told of itself.
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
                .or_insert_with(|| (hall.clone(), Evidence::new(evidence.order)));
            keep_larger(&mut known.1, evidence);
        });
    }

    /// Records what a relay told of its group.
    pub(super) fn record_group(&mut self, hall: &HallId, entries: &[ServiceUse]) {
        self.record(entries, |seen, evidence| {
            let known = seen
                .groups
                .entry(hall.clone())
                .or_insert_with(|| Evidence::new(evidence.order));
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

    /// What all processes of all halls saw since an order.
    pub(super) fn sum(&self, service: &ServiceId, order: Revision) -> Evidence {
        let mut sum = Evidence::new(order);
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

    /// What the processes of one hall saw since an order.
    pub(super) fn sum_of_hall(
        &self,
        service: &ServiceId,
        order: Revision,
        hall: &HallId,
    ) -> Evidence {
        let seen = self.of_order(service, order);
        seen.map_or_else(|| Evidence::new(order), |seen| seen.processes_of(hall))
    }

    fn of_order(&self, service: &ServiceId, order: Revision) -> Option<&OrderEvidence> {
        self.0.get(service).filter(|seen| seen.order == order)
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

/// Keeps the larger of two sums of the same source. They only grow; a smaller one is older, or of a relay that heard less.
fn keep_larger(known: &mut Evidence, other: &Evidence) {
    if other.sends() >= known.sends() {
        known.clone_from(other);
    }
}
