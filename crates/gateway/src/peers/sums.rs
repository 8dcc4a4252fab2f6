//! Totals over the other hosts, each counted once.

use {
    super::{Peer, Peers, message::ServiceUse},
    crate::{budget::Pool, edge::Revision, rollout::Evidence, view::Work},
    std::{collections::HashMap, time::Instant},
    tealshore_core::ids::{EngineId, ServiceId},
};

impl Peers {
    /// Returns the total work of the other hosts at each upstream.
    pub fn work(&self, now: Instant) -> HashMap<EngineId, Work> {
        let mut sums: HashMap<EngineId, Work> = HashMap::new();
        self.groups
            .lock()
            .add_work(&mut sums, self.options.silence, now);
        let known = self.known.lock();
        for peer in known.values().filter(|peer| self.is_counted(peer, now)) {
            for entry in &peer.state.work {
                let sum = sums.entry(entry.upstream.clone()).or_default();
                sum.add(entry.shared_work());
            }
        }
        sums
    }

    /// Returns the retry budget use of a service by the other live hosts.
    pub fn budget_pool(&self, service: &ServiceId, now: Instant) -> Pool {
        let mut pool = Pool::without_peers(self.max_known_hosts());
        let mut add = |budgets: &[ServiceUse]| {
            let of_service = budgets.iter().filter(|entry| entry.service == *service);
            for entry in of_service {
                pool.used.add(entry.used);
            }
        };
        let mut live_peers = 0;
        for (hosts, budgets) in self.groups.lock().budgets(self.options.silence, now) {
            live_peers += hosts;
            add(&budgets);
        }
        let known = self.known.lock();
        for peer in known.values().filter(|peer| self.is_counted(peer, now)) {
            live_peers += 1;
            add(&peer.state.budgets);
        }
        pool.live_peers = live_peers;
        pool
    }

    /// Returns the evidence of the other hosts about a service's roll-out, including hosts that
    /// have been silent for long.
    pub fn rollout_evidence(&self, service: &ServiceId, order: Revision) -> Evidence {
        self.evidence.lock().sum(service, order)
    }

    /// Returns whether the peer's own datagrams are counted. They are not if the digest of its
    /// group already includes it.
    pub(super) fn is_counted(&self, peer: &Peer, now: Instant) -> bool {
        let is_by_digest = || {
            let groups = self.groups.lock();
            groups.is_fresh(&peer.state.hall, self.options.silence, now)
        };
        self.is_live(peer, now) && (peer.state.hall == self.own.hall || !is_by_digest())
    }

    /// Returns whether the last datagram of the peer arrived within the silence timeout.
    pub(super) fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.last_seen) <= self.options.silence
    }
}
