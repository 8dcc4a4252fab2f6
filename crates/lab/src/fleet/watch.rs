//! Reads and steers a running system from outside, and waits for its states.

use {
    super::{Fleet, HOST_LIST_SETTLE_TIME, RouterProcess},
    crate::work::Work,
    eyre::{WrapErr, bail, eyre},
    http::{Method, Request, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tealshore_core::http::{empty, json_body},
    tealshore_router::HostStatus,
    tealshore_standin::{
        engine::{EngineFaults, WorkCounts},
        table::TableFaults,
    },
    tokio::time::timeout,
};

/// How long the system may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a control exchange may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an engine may take to tell its counts.
const WORK_COUNTS_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest answer to a control exchange.
const MAX_CONTROL_ANSWER_BYTES: usize = 16 * 1024 * 1024;

impl Fleet {
    /// Sets what is wrong with the table.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn set_table_faults(&self, faults: &TableFaults) -> eyre::Result<()> {
        self.control(
            self.table.address,
            Method::PUT,
            "/control/faults",
            Some(faults),
        )
        .await
    }

    /// Sets what is wrong with an engine.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn set_engine_faults(&self, index: usize, faults: &EngineFaults) -> eyre::Result<()> {
        self.control(
            self.engines[index].address,
            Method::PUT,
            "/control/faults",
            Some(faults),
        )
        .await
    }

    /// Sends a control exchange.
    ///
    /// # Errors
    /// It is not answered, or refused.
    pub async fn control<T: Serialize + ?Sized>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        value: Option<&T>,
    ) -> eyre::Result<()> {
        let body = value.map_or_else(empty, |value| json_body(value));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(body)?;
        let (status, body) = self
            .client
            .fetch(request, CONTROL_TIMEOUT, MAX_CONTROL_ANSWER_BYTES)
            .await?;
        if !status.is_success() {
            bail!("{path}: {status} {}", String::from_utf8_lossy(&body));
        }
        Ok(())
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// It can't be had.
    pub async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> eyre::Result<T> {
        let request = Request::get(format!("http://{address}{path}")).body(empty())?;
        let (status, body) = self
            .client
            .fetch(request, CONTROL_TIMEOUT, MAX_CONTROL_ANSWER_BYTES)
            .await?;
        if status != StatusCode::OK {
            bail!("{path}: {status}");
        }
        serde_json::from_slice(&body).wrap_err_with(|| path.to_owned())
    }

    /// The value of a metric of an entry host that has no labels.
    ///
    /// # Errors
    /// The host does not answer, or has no such metric.
    pub async fn metric(&self, router: usize, name: &str) -> eyre::Result<f64> {
        let address = self.routers[router].operators;
        let request = Request::get(format!("http://{address}/metrics")).body(empty())?;
        let (_, body) = self
            .client
            .fetch(request, CONTROL_TIMEOUT, MAX_CONTROL_ANSWER_BYTES)
            .await?;
        let text = String::from_utf8_lossy(&body);
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| eyre!("no metric {name}"))
    }

    /// The work of all engines that answer, by engine.
    pub async fn work(&self) -> Vec<(String, WorkCounts)> {
        let mut all = Vec::new();
        for engine in self
            .engines
            .iter()
            .filter(|engine| engine.process.is_running())
        {
            // A frozen engine does not answer.
            let reading = timeout(
                WORK_COUNTS_TIMEOUT,
                self.read(engine.address, "/control/work"),
            );
            if let Ok(Ok(counts)) = reading.await {
                all.push((engine.id.clone(), counts));
            }
        }
        all
    }

    /// The engines that ran a request and are not killed, in the order of their start.
    pub async fn engines_of(&self, work: &Work) -> Vec<usize> {
        let request = work.engine_request_id();
        let counts = self.work().await;
        let ran = counts
            .iter()
            .filter(|(_, counts)| counts.runs.contains_key(&request));
        let ran: Vec<&String> = ran.map(|(id, _)| id).collect();
        (0..self.engines.len())
            .filter(|index| ran.contains(&&self.engines[*index].id))
            .collect()
    }

    /// How often a request ran on engines that are not killed.
    pub async fn runs_of(&self, work: &Work) -> u32 {
        let request = work.engine_request_id();
        let counts = self.work().await;
        counts
            .iter()
            .filter_map(|(_, counts)| counts.runs.get(&request))
            .sum()
    }

    /// Waits until each entry host is ready and knows an engine.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            while !self.is_ready(router).await {
                if Instant::now() >= deadline {
                    bail!("{} is not ready", router.id);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until each entry host runs at least this version of the declarations.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn wait_until_version(&self, version: u64) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            loop {
                let status: HostStatus = self.read(router.operators, "/status").await?;
                if status.config_version >= version {
                    break;
                }
                if Instant::now() >= deadline {
                    bail!("{} still runs version {}", router.id, status.config_version);
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Waits until a change of the host list and new loads have reached all entry hosts.
    ///
    /// # Errors
    /// An entry host does not answer.
    pub async fn wait_for_loads(&self) -> eyre::Result<()> {
        tokio::time::sleep(HOST_LIST_SETTLE_TIME).await;
        self.wait_until_ready().await
    }

    async fn is_ready(&self, router: &RouterProcess) -> bool {
        let status: eyre::Result<HostStatus> = self.read(router.operators, "/status").await;
        let Ok(status) = status else { return false };
        status.config_version > 0
            && status.engines_reported >= self.engines.len()
            && status.plain_known >= self.plain.len()
            && status.peers_known + 1 >= self.routers.len()
    }
}
