//! Claims of requests that may not be repeated: a row in the table, inserted if absent,
//! before the first byte goes to an upstream.
//!
//! Claims of a few milliseconds share one transaction. A claim that came to nothing is
//! released, so that the caller who was told "not run" can come back.

use {
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
    tealshore_core::ids::HostId,
    tealshore_peers::PlaceKey,
    tealshore_table::{
        CommitError, Committed, TableClient,
        wire::{Condition, Conflict, Expect, Put, Row, Transaction},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, timeout_at},
    },
};

/// How long a claim waits for others to share its transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// The most claims in one transaction.
const BATCH_BOUND: usize = 64;
/// The most claims that wait; beyond, requests are refused as not run.
const QUEUE_BOUND: usize = 1_024;
/// The most claims that wait to be released.
const RELEASE_QUEUE_BOUND: usize = 10_000;
/// The pause before a release is tried again.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request is this host's to run, once.
    Won(Claim),
    /// It was claimed before.
    Taken {
        /// The digest of the request that was claimed.
        digest: String,
    },
    /// The table can't be asked; nothing was run, and nothing will be under this claim.
    Unavailable,
}

/// A claim that was won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    key: String,
    nonce: u64,
}

/// The content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRow {
    /// The host that claimed.
    host: HostId,
    /// Tells this claim from any other of the same request.
    nonce: u64,
    /// The digest of the request.
    digest: String,
    /// Whether the claim came to nothing: it was not run and will not be.
    released: bool,
}

struct Waiting {
    key: String,
    row: ClaimRow,
    expect: Expect,
    answer: oneshot::Sender<ClaimOutcome>,
}

/// The claims of one host.
pub struct Claims {
    host: HostId,
    queue: mpsc::Sender<Waiting>,
    releases: mpsc::Sender<Claim>,
}

impl Claims {
    /// Starts the tasks that write claims and release them.
    pub fn start(host: HostId, table: TableClient) -> Self {
        let (queue, waiting) = mpsc::channel(QUEUE_BOUND);
        let (releases, to_release) = mpsc::channel(RELEASE_QUEUE_BOUND);
        tokio::spawn(write_batches(table.clone(), waiting, releases.clone()));
        tokio::spawn(release_forever(table, host.clone(), to_release));
        Self {
            host,
            queue,
            releases,
        }
    }

    /// Claims a request.
    pub async fn claim(&self, key: &PlaceKey, digest: &str) -> ClaimOutcome {
        let row = ClaimRow {
            host: self.host.clone(),
            nonce: rand::rng().random(),
            digest: digest.to_owned(),
            released: false,
        };
        let (answer, outcome) = oneshot::channel();
        let waiting = Waiting {
            key: claim_key(key),
            row,
            expect: Expect::Absent,
            answer,
        };
        if self.queue.try_send(waiting).is_err() {
            return ClaimOutcome::Unavailable;
        }
        outcome.await.unwrap_or(ClaimOutcome::Unavailable)
    }

    /// Gives a claim back that was not run and will not be.
    pub fn release(&self, claim: Claim) {
        // A full queue only means that the caller is told "unknown" when it comes back.
        let _ = self.releases.try_send(claim);
    }
}

fn claim_key(key: &PlaceKey) -> String {
    format!("claims/{}/{}", key.customer, key.request)
}

async fn write_batches(
    table: TableClient,
    mut waiting: mpsc::Receiver<Waiting>,
    releases: mpsc::Sender<Claim>,
) {
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        let deadline = Instant::now() + BATCH_WINDOW;
        while batch.len() < BATCH_BOUND {
            match timeout_at(deadline, waiting.recv()).await {
                Ok(Some(next)) => batch.push(next),
                Ok(None) | Err(_) => break,
            }
        }
        // A slow table must not hold up the batches behind this one.
        tokio::spawn(write_batch(table.clone(), batch, releases.clone()));
    }
}

