//! The `status` command: the state of entry hosts.

use {
    crate::outcome::Outcome,
    clap::ArgMatches,
    futures::future::join_all,
    http::{Request, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::{ClientOptions, HttpClient, empty},
    tealshore_router::HostStatus,
};

/// Timeout of the request to one host.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a host's answer.
const ANSWER_BOUND_BYTES: usize = 64 * 1024;

/// Runs `status ADDRESS...`.
pub async fn status(args: &ArgMatches) -> Result<(), Outcome> {
    let addresses = super::operators(args);
    let client = HttpClient::new(&ClientOptions::default());
    let answers = join_all(
        addresses
            .iter()
            .map(|address| fetch_status(&client, *address)),
    )
    .await;
    let highest = answers
        .iter()
        .flatten()
        .map(|host| host.config_version)
        .max()
        .unwrap_or(0);
    for (address, answer) in addresses.iter().zip(&answers) {
        match answer {
            None => println!("{address} does not answer"),
            Some(host) => {
                let behind = if host.config_version < highest {
                    " (behind)"
                } else {
                    ""
                };
                println!(
                    "{address} {} in {}: {}, version {}{behind}, {} in flight, {} engines known",
                    host.host,
                    host.hall,
                    host.phase,
                    host.config_version,
                    host.in_flight,
                    host.engines_known
                );
            }
        }
    }
    let current = answers
        .iter()
        .flatten()
        .filter(|host| host.config_version == highest)
        .count();
    println!(
        "version {highest} is in force on {current} of {} hosts",
        addresses.len()
    );
    if current < addresses.len() {
        return Err(Outcome::Failed(
            "the latest version is not in force on every host".to_owned(),
        ));
    }
    Ok(())
}

async fn fetch_status(client: &HttpClient, address: SocketAddr) -> Option<HostStatus> {
    let request = Request::get(format!("http://{address}/status"))
        .body(empty())
        .ok()?;
    let (status, body) = client
        .fetch(request, TIMEOUT, ANSWER_BOUND_BYTES)
        .await
        .ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}
