//! Claims for requests that must not be repeated. A claim is a table row that is inserted if
//! absent before the first byte goes to an upstream.
//!
//! Claims that arrive within a few milliseconds are committed in one transaction. The claim of
//! a request that did not run is released, so that a caller that was told so can send the
//! request again.

use {
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
    tealshore_core::ids::HostId,
    tealshore_peers::RequestKey,
    tealshore_table::{
        CommitError, Committed, TableClient,
        wire::{Condition, Conflict, Expect, Put, Row, Transaction},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, timeout_at},
    },
};

/// How long the first claim of a batch waits for others to join its transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Maximum number of claims in one transaction.
const MAX_BATCH_SIZE: usize = 64;
/// Maximum number of queued claims; further requests are rejected as not run.
const CLAIM_QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of claims queued for release.
const RELEASE_QUEUE_CAPACITY: usize = 10_000;
/// Delay before a failed release is retried.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host holds the claim and may run the request once.
    Acquired(Claim),
    /// The request was claimed before.
    Taken {
        /// Digest of the request that was claimed.
        digest: String,
    },
    /// The table is unavailable; nothing was run, and nothing will be under this claim.
    Unavailable,
}

/// A claim held by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    key: String,
    nonce: u64,
}

/// The value of a claim's row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRow {
    /// The host that made the claim.
    host: HostId,
    /// Distinguishes this claim from other claims for the same request.
    nonce: u64,
    /// Digest of the request.
    digest: String,
    /// Whether the claim was released: the request was not run and will not be under it.
    released: bool,
}

struct PendingClaim {
    key: String,
    row: ClaimRow,
    expect: Expect,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// Acquires and releases the claims of this host.
pub struct Claims {
    host: HostId,
    queue: mpsc::Sender<PendingClaim>,
    releases: mpsc::Sender<Claim>,
}

impl Claims {
    /// Starts the tasks that commit and release claims.
    pub fn start(host: HostId, table: TableClient) -> Self {
        let (queue, pending) = mpsc::channel(CLAIM_QUEUE_CAPACITY);
        let (releases, to_release) = mpsc::channel(RELEASE_QUEUE_CAPACITY);
        tokio::spawn(write_batches(table.clone(), pending, releases.clone()));
        tokio::spawn(run_releases(table, host.clone(), to_release));
        Self {
            host,
            queue,
            releases,
        }
    }

    /// Claims the request `key` with the given digest.
    pub async fn claim(&self, key: &RequestKey, digest: &str) -> ClaimOutcome {
        let row = ClaimRow {
            host: self.host.clone(),
            nonce: rand::rng().random(),
            digest: digest.to_owned(),
            released: false,
        };
        let (reply, outcome) = oneshot::channel();
        let pending = PendingClaim {
            key: claim_key(key),
            row,
            expect: Expect::Absent,
            reply,
        };
        if self.queue.try_send(pending).is_err() {
            return ClaimOutcome::Unavailable;
        }
        outcome.await.unwrap_or(ClaimOutcome::Unavailable)
    }

