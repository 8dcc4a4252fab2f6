//! Measures the control overhead of idle entry hosts, and how fast an edit comes into force, for
//! several sizes of a system.

use {
    crate::{
        fleet::{Fleet, FleetOptions, Setting},
        stats::{Percentiles, round},
        usage::{Usage, loopback_bytes, usage_of},
        work::declarations_for,
    },
    std::time::{Duration, Instant},
    tealshore_standin::table::TableCounts,
};

/// How long the idle system is observed.
const IDLE_OBSERVATION_TIME: Duration = Duration::from_secs(8);
/// How many edits are timed for each size.
const EDITS: u64 = 6;

/// The size of a system.
#[derive(Clone, Copy, Debug)]
pub struct SystemSize {
    /// Number of entry hosts.
    pub routers: u64,
    /// Number of model engines.
    pub engines: u64,
    /// Number of customers.
    pub customers: u64,
}

/// Measurements for one size.
#[derive(Clone, Copy, Debug)]
pub struct ControlCost {
    /// The size.
    pub size: SystemSize,
    /// CPU time of an entry host, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory of an entry host, in MB.
    pub resident_mb: f64,
    /// Bytes per second on the loopback interface, divided by the number of entry hosts.
    pub bytes_per_s: f64,
    /// Reads of the table per second, by all entry hosts together.
    pub table_reads_per_s: f64,
    /// Time from the acceptance of an edit until it is in force on all entry hosts.
    pub in_force: Percentiles,
}

/// Measures all sizes; prints a row for each size and a final line of JSON.
///
/// # Errors
/// Fails if a system can't be started or queried.
pub async fn run(sizes: &[SystemSize]) -> eyre::Result<bool> {
    println!(
        "hosts engines customers | cpu % of a core | resident MB | bytes/s a host | table reads/s | in force ms p50, p99"
    );
    let mut rows = Vec::new();
    for size in sizes {
        let cost = measure(*size).await?;
        println!(
            "{:5} {:7} {:9} | {:15.2} | {:11.1} | {:14.0} | {:13.1} | {:.0}, {:.0}",
            size.routers,
            size.engines,
            size.customers,
            cost.cpu_percent,
            cost.resident_mb,
            cost.bytes_per_s,
            cost.table_reads_per_s,
            cost.in_force.p50,
            cost.in_force.p99
        );
        rows.push(cost_json(&cost));
    }
    println!("{}", serde_json::json!({ "control": rows }));
    Ok(true)
}

async fn measure(size: SystemSize) -> eyre::Result<ControlCost> {
    let options = FleetOptions {
        routers: size.routers,
        engines: size.engines,
        // Long steps keep the CPU use of idle stand-ins out of the measurement.
        engine_args: ["--step-ms", "200"].map(str::to_owned).to_vec(),
        hosts_lag: Duration::ZERO,
        direct: true,
        settings: vec![Setting::new("hosts", "poll_interval_ms", "1000")],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await?;
    fleet.declare(1, &declarations_for(size.customers)).await?;
    fleet.wait_until_version(2).await?;
    let before = snapshot(&fleet).await?;
    tokio::time::sleep(IDLE_OBSERVATION_TIME).await;
    let after = snapshot(&fleet).await?;
    let in_force = time_edits(&fleet, size.customers).await?;
    let hosts = size.routers as f64;
    let seconds = (after.at - before.at).as_secs_f64();
    Ok(ControlCost {
        size,
        cpu_percent: (after.usage.cpu - before.usage.cpu).as_secs_f64() / seconds / hosts * 100.0,
        resident_mb: after.usage.resident_bytes as f64 / hosts / 1e6,
        bytes_per_s: (after.bytes - before.bytes) as f64 / seconds / hosts,
        table_reads_per_s: (after.table.reads - before.table.reads) as f64 / seconds,
        in_force,
    })
}

struct Snapshot {
    at: Instant,
    usage: Usage,
    bytes: u64,
    table: TableCounts,
}

async fn snapshot(fleet: &Fleet) -> eyre::Result<Snapshot> {
    let table = fleet.read(fleet.table.address, "/control/counts").await?;
    let mut usage = Usage::default();
    for router in &fleet.routers {
        let router_usage = usage_of(router.process.id())?;
        usage.cpu += router_usage.cpu;
        usage.resident_bytes += router_usage.resident_bytes;
    }
    Ok(Snapshot {
        at: Instant::now(),
        usage,
        bytes: loopback_bytes()?,
        table,
    })
}

async fn time_edits(fleet: &Fleet, customers: u64) -> eyre::Result<Percentiles> {
    let text = declarations_for(customers);
    let mut times_ms = Vec::new();
    for base in 2..2 + EDITS {
        let version = fleet.declare(base, &text).await?;
        let accepted = Instant::now();
        fleet.wait_until_version(version).await?;
        times_ms.push(accepted.elapsed().as_secs_f64() * 1e3);
    }
    Ok(Percentiles::of(times_ms))
}

fn cost_json(cost: &ControlCost) -> serde_json::Value {
    serde_json::json!({
        "hosts": cost.size.routers,
        "engines": cost.size.engines,
        "customers": cost.size.customers,
        "cpu_percent": round(cost.cpu_percent),
        "resident_mb": round(cost.resident_mb),
        "bytes_per_s": round(cost.bytes_per_s),
        "table_reads_per_s": round(cost.table_reads_per_s),
        "in_force_ms_p50": round(cost.in_force.p50),
        "in_force_ms_p99": round(cost.in_force.p99),
    })
}
