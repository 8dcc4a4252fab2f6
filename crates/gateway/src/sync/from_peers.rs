//! Learns a set of rows from other hosts: what has changed from a host of the own hall, so that
//! one call to the store serves the hall; and all of it where the store can't be reached.

use {
    super::{
        Follower,
        apply::{apply_configuration, apply_upstream},
    },
    crate::{
        connection::{CallBounds, short_call},
        edge::{RowSet, UpstreamChange},
        peers::{Reach, SetSnapshot, SnapshotRows, path_of},
    },
    bytes::Bytes,
    http::{Request, header},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The bounds of a call for a set: some times what the largest configurations take on a link
/// of 10 Mbit/s.
const SNAPSHOT_BOUNDS: CallBounds = CallBounds {
    timeout: Duration::from_millis(400),
    answer_bytes: 16 * 1024 * 1024,
};
/// How many hosts are asked before the attempt is given up.
const HOSTS_ASKED: usize = 2;

impl Follower {
    /// Learns more of the set from another host than this one knows; whether it did.
    pub(super) async fn learn_from_peers(&mut self, reach: Reach) -> bool {
        let known = self.newest();
        let is_wanted = match self.set {
            RowSet::Configuration => true,
            // Changes of upstreams are sent on; only a host that starts needs all of them.
            RowSet::Upstreams => known == 0,
            RowSet::Hosts | RowSet::Runs => false,
        };
        if !is_wanted {
            return false;
        }
        let peers = &self.state.peers;
        let sources = peers.snapshot_sources(self.set, known, reach, Instant::now());
        for source in sources.into_iter().take(HOSTS_ASKED) {
            if self.learn_from(source).await {
                return true;
            }
        }
        false
    }

    async fn learn_from(&mut self, source: SocketAddr) -> bool {
        let asked = Instant::now();
        let Some(snapshot) = fetch(self.set, source).await else {
            log::info!(
                "feed: no snapshot set={} peer={source} took_ms={}",
                self.set.name(),
                asked.elapsed().as_millis()
            );
            return false;
        };
        if snapshot.watermark.revision <= self.newest() {
            return false;
        }
        log::info!(
            "feed: snapshot set={} peer={source} revision={} took_ms={}",
            self.set.name(),
            snapshot.watermark.revision,
            asked.elapsed().as_millis()
        );
        self.apply_snapshot(snapshot, asked);
        true
    }

    fn apply_snapshot(&self, snapshot: SetSnapshot, asked: Instant) {
        let SetSnapshot {
            watermark,
            store_time,
            rows,
        } = snapshot;
        let feed = &self.state.feed;
        feed.observe_peer(store_time, asked, Instant::now());
        match rows {
            SnapshotRows::Configuration(configuration) => {
                apply_configuration(&self.state, watermark.revision, configuration);
            }
            SnapshotRows::Upstreams(rows) => {
                for (revision, record) in rows {
                    apply_upstream(&self.state, revision, UpstreamChange::Listed(record));
                }
            }
        }
        feed.advance(self.set, watermark);
        if let Some(moment) = feed.moment(watermark.written, Instant::now()) {
            self.confirm(moment);
        }
    }
}

async fn fetch(set: RowSet, source: SocketAddr) -> Option<SetSnapshot> {
    let request = Request::get(path_of(set)).header(header::HOST, source.to_string());
    let request = request.body(Bytes::new()).ok()?;
    let (status, body) = short_call(source, request, SNAPSHOT_BOUNDS).await?;
    if !status.is_success() {
        return None;
    }
    postcard::from_bytes(&body).ok()
}
