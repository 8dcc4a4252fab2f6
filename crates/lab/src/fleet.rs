//! Starts a whole system on loopback: stand-ins and entry hosts, each in its own process.

mod callers;
mod listed;
mod process;
mod setting;
mod watch;

use {
    crate::{
        link::Link,
        work::{SERVICE, declarations},
    },
    eyre::eyre,
    http::Method,
    listed::hall,
    setting::settings_text,
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::{ClientOptions, HttpClient},
    tealshore_hosts::{HostRole, ListedHost},
    tealshore_objects::ObjectsClient,
    tealshore_operators::edit::{BUCKET, Edit, apply},
    tealshore_table::{TableClient, TableOptions},
    tempfile::TempDir,
};
pub use {callers::start_call, listed::live_host_entry, process::Process, setting::Setting};

/// How long a change of the host list takes to reach the entry hosts.
const HOST_LIST_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The key that signs resume tickets in experiments.
const TICKET_KEY: &str = "k1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Options of a system.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entry hosts.
    pub routers: u64,
    /// Number of model engines.
    pub engines: u64,
    /// Number of plain services.
    pub plain: u64,
    /// Additional arguments of every engine.
    pub engine_args: Vec<String>,
    /// Whether engine N samples with salt N instead of salt 0.
    pub salted: bool,
    /// Additional arguments of the table.
    pub table_args: Vec<String>,
    /// Delay until the host list shows a change.
    pub hosts_lag: Duration,
    /// Settings of entry hosts; they override the defaults of the experiments.
    pub settings: Vec<Setting>,
    /// The site of the entry hosts.
    pub site: String,
    /// Whether processes connect directly instead of over a [`Link`], as measurements need.
    pub direct: bool,
    /// The table of another system to use instead of its own, as two sites do during a migration.
    pub shared_table: Option<SocketAddr>,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 4,
            plain: 0,
            engine_args: Vec::new(),
            salted: false,
            table_args: Vec::new(),
            hosts_lag: Duration::from_millis(100),
            settings: Vec::new(),
            site: "old".to_owned(),
            direct: false,
            shared_table: None,
        }
    }
}

/// A running entry host.
pub struct RouterProcess {
    /// The process.
    pub process: Process,
    /// The host's id.
    pub id: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The link from the host to the table.
    pub table_link: Link,
    /// The link from its peers to the host.
    pub peers_link: Link,
    /// The address for operators, which serves metrics and the status.
    pub operators: SocketAddr,
}

/// A running stand-in.
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// The stand-in's id.
    pub id: String,
    /// The address for requests and for the control paths.
    pub address: SocketAddr,
}

/// A running system.
pub struct Fleet {
    options: FleetOptions,
    directory: TempDir,
    client: HttpClient,
    /// The table.
    pub table: UpstreamProcess,
    /// The object store.
    pub objects: UpstreamProcess,
    /// The host list.
    pub hosts: UpstreamProcess,
    /// The engines.
    pub engines: Vec<UpstreamProcess>,
    /// The plain services.
    pub plain: Vec<UpstreamProcess>,
    /// The entry hosts.
    pub routers: Vec<RouterProcess>,
}

