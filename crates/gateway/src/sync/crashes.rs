//! Keeps in the store which requests crash upstreams, so that it outlasts the loss of all hosts. One host writes it
//! for its group, the one that feeds the others.

use {
    super::Follower,
    std::time::{Duration, Instant},
    tealshore_quarantine::news::{CrashUpdate, UpdateSize},
    tokio::time::sleep,
};

/// How often it is written, while it changes: a request that crashes upstreams does so about once a second.
const CRASHES_INTERVAL: Duration = Duration::from_millis(700);
/// How often a host that starts looks whether another one told it.
const CRASHES_LOOK_INTERVAL: Duration = Duration::from_millis(10);

impl Follower {
    /// Learns what was known before this host started, then keeps in the store what is known, while this
    /// host feeds the others or has none.
    pub(super) async fn keep_crashes(&mut self) {
        self.restore_crashes().await;
        let mut written: Vec<(u64, UpdateSize)> = Vec::new();
        loop {
            sleep(CRASHES_INTERVAL).await;
            if self.may_lack_own_rows() {
                written.clear();
            }
            let now = Instant::now();
            let suspects = self.state.crashes.suspects(now);
            let sizes = sizes_of(&suspects);
            let store_time = self.state.feed.store_time(now);
            let (Some(store_time), true) = (store_time, sizes != written) else {
                continue;
            };
            if !self.writes_for_group(now) {
                continue;
            }
            let group = self.group_row();
            let protocol = &self.state.protocol;
            let request = protocol.write_crashes_call(&group, &suspects, store_time);
            match self.write(request).await {
                Ok(()) => {
                    self.note_regained();
                    log::info!("quarantine: stored requests={}", suspects.len());
                    written = sizes;
                }
                Err(failure) => self.pause_after(&failure).await,
            }
        }
    }

    /// Learns what was known before this host started: from another host, or where all have lost it,
    /// from the store. At the first start of the whole system nothing was.
    async fn restore_crashes(&mut self) {
        if self.state.options.host.is_first_start {
            self.state.crashes.note_restored();
            return;
        }
        self.learn_earlier_crashes().await;
        self.state.crashes.note_restored();
        // Others that start wait for one that knows it.
        self.state.peers.wake_sender();
    }

    async fn learn_earlier_crashes(&mut self) {
        let started = Instant::now();
        while started.elapsed() < self.start_patience(Instant::now()) {
            // A host that knows it tells it with its state.
            if self.state.crashes.is_restored() {
                return;
            }
            sleep(CRASHES_LOOK_INTERVAL).await;
        }
        while let Err(failure) = self.read_full_set().await {
            if self.state.crashes.is_restored() {
                return;
            }
            self.pause_after(&failure).await;
        }
    }
}

fn sizes_of(suspects: &[CrashUpdate]) -> Vec<(u64, UpdateSize)> {
    let mut sizes: Vec<_> = suspects
        .iter()
        .map(|news| (news.request, news.size()))
        .collect();
    sizes.sort_unstable();
    sizes
}
