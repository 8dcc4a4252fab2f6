//! Holds the lease of the duties, and does what is due while this host holds it.
//!
//! All that is decided is written with the lease before it is done: a draft of the row is changed,
//! written with the next renewal, and only what the store has confirmed leaves for the platform.

mod calls;
mod decisions;

use {
    super::Follower,
    crate::{
        duties::{CANDIDATES, DutyRecord},
        edge::{Change, Revision, StoreEra, Written, number_of},
        feed::{Contender, hosts_before},
        options::DutyOptions,
        peers::HostPhase,
        state::GatewayState,
    },
    calls::ApiPause,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::spread::spread,
    tealshore_duties::lease::{LeaseRecord, Purpose, Role, Step},
    tokio::time::{sleep, sleep_until},
};

/// How often a host that may take the lease looks at it: a small part of the time in which a lease
/// that was given up is taken.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(100);
/// How often any other host looks whether it may take the lease.
const BYSTANDER_INTERVAL: Duration = Duration::from_millis(500);
/// Between the candidates, by rank: a write and a datagram take some 30 ms, so the first one that lives
/// has told the next by then.
const CANDIDATE_DELAY: Duration = Duration::from_millis(300);
/// Hosts that start together hear each other within this; before, each would take itself for the first.
const STARTED_AFTER: Duration = Duration::from_millis(1_000);
/// How long the store may take for a call about the lease: a lost answer has to be read again, and the
/// row be renewed, within one tenure.
const STORE_BOUND: Duration = Duration::from_millis(600);
/// The pause after the store did not take a call; it doubles with each failure in turn.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// How often the pause doubles at most: a host that the store serves again is a candidate within 1.2 s.
const MOST_DOUBLINGS: u32 = 2;

/// The one that holds, or may hold, the duties.
pub(super) struct DutyKeeper {
    follower: Follower,
    options: DutyOptions,
    started: Instant,
    /// The row as the store has it, as far as is known.
    record: DutyRecord,
    /// The row as it is to be written next.
    draft: DutyRecord,
    pause: ApiPause,
    /// Calls to the store in turn that gave nothing.
    store_failures: u32,
    capacity_seen: Option<Instant>,
    /// When this host last took the lease.
    taken: Option<Instant>,
    /// The era of the store in which the lease is known.
    era: StoreEra,
}

impl DutyKeeper {
    /// Of a host that has just started; none where the deployment has no duties.
    pub(super) fn new(follower: Follower) -> Option<Self> {
        let options = follower.state.duties.options()?.clone();
        Some(Self {
            follower,
            options,
            started: Instant::now(),
            record: DutyRecord::default(),
            draft: DutyRecord::default(),
            pause: ApiPause::default(),
            store_failures: 0,
            capacity_seen: None,
            taken: None,
            era: 0,
        })
    }

    fn state(&self) -> &Arc<GatewayState> {
        &self.follower.state
    }

    /// Holds the lease whenever it falls to this host, for as long as the process lives.
    pub(super) async fn keep(&mut self) {
        loop {
            let now = Instant::now();
            self.note_era(now);
            let role = self.role(now);
            let store_time = self.state().feed.store_time(now);
            let step = self
                .state()
                .duties
                .with_lease(|lease| lease.next(store_time, role, now));
            match step {
                Step::Read => self.read().await,
                Step::Write {
                    record,
                    expected,
                    purpose,
                } => self.write(record, expected, purpose).await,
                Step::Wait(until) => {
                    if !self.act(now).await {
                        let interval = match role {
                            Role::Candidate { .. } | Role::Leaving => CANDIDATE_INTERVAL,
                            Role::Bystander => BYSTANDER_INTERVAL,
                        };
                        sleep_until(until.min(now + interval).into()).await;
                    }
                }
            }
        }
    }

    /// Gives up what is known of the lease where the store came back from an older copy.
    fn note_era(&mut self, now: Instant) {
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
        duties.with_lease(|lease| lease.note_store_restored(era, now));
    }

    /// What this host may do about the lease.
    fn role(&self, now: Instant) -> Role {
        let state = self.state();
        if state.phase(now) == HostPhase::Leaving {
            return Role::Leaving;
        }
        let peers = &state.peers;
        let is_started = now.saturating_duration_since(self.started) >= STARTED_AFTER;
        let is_able = is_started && state.feed.watermark().is_some() && state.feed.reaches_store();
        if !is_able || (peers.is_grouped() && !peers.is_relay(now)) {
            return Role::Bystander;
        }
        let others = if peers.is_grouped() {
            peers.relays(now)
        } else {
            peers.contenders(now)
        };
        let able = |other: &&Contender| other.reaches_store;
        let host = &state.options.host;
        let before = hosts_before(&host.id, host.link_mbps, others.iter().filter(able));
        match u32::try_from(before) {
            Ok(rank) if before < CANDIDATES => Role::Candidate {
                delay: CANDIDATE_DELAY * rank,
            },
            Ok(_) | Err(_) => Role::Bystander,
        }
    }

