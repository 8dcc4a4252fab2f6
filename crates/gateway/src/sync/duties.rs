//! Acquires the lease of the duties and performs them while this host holds it.
//!
//! Each decision is stored with the lease before it is carried out: it changes a draft of the row,
//! which is written at the next renewal, and only what the store has confirmed is sent to the platform.

mod calls;
mod decisions;

use {
    super::Follower,
    crate::{
        duties::{DutyRecord, MAX_CANDIDATES},
        edge::{Change, Revision, StoreEra, WriteOutcome, row_number_of},
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
    tealshore_core::spread::with_jitter,
    tealshore_duties::lease::{LeaseRecord, Purpose, Role, Step},
    tokio::time::{sleep, sleep_until},
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
/// Time limit of a store call about the lease. After a lost answer, the row can still be read and the
/// lease renewed within one tenure.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Base pause after a failed call to the store; it doubles with each consecutive failure.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of doublings. The base pause stays at 1.2 s or below, so that a host that the store
/// serves again soon becomes a candidate.
const MAX_DOUBLINGS: u32 = 2;

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
}

impl DutyRunner {
    /// Creates the state of a host that has just started; `None` if the deployment has no duties.
    pub(super) fn new(follower: Follower, peer_socket: Arc<PeerSocket>) -> Option<Self> {
        let options = follower.state.duties.options()?.clone();
        Some(Self {
            follower,
            peer_socket,
            options,
            started: Instant::now(),
            record: DutyRecord::default(),
            draft: DutyRecord::default(),
            held_record: DutyRecord::default(),
            backoff: ApiBackoff::default(),
            store_failures: 0,
            capacity_checked_at: None,
            lease_taken_at: None,
            era: 0,
        })
    }

    fn state(&self) -> &Arc<GatewayState> {
        &self.follower.state
    }

    /// Acquires the lease whenever it is this host's turn and performs the duties while holding it.
    /// Returns only when the process ends.
    pub(super) async fn run(&mut self) {
        loop {
            let now = Instant::now();
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
                        sleep_until(until.min(now + interval).into()).await;
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

    /// Reads the row and applies it.
    async fn read(&mut self) {
        let request = self.state().protocol.list_call(self.follower.set, None);
        let page = match self.follower.page(request, STORE_TIMEOUT).await {
            Ok((page, _)) => page,
            Err(failure) => {
                log::info!("duties: failed to read row cause={}", failure.name());
                return self.pause_for_store().await;
            }
        };
        let mut row = None;
        for (revision, change) in page.changes {
            match change {
                Change::Duties(record) => row = Some((revision, *record)),
                Change::Unreadable(reason) => {
                    log::error!("duties: row unreadable revision={revision} reason={reason}");
                    return sleep(NON_CANDIDATE_INTERVAL).await;
                }
                Change::Configuration(_)
                | Change::Upstream(_)
                | Change::Host(_)
                | Change::Runs(_)
                | Change::Crashes(_)
                | Change::RolloutOrder(_)
                | Change::Rollout(_) => {}
            }
        }
        self.accept_record(row);
    }

    fn accept_record(&mut self, row: Option<(Revision, DutyRecord)>) {
        self.store_failures = 0;
        let (revision, record) = row.unwrap_or_default();
        let mut draft = record.clone();
        if record.lease.is_older_than(&self.held_record.lease) {
            log::warn!(
                "duties: row older than the last write revision={revision} fence={} written_fence={}",
                record.lease.fence,
                self.held_record.lease.fence
            );
            // Orders made under the lost lease remain valid.
            draft.orders.clone_from(&self.held_record.orders);
        }
        self.draft = draft;
        self.add_lost_decisions();
        let duties = &self.state().duties;
        if let Some(decided) = record.usage.decided_usage() {
            duties.merge_decided(&decided);
        }
        log::info!(
            "duties: row read revision={revision} fence={} holder={}",
            record.lease.fence,
            holder_name(&record.lease)
        );
        duties.with_ledger(|ledger| ledger.restore(&record.usage.counted));
        let lease = (revision > 0).then(|| (revision, record.lease.clone()));
        duties.with_lease(|lease_state| lease_state.record_read(lease, Instant::now()));
        self.record = record;
    }

    /// Adds decisions to the draft that this host knows of and the row lacks.
    fn add_lost_decisions(&mut self) {
        let usage = &mut self.draft.usage;
        if self.follower.state.duties.add_lost_decisions(usage) {
            log::info!(
                "duties: restored decisions lost by the store usage_next={:?} open={}",
                usage.next,
                usage.decided.len()
            );
        }
    }

    /// Stores decisions again that the store lost. This does not wait for the lease, since all hosts that know of
    /// the decisions may be lost before it can be taken. Returns whether there was anything to write.
    async fn write_back(&mut self) -> bool {
        let step = self
            .state()
            .duties
            .with_lease(|lease| lease.write_back_step());
        let Some(Step::Write {
            record,
            expected,
            purpose,
        }) = step
        else {
            return false;
        };
        self.add_lost_decisions();
        if !self.has_unwritten_decision() {
            return false;
        }
        self.write(record, expected, purpose).await;
        true
    }

    /// Writes the draft with a new state of the lease.
    async fn write(&mut self, lease: LeaseRecord, expected: Revision, purpose: Purpose) {
        let state = self.state().clone();
        let lease = match purpose {
            Purpose::Take | Purpose::Renew | Purpose::Release => {
                state.duties.with_lease(|known| known.prepare_write(lease))
            }
            Purpose::WriteBack => lease,
        };
        let mut record = self.draft.clone();
        record.lease = lease;
        self.include_counts(&mut record);
        let protocol = &state.protocol;
        let request = protocol.write_duties_call(&record, row_number_of(expected));
        let sent_at = Instant::now();
        let answer = self.follower.call(request, STORE_TIMEOUT).await;
        let written = match &answer {
            // Revisions of two eras may be equal by coincidence.
            Ok(answer) if answer.era != self.era => WriteOutcome::Unknown,
            Ok(answer) => {
                let protocol = &state.protocol;
                protocol.read_written(answer.era, answer.status, &answer.body)
            }
            Err(_) => WriteOutcome::Unknown,
        };
        match written {
            WriteOutcome::Done(revision) => {
                let has_decided = record.usage.next != self.record.usage.next;
                self.record_write(revision, record, sent_at, purpose);
                if has_decided {
                    // Before the report is sent: the store may lose the row, and this host may be lost with it.
                    self.peer_socket.announce_decisions(&state).await;
                }
            }
            WriteOutcome::Changed => {
                log::info!(
                    "duties: lease write rejected purpose={} fence={} cause=changed",
                    purpose.name(),
                    record.lease.fence
                );
                state.metrics.count_lease_write(purpose.name(), "changed");
                state.duties.with_lease(|known| known.record_conflict());
            }
            WriteOutcome::Unknown => {
                log::warn!(
                    "duties: lease write outcome unknown purpose={} fence={}",
                    purpose.name(),
                    record.lease.fence
                );
                state.metrics.count_lease_write(purpose.name(), "unknown");
                state.duties.with_lease(|known| match purpose {
                    Purpose::Take | Purpose::Renew | Purpose::Release => {
                        known.record_unknown_outcome(&record.lease, sent_at);
                    }
                    Purpose::WriteBack => known.record_unknown_write_back(),
                });
                self.pause_for_store().await;
            }
        }
    }

    /// Waits after a failed call to the store.
    async fn pause_for_store(&mut self) {
        let doublings = self.store_failures.min(MAX_DOUBLINGS);
        self.store_failures += 1;
        sleep(with_jitter(STORE_PAUSE * (1 << doublings))).await;
    }

    fn record_write(
        &mut self,
        revision: Revision,
        record: DutyRecord,
        sent_at: Instant,
        purpose: Purpose,
    ) {
        self.store_failures = 0;
        let state = self.state().clone();
        let before = &self.record.lease;
        match purpose {
            Purpose::Take => {
                self.lease_taken_at = Some(Instant::now());
                log::info!(
                    "duties: lease taken fence={} revision={revision} before={} undecided={} \
                     orders={}",
                    record.lease.fence,
                    holder_name(before),
                    record.usage.decided.len(),
                    record.orders.len()
                );
            }
            Purpose::Renew => {}
            Purpose::Release => log::info!(
                "duties: lease released fence={} revision={revision}",
                record.lease.fence
            ),
            Purpose::WriteBack => log::info!(
                "duties: lost decisions stored again fence={} revision={revision} era={} usage_next={:?} \
                 orders={}",
                record.lease.fence,
                self.era,
                record.usage.next,
                record.orders.len()
            ),
        }
        state.metrics.count_lease_write(purpose.name(), "done");
        if let Some(decided) = record.usage.decided_usage() {
            state.duties.merge_decided(&decided);
        }
        let lease = record.lease.clone();
        let now = Instant::now();
        state.duties.with_lease(|known| match purpose {
            Purpose::Take | Purpose::Renew | Purpose::Release => {
                known.record_written(revision, lease, sent_at, now);
            }
            Purpose::WriteBack => known.record_written_back(revision, lease, now),
        });
        state.metrics.duty_fence.set(
            state
                .duties
                .tenure(now)
                .map_or(0, |tenure| i64::try_from(tenure.fence).unwrap_or(i64::MAX)),
        );
        self.draft.clone_from(&record);
        if purpose != Purpose::WriteBack {
            self.held_record.clone_from(&record);
        }
        self.record = record;
        match purpose {
            Purpose::Take | Purpose::Release => state.peers.wake_sender(),
            // The next heartbeat reports it early enough.
            Purpose::Renew | Purpose::WriteBack => {}
        }
    }

    /// Adds to the row what all processes counted in undecided windows.
    fn include_counts(&self, record: &mut DutyRecord) {
        if let Some(next) = record.usage.next {
            record.usage.counted = self.state().duties.with_ledger(|ledger| {
                ledger.drop_before(next);
                ledger.counts_from(next)
            });
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

fn holder_name(lease: &LeaseRecord) -> &str {
    lease.holder.as_ref().map_or("-", |holder| &holder.host)
}