    /// Releases the claim of a request that was not run and will not be.
    pub fn release(&self, claim: Claim) {
        // If the queue is full, the claim stays, and a retry of the request gets `AlreadyClaimed`
        // with an unknown outcome.
        let _ = self.releases.try_send(claim);
    }
}

fn claim_key(key: &RequestKey) -> String {
    format!("claims/{}/{}", key.customer, key.request)
}

async fn write_batches(
    table: TableClient,
    mut pending: mpsc::Receiver<PendingClaim>,
    releases: mpsc::Sender<Claim>,
) {
    while let Some(first) = pending.recv().await {
        let mut batch = vec![first];
        let deadline = Instant::now() + BATCH_WINDOW;
        while batch.len() < MAX_BATCH_SIZE {
            match timeout_at(deadline, pending.recv()).await {
                Ok(Some(next)) => batch.push(next),
                Ok(None) | Err(_) => break,
            }
        }
        // Runs in its own task, so that a slow table does not delay the next batches.
        tokio::spawn(write_batch(table.clone(), batch, releases.clone()));
    }
}

async fn write_batch(table: TableClient, batch: Vec<PendingClaim>, releases: mpsc::Sender<Claim>) {
    let mut batch = reject_duplicates(batch);
    while !batch.is_empty() {
        match table.commit(&build_transaction(&batch)).await {
            Ok(Committed::Yes) => {
                batch.drain(..).for_each(send_acquired);
            }
            Ok(Committed::Conflict(conflict)) => batch = resolve_conflict(batch, &conflict),
            Err(error) => {
                let may_have_arrived = matches!(error, CommitError::Unknown(_));
                log::warn!("claim: failed to commit {} claims: {error:?}", batch.len());
                for pending in batch.drain(..) {
                    if may_have_arrived {
                        let _ = releases.try_send(Claim {
                            key: pending.key.clone(),
                            nonce: pending.row.nonce,
                        });
                    }
                    let _ = pending.reply.send(ClaimOutcome::Unavailable);
                }
            }
        }
    }
}

/// Keeps the first of several claims for one request in a batch and answers the others.
fn reject_duplicates(batch: Vec<PendingClaim>) -> Vec<PendingClaim> {
    let mut digests: HashMap<String, String> = HashMap::new();
    let mut unique = Vec::with_capacity(batch.len());
    for pending in batch {
        if let Some(digest) = digests.get(&pending.key) {
            let _ = pending.reply.send(ClaimOutcome::Taken {
                digest: digest.clone(),
            });
        } else {
            digests.insert(pending.key.clone(), pending.row.digest.clone());
            unique.push(pending);
        }
    }
    unique
}

fn build_transaction(batch: &[PendingClaim]) -> Transaction {
    let conditions = batch.iter().map(|pending| Condition {
        key: pending.key.clone(),
        expect: pending.expect,
    });
    let puts = batch.iter().map(|pending| Put {
        key: pending.key.clone(),
        value: encode_row(&pending.row),
    });
    Transaction {
        conditions: conditions.collect(),
        puts: puts.collect(),
    }
}

/// Answers the claims that the conflict decides and returns the others, which go into the next
/// transaction.
fn resolve_conflict(batch: Vec<PendingClaim>, conflict: &Conflict) -> Vec<PendingClaim> {
    let rows: HashMap<&str, Option<&Row>> = conflict
        .failed
        .iter()
        .map(|failed| (failed.key.as_str(), failed.row.as_ref()))
        .collect();
    let mut retry = Vec::new();
    for mut pending in batch {
        let Some(row) = rows.get(pending.key.as_str()) else {
            retry.push(pending);
            continue;
        };
        let Some((version, existing)) = row.and_then(|row| Some((row.version, decode_row(row)?)))
        else {
            // No readable row: retries the insert with what is left of the batch.
            pending.expect = Expect::Absent;
            retry.push(pending);
            continue;
        };
        if existing.nonce == pending.row.nonce && !existing.released {
            // An earlier attempt of this transaction committed, but its response was lost.
            send_acquired(pending);
        } else if existing.released && existing.nonce != pending.row.nonce {
            pending.expect = Expect::Version(version);
            retry.push(pending);
        } else {
            let _ = pending.reply.send(ClaimOutcome::Taken {
                digest: existing.digest,
            });
        }
    }
    retry
}

fn send_acquired(pending: PendingClaim) {
    let claim = Claim {
        key: pending.key,
        nonce: pending.row.nonce,
    };
    let _ = pending.reply.send(ClaimOutcome::Acquired(claim));
}

async fn run_releases(table: TableClient, host: HostId, mut releases: mpsc::Receiver<Claim>) {
    while let Some(claim) = releases.recv().await {
        while !release(&table, &host, &claim).await {
            sleep(RELEASE_RETRY_DELAY).await;
        }
    }
}

/// Marks the claim's row as released and returns whether no retry is needed. If the row does
/// not exist, a delayed write may still create it, so a released row is inserted to block it.
async fn release(table: &TableClient, host: &HostId, claim: &Claim) -> bool {
    let Ok(row) = table.read(&claim.key).await else {
        return false;
    };
    let (expect, digest) = match row
        .as_ref()
        .and_then(|row| Some((row.version, decode_row(row)?)))
    {
        Some((_, existing)) if existing.nonce != claim.nonce || existing.released => return true,
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
            value: encode_row(&released),
        }],
    };
    matches!(table.commit(&transaction).await, Ok(Committed::Yes))
}

fn encode_row(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn decode_row(row: &Row) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}
