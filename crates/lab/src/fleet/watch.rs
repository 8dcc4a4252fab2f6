//! Queries and controls a running system, and waits for states of it.

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

/// How long entry hosts may take to get ready or to reach a version.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request to a process.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for reading the work counts of an engine; a frozen one does not answer.
const WORK_COUNTS_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the answer to a request.
const MAX_CONTROL_ANSWER_BYTES: usize = 16 * 1024 * 1024;

impl Fleet {
    /// Replaces the injected faults of the table.
    ///
    /// # Errors
    /// Fails if the table does not answer.
    pub async fn set_table_faults(&self, faults: &TableFaults) -> eyre::Result<()> {
        self.control(
            self.table.address,
            Method::PUT,
            "/control/faults",
            Some(faults),
        )
        .await
    }

    /// Replaces the injected faults of an engine.
    ///
    /// # Errors
    /// Fails if the engine does not answer.
    pub async fn set_engine_faults(&self, index: usize, faults: &EngineFaults) -> eyre::Result<()> {
        self.control(
            self.engines[index].address,
            Method::PUT,
            "/control/faults",
            Some(faults),
        )
        .await
    }

    /// Sends a request to a control path.
    ///
    /// # Errors
    /// Fails if there is no answer, or no success status.
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
            bail!(
                "http://{address}{path} answered {status}: {}",
                String::from_utf8_lossy(&body)
            );
        }
        Ok(())
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    /// Fails if there is no answer, another status than 200, or another document.
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
            bail!("http://{address}{path} answered {status}");
        }
        serde_json::from_slice(&body).wrap_err_with(|| path.to_owned())
    }

    /// Returns the value of a metric without labels of an entry host.
    ///
    /// # Errors
    /// Fails if the host does not answer or does not have the metric.
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
            .ok_or_else(|| eyre!("entry host {router} has no metric {name}"))
    }

    /// Returns the work counts of all engines that answer, with their ids.
    pub async fn work(&self) -> Vec<(String, WorkCounts)> {
        let mut all = Vec::new();
        for engine in self
            .engines
            .iter()
            .filter(|engine| engine.process.is_running())
        {
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

    /// Returns the running engines that ran a request, in start order.
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

    /// Returns how often a request ran on engines that are still running.
    pub async fn runs_of(&self, work: &Work) -> u32 {
        let request = work.engine_request_id();
        let counts = self.work().await;
        counts
            .iter()
            .filter_map(|(_, counts)| counts.runs.get(&request))
            .sum()
    }

    /// Waits until each entry host runs declarations and knows all engines, plain services and peers.
    ///
    /// # Errors
    /// Fails if it takes too long.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            while !self.is_ready(router).await {
                if Instant::now() >= deadline {
                    bail!("{} is not ready in time", router.id);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until each entry host runs at least this version of the declarations.
    ///
    /// # Errors
    /// Fails if it takes too long, or if a host does not answer.
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

    /// Waits until a change of the host list and new load reports have reached all entry hosts.
    ///
    /// # Errors
    /// Fails if an entry host does not get ready.
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
