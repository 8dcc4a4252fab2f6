//! Acquires the lease of the duties and performs them while this host holds it.
//!
//! Each decision is stored with the lease before it is carried out: it changes a draft of the row,
//! which is written at the next renewal, and only what the store has confirmed is sent to the platform.

mod calls;
mod decisions;
mod row;

use {
    super::Follower,
    crate::{
        duties::{DutyRecord, MAX_CANDIDATES},
        edge::StoreEra,
        feed::{FeederCandidate, hosts_before},
        options::DutyOptions,
        peers::{HostPhase, PeerSocket},
        state::GatewayState,
    },
    calls::ApiBackoff,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::clock,
    tealshore_duties::lease::{Role, Step},
};

/// How often a host that may acquire the lease checks it: a small part of the time within which a
/// released lease is acquired.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(100);
/// How often any other host checks whether it may acquire the lease.
const NON_CANDIDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between candidates, by rank. A write and a datagram need about 30 ms, so the first live
/// candidate has informed the next one by then.
const CANDIDATE_DELAY: Duration = Duration::from_millis(300);
/// Hosts that start together receive each other's messages within this time. Before that, each would
/// consider itself the first.
const STARTUP_DELAY: Duration = Duration::from_millis(1_000);

/// Runs the duties on a host that holds the lease or may acquire it.
pub(super) struct DutyRunner {
    follower: Follower,
    /// Tells other hosts what was decided.
    peer_socket: Arc<PeerSocket>,
    options: DutyOptions,
    started: Instant,
    /// The row as last read or written.
    record: DutyRecord,
    /// The content of the row for the next write.
    draft: DutyRecord,
    /// The row as last written under a lease of this host.
    held_record: DutyRecord,
    backoff: ApiBackoff,
    /// Number of consecutive failed calls to the store.
    store_failures: u32,
    capacity_checked_at: Option<Instant>,
    /// When this host last acquired the lease.
    lease_taken_at: Option<Instant>,
    /// The era of the store in which the state of the lease is known.
    era: StoreEra,
    /// The era in which this process first read the row. It knows of no decision that a store lost before.
    first_era: Option<StoreEra>,
}

impl DutyRunner {
    /// Creates the state of a host that has just started; `None` if the deployment has no duties.
    pub(super) fn new(follower: Follower, peer_socket: Arc<PeerSocket>) -> Option<Self> {
        let options = follower.state.duties.options()?.clone();
        Some(Self {
            follower,
            peer_socket,
            options,
            started: clock::now(),
            record: DutyRecord::default(),
            draft: DutyRecord::default(),
            held_record: DutyRecord::default(),
            backoff: ApiBackoff::default(),
            store_failures: 0,
            capacity_checked_at: None,
            lease_taken_at: None,
            era: 0,
            first_era: None,
        })
    }

    fn state(&self) -> &Arc<GatewayState> {
        &self.follower.state
    }

    /// Acquires the lease whenever it is this host's turn and performs the duties while holding it.
    /// Returns only when the process ends.
    pub(super) async fn run(&mut self) {
        loop {
            let now = clock::now();
            self.handle_new_era(now);
            let role = self.role(now);
            let store_time = self.state().feed.store_time(now);
            let step = self
                .state()
                .duties
                .with_lease(|lease| lease.next_step(store_time, role, now));
            match step {
                Step::Read => self.read().await,
                Step::Write {
                    record,
                    expected,
                    purpose,
                } => self.write(record, expected, purpose).await,
                Step::Wait(until) => {
                    if !self.write_back().await && !self.perform_due(now).await {
                        let interval = match role {
                            Role::Candidate { .. } | Role::Leaving => CANDIDATE_INTERVAL,
                            Role::NonCandidate => NON_CANDIDATE_INTERVAL,
                        };
                        clock::sleep_until(until.min(now + interval)).await;
                    }
                }
            }
        }
    }

    /// Discards the known state of the lease if the store was restored from an older copy.
    fn handle_new_era(&mut self, now: Instant) {
        let era = self.state().feed.era();
        if era <= self.era {
            return;
        }
        let was_held = self.state().duties.tenure(now).is_some();
        log::warn!(
            "duties: lease suspended cause=new-era era={era} before={} held={was_held} fence={}",
            self.era,
            self.record.lease.fence
        );
        self.era = era;
        let duties = &self.state().duties;
        duties.with_lease(|lease| lease.record_store_restored(era, now));
    }

    /// The role of this host regarding the lease.
    fn role(&self, now: Instant) -> Role {
        let state = self.state();
        if state.phase(now) == HostPhase::Leaving {
            return Role::Leaving;
        }
        let peers = &state.peers;
        let is_started = now.saturating_duration_since(self.started) >= STARTUP_DELAY;
        let can_hold_lease =
            is_started && state.feed.watermark().is_some() && state.feed.reaches_store();
        if !can_hold_lease || (peers.is_grouped() && !peers.is_relay(now)) {
            return Role::NonCandidate;
        }
        let others = if peers.is_grouped() {
            peers.relays(now)
        } else {
            peers.feeder_candidates(now)
        };
        let is_eligible = |other: &&FeederCandidate| other.reaches_store;
        let host = &state.options.host;
        let before = hosts_before(&host.id, host.link_mbps, others.iter().filter(is_eligible));
        match u32::try_from(before) {
            Ok(rank) if before < MAX_CANDIDATES => Role::Candidate {
                delay: CANDIDATE_DELAY * rank,
            },
            Ok(_) | Err(_) => Role::NonCandidate,
        }
    }

    /// Performs one due action or requests a write of its decision. Returns whether there was one;
    /// without a tenure there is none.
    async fn perform_due(&mut self, now: Instant) -> bool {
        if self.state().duties.tenure(now).is_none() {
            return false;
        }
        self.decide(now);
        if self.has_unwritten_decision() {
            self.state().duties.with_lease(|lease| lease.renew_now());
            return true;
        }
        self.call_platform(now).await
    }
}
