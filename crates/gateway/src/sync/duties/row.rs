//! Reads and writes the stored row with the lease and the decisions.

use {
    super::{DutyRunner, NON_CANDIDATE_INTERVAL},
    crate::{
        duties::DutyRecord,
        edge::{Change, Revision, WriteOutcome, row_number_of},
    },
    std::time::{Duration, Instant},
    tealshore_core::{clock, spread::with_jitter},
    tealshore_duties::lease::{LeaseRecord, Purpose, Step},
    tokio::time::sleep,
};

/// Time limit of a store call about the lease. After a lost answer, the row can still be read and the
/// lease renewed within one tenure.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Base pause after a failed call to the store; it doubles with each consecutive failure.
const STORE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of doublings. The base pause stays at 1.2 s or below, so that a host that the store
/// serves again soon becomes a candidate.
const MAX_DOUBLINGS: u32 = 2;

impl DutyRunner {
    /// Reads the row and applies it.
    pub(super) async fn read(&mut self) {
        let request = self.state().protocol.list_call(self.follower.set, None);
        let sent_at = clock::now();
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
        self.accept_record(row, sent_at);
    }

    fn accept_record(&mut self, row: Option<(Revision, DutyRecord)>, sent_at: Instant) {
        self.store_failures = 0;
        let era = self.state().feed.era();
        self.first_era.get_or_insert(era);
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
        duties.with_lease(|known| known.record_read(lease, sent_at, clock::now()));
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
    pub(super) async fn write_back(&mut self) -> bool {
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
    pub(super) async fn write(&mut self, lease: LeaseRecord, expected: Revision, purpose: Purpose) {
        let state = self.state().clone();
        let lease = match purpose {
            Purpose::Take | Purpose::Renew | Purpose::Release => {
                state.duties.with_lease(|known| known.prepare_write(lease))
            }
            Purpose::WriteBack => lease,
        };
        if purpose == Purpose::Take {
            self.leave_out_unwitnessed(clock::now());
        }
        let mut record = self.draft.clone();
        record.lease = lease;
        self.include_counts(&mut record);
        let protocol = &state.protocol;
        let request = protocol.write_duties_call(&record, row_number_of(expected));
        let sent_at = clock::now();
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
                self.lease_taken_at = Some(clock::now());
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
        let now = clock::now();
        state.duties.with_lease(|known| match purpose {
            Purpose::Take | Purpose::Renew | Purpose::Release => {
                known.record_written(revision, lease, sent_at, now);
            }
            Purpose::WriteBack => known.record_written_back(revision, lease, sent_at, now),
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
}

fn holder_name(lease: &LeaseRecord) -> &str {
    lease.holder.as_ref().map_or("-", |holder| &holder.host)
}