async fn write_batch(table: TableClient, batch: Vec<Waiting>, releases: mpsc::Sender<Claim>) {
    let mut batch = refuse_doubles(batch);
    while !batch.is_empty() {
        match table.commit(&transaction_of(&batch)).await {
            Ok(Committed::Yes) => {
                batch.drain(..).for_each(win);
            }
            Ok(Committed::Conflict(conflict)) => batch = settle(batch, &conflict),
            Err(error) => {
                let may_have_arrived = matches!(error, CommitError::Unknown(_));
                log::warn!("claim: {} claims failed: {error:?}", batch.len());
                for waiting in batch.drain(..) {
                    if may_have_arrived {
                        let _ = releases.try_send(Claim {
                            key: waiting.key.clone(),
                            nonce: waiting.row.nonce,
                        });
                    }
                    let _ = waiting.answer.send(ClaimOutcome::Unavailable);
                }
            }
        }
    }
}

/// Of several claims of one request in a batch, the first goes on.
fn refuse_doubles(batch: Vec<Waiting>) -> Vec<Waiting> {
    let mut digests: HashMap<String, String> = HashMap::new();
    let mut first = Vec::with_capacity(batch.len());
    for waiting in batch {
        if let Some(digest) = digests.get(&waiting.key) {
            let _ = waiting.answer.send(ClaimOutcome::Taken {
                digest: digest.clone(),
            });
        } else {
            digests.insert(waiting.key.clone(), waiting.row.digest.clone());
            first.push(waiting);
        }
    }
    first
}

fn transaction_of(batch: &[Waiting]) -> Transaction {
    let conditions = batch.iter().map(|waiting| Condition {
        key: waiting.key.clone(),
        expect: waiting.expect,
    });
    let puts = batch.iter().map(|waiting| Put {
        key: waiting.key.clone(),
        value: row_text(&waiting.row),
    });
    Transaction {
        conditions: conditions.collect(),
        puts: puts.collect(),
    }
}

/// Answers the claims that a conflict decides; the others go into the next transaction.
fn settle(batch: Vec<Waiting>, conflict: &Conflict) -> Vec<Waiting> {
    let rows: HashMap<&str, Option<&Row>> = conflict
        .failed
        .iter()
        .map(|failed| (failed.key.as_str(), failed.row.as_ref()))
        .collect();
    let mut undecided = Vec::new();
    for mut waiting in batch {
        let Some(row) = rows.get(waiting.key.as_str()) else {
            undecided.push(waiting);
            continue;
        };
        let Some((version, other)) = row.and_then(|row| Some((row.version, read_row(row)?))) else {
            // The row went away in between; what is left of the batch starts over.
            waiting.expect = Expect::Absent;
            undecided.push(waiting);
            continue;
        };
        if other.nonce == waiting.row.nonce && !other.released {
            // An earlier try took effect and its answer was lost.
            win(waiting);
        } else if other.released && other.nonce != waiting.row.nonce {
            waiting.expect = Expect::Version(version);
            undecided.push(waiting);
        } else {
            let _ = waiting.answer.send(ClaimOutcome::Taken {
                digest: other.digest,
            });
        }
    }
    undecided
}

fn win(waiting: Waiting) {
    let claim = Claim {
        key: waiting.key,
        nonce: waiting.row.nonce,
    };
    let _ = waiting.answer.send(ClaimOutcome::Won(claim));
}

async fn release_forever(table: TableClient, host: HostId, mut releases: mpsc::Receiver<Claim>) {
    while let Some(claim) = releases.recv().await {
        while !release(&table, &host, &claim).await {
            sleep(RELEASE_PAUSE).await;
        }
    }
}

/// Writes the release; whether it is settled. Where the claim's row is not there yet, a
/// late write of it may still arrive, so a released row takes its place.
async fn release(table: &TableClient, host: &HostId, claim: &Claim) -> bool {
    let Ok(row) = table.read(&claim.key).await else {
        return false;
    };
    let (expect, digest) = match row
        .as_ref()
        .and_then(|row| Some((row.version, read_row(row)?)))
    {
        Some((_, other)) if other.nonce != claim.nonce || other.released => return true,
        Some((version, own)) => (Expect::Version(version), own.digest),
        None => (Expect::Absent, String::new()),
    };
    let released = ClaimRow {
        host: host.clone(),
        nonce: claim.nonce,
        digest,
        released: true,
    };
    let transaction = Transaction {
        conditions: vec![Condition {
            key: claim.key.clone(),
            expect,
        }],
        puts: vec![Put {
            key: claim.key.clone(),
            value: row_text(&released),
        }],
    };
    matches!(table.commit(&transaction).await, Ok(Committed::Yes))
}

fn row_text(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn read_row(row: &Row) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}
