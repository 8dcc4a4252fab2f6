//! The `report` command: error-budget burn across hosts.

use {
    crate::{
        burn::{BurnReport, HostMetrics, Objective, render_html},
        outcome::Outcome,
    },
    clap::ArgMatches,
    futures::future::join_all,
    http::{Request, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::{ClientOptions, HttpClient, empty},
};

/// Timeout of the request to one host.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a host's answer.
const ANSWER_BOUND_BYTES: usize = 1024 * 1024;

/// Runs `report ADDRESS...`.
pub async fn report(args: &ArgMatches) -> Result<(), Outcome> {
    let addresses = super::operators(args);
    let client = HttpClient::new(&ClientOptions::default());
    let answers = join_all(
        addresses
            .iter()
            .map(|address| fetch_metrics(&client, *address)),
    )
    .await;
    for (address, _) in addresses
        .iter()
        .zip(&answers)
        .filter(|(_, answer)| answer.is_none())
    {
        eprintln!("tealshore: {address} sent no usable metrics");
    }
    let hosts: Vec<HostMetrics> = answers.into_iter().flatten().collect();
    if hosts.is_empty() {
        return Err(Outcome::Failed("no host sent usable metrics".to_owned()));
    }
    let report = BurnReport::new(objective(args), &hosts);
    match args.get_one::<String>("format").map(String::as_str) {
        Some("json") => print_json(&report)?,
        Some("html") => print!("{}", render_html(&report)),
        _ => print!("{}", report.to_text()),
    }
    if hosts.len() < addresses.len() {
        return Err(Outcome::Failed(
            "the report is incomplete: not every host sent usable metrics".to_owned(),
        ));
    }
    Ok(())
}

fn print_json(report: &BurnReport) -> Result<(), Outcome> {
    let json = serde_json::to_string(report).map_err(|e| Outcome::Failed(e.to_string()))?;
    println!("{json}");
    Ok(())
}

fn objective(args: &ArgMatches) -> Objective {
    let number = |name: &str, default: f64| args.get_one::<f64>(name).copied().unwrap_or(default);
    Objective {
        availability: number("availability", 0.99),
        in_time: number("in-time", 0.95),
        call_s: number("call-s", 0.3),
        stream_s: number("stream-s", 4.5),
    }
}

async fn fetch_metrics(client: &HttpClient, address: SocketAddr) -> Option<HostMetrics> {
    let request = Request::get(format!("http://{address}/metrics"))
        .body(empty())
        .ok()?;
    let fetched = client.fetch(request, TIMEOUT, ANSWER_BOUND_BYTES).await;
    let (status, body) = fetched.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    HostMetrics::parse(std::str::from_utf8(&body).ok()?).ok()
}