    /// Reads the row and takes it in.
    async fn read(&mut self) {
        let request = self.state().protocol.list_call(self.follower.set, None);
        let page = match self.follower.page(request, STORE_BOUND).await {
            Ok((page, _)) => page,
            Err(failure) => {
                log::info!("duties: row not read cause={}", failure.name());
                return self.pause_for_store().await;
            }
        };
        let mut row = None;
        for (revision, change) in page.changes {
            match change {
                Change::Duties(record) => row = Some((revision, *record)),
                Change::Unreadable(reason) => {
                    log::error!("duties: row unreadable revision={revision} reason={reason}");
                    return sleep(BYSTANDER_INTERVAL).await;
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
        let (revision, mut record) = row.unwrap_or_default();
        if record.lease.is_older_than(&self.record.lease) {
            log::warn!(
                "duties: row older than written here revision={revision} fence={} written_fence={}",
                record.lease.fence,
                self.record.lease.fence
            );
            // What was decided under the lost lease stays decided.
            record.usage.clone_from(&self.record.usage);
            record.orders.clone_from(&self.record.orders);
        }
        let duties = &self.state().duties;
        if duties.add_lost_decisions(&mut record.usage) {
            log::info!(
                "duties: decisions lost by the store usage_next={:?} open={}",
                record.usage.next,
                record.usage.decided.len()
            );
        }
        log::info!(
            "duties: row read revision={revision} fence={} holder={}",
            record.lease.fence,
            holder_name(&record.lease)
        );
        duties.with_ledger(|ledger| ledger.restore(&record.usage.counted));
        let lease = (revision > 0).then(|| (revision, record.lease.clone()));
        duties.with_lease(|lease_state| lease_state.note_read(lease, Instant::now()));
        self.draft.clone_from(&record);
        self.record = record;
    }

    /// Writes the draft with a change of the lease.
    async fn write(&mut self, lease: LeaseRecord, expected: Revision, purpose: Purpose) {
        let state = self.state().clone();
        let lease = state.duties.with_lease(|known| known.numbered(lease));
        let mut record = self.draft.clone();
        record.lease = lease;
        self.gather_counts(&mut record);
        let protocol = &state.protocol;
        let request = protocol.write_duties_call(&record, number_of(expected));
        let asked = Instant::now();
        let answer = self.follower.call(request, STORE_BOUND).await;
        let written = match &answer {
            // Versions of two eras may match by accident.
            Ok(answer) if answer.era != self.era => Written::Unknown,
            Ok(answer) => {
                let protocol = &state.protocol;
                protocol.read_written(answer.era, answer.status, &answer.body)
            }
            Err(_) => Written::Unknown,
        };
        match written {
            Written::Done(revision) => self.note_done(revision, record, asked, purpose),
            Written::Changed => {
                log::info!(
                    "duties: lease not written purpose={} fence={} cause=changed",
                    purpose.name(),
                    record.lease.fence
                );
                state.metrics.count_lease_write(purpose.name(), "changed");
                state.duties.with_lease(|known| known.note_changed());
            }
            Written::Unknown => {
                log::warn!(
                    "duties: lease written with unknown outcome purpose={} fence={}",
                    purpose.name(),
                    record.lease.fence
                );
                state.metrics.count_lease_write(purpose.name(), "unknown");
                state
                    .duties
                    .with_lease(|known| known.note_unknown(&record.lease, asked));
                self.pause_for_store().await;
            }
        }
    }

    /// Waits after the store did not take a call.
    async fn pause_for_store(&mut self) {
        let doublings = self.store_failures.min(MOST_DOUBLINGS);
        self.store_failures += 1;
        sleep(spread(STORE_PAUSE * (1 << doublings))).await;
    }

    fn note_done(
        &mut self,
        revision: Revision,
        record: DutyRecord,
        asked: Instant,
        purpose: Purpose,
    ) {
        self.store_failures = 0;
        let state = self.state().clone();
        let before = &self.record.lease;
        match purpose {
            Purpose::Take => {
                self.taken = Some(Instant::now());
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
        }
        state.metrics.count_lease_write(purpose.name(), "done");
        if let Some(decided) = record.usage.decided_so_far() {
            state.duties.merge_decided(&decided);
        }
        let lease = record.lease.clone();
        let now = Instant::now();
        state
            .duties
            .with_lease(|known| known.note_written(revision, lease, asked, now));
        state.metrics.duty_fence.set(
            state
                .duties
                .tenure(now)
                .map_or(0, |tenure| i64::try_from(tenure.fence).unwrap_or(i64::MAX)),
        );
        self.draft.clone_from(&record);
        self.record = record;
        match purpose {
            Purpose::Take | Purpose::Release => state.peers.wake_sender(),
            // The heartbeat tells it in time.
            Purpose::Renew => {}
        }
    }

    /// Puts into a row what all processes counted in windows that are not decided.
    fn gather_counts(&self, record: &mut DutyRecord) {
        if let Some(next) = record.usage.next {
            record.usage.counted = self.state().duties.with_ledger(|ledger| {
                ledger.forget_before(next);
                ledger.all_from(next)
            });
        }
    }

    /// Does one thing that is due, or lets it be written; whether there was one. Nothing is due
    /// without a tenure.
    async fn act(&mut self, now: Instant) -> bool {
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
