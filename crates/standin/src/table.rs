//! Stand-in for the platform's table: conditional transactions, rate limits, outages, delays, and
//! answers that are lost after the write took effect.

use {
    crate::{bounds::server_options, reply},
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        future::pending,
        sync::Arc,
        time::{Duration, Instant},
    },
    tealshore_core::http::{Body, serve as serve_http},
    tealshore_table::wire::{
        Conflict, Expect, FailedCondition, ROWS_PATH, Row, TRANSACTIONS_PATH, Transaction,
    },
    tokio::net::TcpListener,
};

/// The rate limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Maximum transactions per second.
    pub writes_per_s: u64,
    /// Maximum reads per second.
    pub reads_per_s: u64,
}

/// Injected faults of the table, set at `/control/faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TableFaults {
    /// Answers every request with 503 and does nothing else.
    pub outage: bool,
    /// Never answers and does nothing.
    pub silent: bool,
    /// Delay added to each request, in milliseconds.
    pub slow_ms: u64,
    /// The number of transactions that are executed but never answered.
    pub lose_answers: u32,
}

/// Request counts of the table, read at `/control/counts`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct TableCounts {
    /// Reads within the rate limit.
    pub reads: u64,
    /// Transactions within the rate limit, committed or not.
    pub writes: u64,
    /// Requests refused with 429 because of the rate limits.
    pub refused: u64,
}

struct TokenBucket {
    rate_per_s: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate_per_s: u64) -> Self {
        let rate_per_s = rate_per_s as f64;
        Self {
            rate_per_s,
            available: rate_per_s,
            refilled_at: Instant::now(),
        }
    }

    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.refilled_at = now;
        self.available = (self.available + refill).min(self.rate_per_s);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

struct Table {
    rows: BTreeMap<String, Row>,
    faults: TableFaults,
    counts: TableCounts,
    writes: TokenBucket,
    reads: TokenBucket,
}

type Shared = Arc<Mutex<Table>>;

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener, rates: Rates) {
    let table = Table {
        rows: BTreeMap::new(),
        faults: TableFaults::default(),
        counts: TableCounts::default(),
        writes: TokenBucket::new(rates.writes_per_s),
        reads: TokenBucket::new(rates.reads_per_s),
    };
    let shared: Shared = Arc::new(Mutex::new(table));
    let handler = move |request| handle(shared.clone(), request);
    serve_http(listener, server_options(), handler, pending()).await;
}

async fn handle(table: Shared, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::PUT, "/control/faults") => set_faults(&table, request).await,
        (Method::GET, "/control/counts") => reply::json(StatusCode::OK, &table.lock().counts),
        (method, _) => {
            let faults = table.lock().faults.clone();
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
            if faults.silent {
                return pending().await;
            }
            if faults.outage {
                return reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            exchange(&table, method, &path, request).await
        }
    }
}

async fn set_faults(table: &Shared, request: Request<Incoming>) -> Response<Body> {
    match reply::read_json(request).await {
        Ok(faults) => {
            table.lock().faults = faults;
            reply::status(StatusCode::NO_CONTENT)
        }
        Err(answer) => answer,
    }
}

async fn exchange(
    table: &Shared,
    method: Method,
    path: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    if method == Method::POST && path == TRANSACTIONS_PATH {
        return match reply::read_json(request).await {
            Ok(transaction) => transact(table, &transaction).await,
            Err(answer) => answer,
        };
    }
    if method == Method::GET && path == ROWS_PATH {
        return list(table, reply::query(&request, "prefix").unwrap_or_default());
    }
    match path
        .strip_prefix(ROWS_PATH)
        .and_then(|rest| rest.strip_prefix('/'))
    {
        Some(key) if method == Method::GET => read(table, key),
        _ => reply::status(StatusCode::BAD_REQUEST),
    }
}

async fn transact(table: &Shared, transaction: &Transaction) -> Response<Body> {
    let (answer, drops_answer) = {
        let mut table = table.lock();
        if !table.writes.try_take() {
            table.counts.refused += 1;
            return reply::status(StatusCode::TOO_MANY_REQUESTS);
        }
        table.counts.writes += 1;
        let drops_answer = table.faults.lose_answers > 0;
        table.faults.lose_answers = table.faults.lose_answers.saturating_sub(1);
        (apply(&mut table.rows, transaction), drops_answer)
    };
    if drops_answer {
        // The transaction was executed, but its answer is never sent.
        return pending().await;
    }
    answer
}

fn apply(rows: &mut BTreeMap<String, Row>, transaction: &Transaction) -> Response<Body> {
    let condition_holds = |key: &str, expect: Expect| match (rows.get(key), expect) {
        (None, Expect::Absent) => true,
        (Some(row), Expect::Version(version)) => row.version == version,
        _ => false,
    };
    let failed = transaction
        .conditions
        .iter()
        .filter(|condition| !condition_holds(&condition.key, condition.expect));
    let failed: Vec<_> = failed
        .map(|condition| FailedCondition {
            key: condition.key.clone(),
            row: rows.get(&condition.key).cloned(),
        })
        .collect();
    if !failed.is_empty() {
        return reply::json(StatusCode::CONFLICT, &Conflict { failed });
    }
    for put in &transaction.puts {
        let version = rows.get(&put.key).map_or(0, |row| row.version) + 1;
        rows.insert(
            put.key.clone(),
            Row {
                key: put.key.clone(),
                version,
                value: put.value.clone(),
            },
        );
    }
    reply::status(StatusCode::OK)
}

fn try_take_read(table: &mut Table) -> bool {
    let taken = table.reads.try_take();
    if taken {
        table.counts.reads += 1;
    } else {
        table.counts.refused += 1;
    }
    taken
}

fn read(table: &Shared, key: &str) -> Response<Body> {
    let mut table = table.lock();
    if !try_take_read(&mut table) {
        return reply::status(StatusCode::TOO_MANY_REQUESTS);
    }
    match table.rows.get(key) {
        Some(row) => reply::json(StatusCode::OK, row),
        None => reply::status(StatusCode::NOT_FOUND),
    }
}

fn list(table: &Shared, prefix: &str) -> Response<Body> {
    let mut table = table.lock();
    if !try_take_read(&mut table) {
        return reply::status(StatusCode::TOO_MANY_REQUESTS);
    }
    let rows: Vec<&Row> = table
        .rows
        .range(prefix.to_owned()..)
        .map(|(_, row)| row)
        .take_while(|row| row.key.starts_with(prefix))
        .collect();
    reply::json(StatusCode::OK, &rows)
}