impl Fleet {
    /// Starts the whole system and waits until the entry hosts are ready.
    ///
    /// # Errors
    /// Fails if a process does not start or does not get ready.
    pub async fn start(options: FleetOptions) -> eyre::Result<Self> {
        let mut fleet = Self::start_platform(options).await?;
        if fleet.options.shared_table.is_none() {
            fleet.declare(0, &declarations()).await?;
        }
        for index in 0..fleet.options.routers {
            fleet.start_router(index).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts the system without entry hosts and without declarations.
    ///
    /// # Errors
    /// Fails if a process does not start.
    pub async fn start_platform(options: FleetOptions) -> eyre::Result<Self> {
        let directory = tempfile::tempdir()?;
        let lag_ms = options.hosts_lag.as_millis().to_string();
        let table_args: Vec<&str> = ["table"]
            .into_iter()
            .chain(options.table_args.iter().map(String::as_str))
            .collect();
        let table = start_standin(&directory, "table", &table_args).await?;
        let hosts = start_standin(&directory, "hosts", &["hosts", "--lag-ms", &lag_ms]).await?;
        let objects = start_standin(&directory, "objects", &["objects"]).await?;
        let client = HttpClient::new(&ClientOptions::default());
        let mut fleet = Self {
            options,
            directory,
            client,
            table,
            objects,
            hosts,
            engines: Vec::new(),
            plain: Vec::new(),
            routers: Vec::new(),
        };
        for index in 0..fleet.options.engines {
            fleet.start_engine(index).await?;
        }
        for index in 0..fleet.options.plain {
            let id = format!("plain-{index}");
            let plain = start_standin(&fleet.directory, &id, &["plain"]).await?;
            fleet
                .list(&[live_host_entry(
                    &id,
                    HostRole::Plain,
                    "tile-api",
                    index,
                    plain.address,
                )])
                .await?;
            fleet.plain.push(plain);
        }
        Ok(fleet)
    }

    /// Restarts a killed plain service at a new address.
    ///
    /// # Errors
    /// Fails if the process does not start.
    pub async fn restart_plain(&mut self, index: usize) -> eyre::Result<()> {
        let id = self.plain[index].id.clone();
        let plain = start_standin(&self.directory, &id, &["plain"]).await?;
        let host = live_host_entry(
            &id,
            HostRole::Plain,
            "tile-api",
            index as u64,
            plain.address,
        );
        self.list(&[host]).await?;
        self.plain[index] = plain;
        // The host list shows the change after its lag, and entry hosts poll it.
        tokio::time::sleep(HOST_LIST_SETTLE_TIME).await;
        Ok(())
    }

    /// Starts an engine and adds it to the host list.
    ///
    /// # Errors
    /// Fails if the process does not start.
    pub async fn start_engine(&mut self, index: u64) -> eyre::Result<()> {
        let id = format!("engine-{index}");
        let salt = if self.options.salted { index } else { 0 }.to_string();
        let mut args = vec!["engine", "--salt", &salt];
        args.extend(self.options.engine_args.iter().map(String::as_str));
        let engine = start_standin(&self.directory, &id, &args).await?;
        self.list(&[live_host_entry(
            &id,
            HostRole::Engine,
            SERVICE,
            index,
            engine.address,
        )])
        .await?;
        self.engines.push(engine);
        Ok(())
    }

    /// Starts an entry host and adds it to the host list.
    ///
    /// # Errors
    /// Fails if the process does not start.
    pub async fn start_router(&mut self, index: u64) -> eyre::Result<()> {
        let id = format!("entry-{index}");
        let table_link = self.link_to(self.table_address()).await?;
        let file = self.directory.path().join(format!("{id}.ini"));
        std::fs::write(
            &file,
            self.router_settings(&id, hall(index), table_link.address),
        )?;
        let file = file.display().to_string();
        let (process, line) = Process::start(
            &self.directory,
            &id,
            "tealshore-router",
            &["--settings", &file],
        )
        .await?;
        let address = |name: &str| {
            let field = line
                .split(' ')
                .find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
            field
                .and_then(|address| address.parse().ok())
                .ok_or_else(|| eyre!("{id}: no {name} address in its first line: {line}"))
        };
        let peers_link = self.link_to(address("peers")?).await?;
        let mut host = live_host_entry(&id, HostRole::Entry, "", index, address("callers")?);
        host.peer_address = Some(peers_link.address);
        self.list(std::slice::from_ref(&host)).await?;
        let operators = address("operators")?;
        self.routers.push(RouterProcess {
            process,
            id,
            callers: host.address,
            table_link,
            peers_link,
            operators,
        });
        Ok(())
    }

    async fn link_to(&self, target: SocketAddr) -> eyre::Result<Link> {
        if self.options.direct {
            return Ok(Link::direct(target));
        }
        Ok(Link::to(target).await?)
    }

    fn router_settings(&self, id: &str, hall: &str, table: SocketAddr) -> String {
        let set = Setting::new;
        let mut settings = vec![
            set("host", "id", id),
            set("host", "hall", hall),
            set("host", "site", &self.options.site),
            set("host", "callers_address", "127.0.0.1:0"),
            set("host", "peers_address", "127.0.0.1:0"),
            set("host", "operators_address", "127.0.0.1:0"),
            set("callers", "keep_addresses_ms", "500"),
            set("resume", "keys", TICKET_KEY),
            set("table", "address", &table.to_string()),
            set("hosts", "address", &self.hosts.address.to_string()),
            set("hosts", "poll_interval_ms", "200"),
        ];
        settings.extend(self.options.settings.iter().cloned());
        settings_text(&settings)
    }

    /// Adds hosts to the host list, or replaces their entries.
    ///
    /// # Errors
    /// Fails if the host list does not answer.
    pub async fn list(&self, hosts: &[ListedHost]) -> eyre::Result<()> {
        self.control(
            self.hosts.address,
            Method::PUT,
            "/control/hosts",
            Some(&hosts),
        )
        .await
    }

    /// Removes a host from the host list.
    ///
    /// # Errors
    /// Fails if the host list does not answer.
    pub async fn unlist(&self, id: &str) -> eyre::Result<()> {
        self.control::<()>(
            self.hosts.address,
            Method::DELETE,
            &format!("/control/hosts/{id}"),
            None,
        )
        .await
    }

    fn table_address(&self) -> SocketAddr {
        self.options.shared_table.unwrap_or(self.table.address)
    }

    /// Returns a client of the table with short timeouts.
    #[must_use]
    pub fn table_client(&self) -> TableClient {
        TableClient::new(TableOptions {
            address: self.table_address(),
            exchange_timeout: Duration::from_millis(500),
            operation_timeout: Duration::from_secs(5),
        })
    }

    /// Returns a client of the object store.
    ///
    /// # Errors
    /// Fails if the name of the bucket is invalid.
    pub fn objects_client(&self) -> eyre::Result<ObjectsClient> {
        Ok(ObjectsClient::new(self.objects.address, BUCKET)?)
    }

    /// Edits the declarations; returns the new version.
    ///
    /// # Errors
    /// Fails if the edit is not accepted.
    pub async fn declare(&self, base: u64, text: &str) -> eyre::Result<u64> {
        let edit = Edit {
            id: format!("lab-{base}"),
            author: "lab".to_owned(),
            base,
            text: text.to_owned(),
        };
        Ok(apply(&self.table_client(), &self.objects_client()?, &edit).await?)
    }

    /// Returns the caller addresses of all entry hosts.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.callers).collect()
    }
}

async fn start_standin(
    directory: &TempDir,
    id: &str,
    args: &[&str],
) -> eyre::Result<UpstreamProcess> {
    let (process, line) = Process::start(directory, id, "tealshore-standin", args).await?;
    let address = line
        .strip_prefix("listening ")
        .and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| eyre!("{id}: no address in its first line: {line}"))?;
    Ok(UpstreamProcess {
        process,
        id: id.to_owned(),
        address,
    })
}
