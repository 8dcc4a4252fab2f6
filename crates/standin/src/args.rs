//! Defines and runs the command line of the stand-ins.

use {
    crate::{
        engine::{self, EngineOptions},
        hosts, objects, plain, table,
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    std::{net::SocketAddr, time::Duration},
    tealshore_core::http::bind,
    tokio::net::TcpListener,
};

/// Builds the parser of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-standin")
        .about("Runs stand-ins for engines, plain services and the platform")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(table_command())
        .subcommand(hosts_command())
        .subcommand(plain_command())
        .subcommand(objects_command())
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help(
            "The address to listen on; with port 0 the first line of output names the chosen port",
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("Runs a model engine")
        .arg(listen_arg())
        .arg(number_arg(
            "step-ms",
            "20",
            "Duration of one decode step, in milliseconds",
        ))
        .arg(number_arg("slots", "32", "Sequences that run concurrently"))
        .arg(number_arg(
            "prefill-per-step",
            "512",
            "Prompt tokens computed in one step",
        ))
        .arg(number_arg(
            "kv-tokens",
            "200000",
            "Capacity of the KV cache, in tokens",
        ))
        .arg(number_arg(
            "salt",
            "0",
            "Salt of the sampling; engines with different salts sample different tokens",
        ))
        .arg(number_arg(
            "orphan-ms",
            "10000",
            "How long a stream without readers continues, in milliseconds",
        ))
        .arg(number_arg(
            "load-lag-ms",
            "500",
            "Age of the load report, in milliseconds",
        ))
}

fn table_command() -> Command {
    Command::new("table")
        .about("Runs the platform's transactional table")
        .arg(listen_arg())
        .arg(number_arg(
            "writes-per-s",
            "300",
            "Maximum transactions per second",
        ))
        .arg(number_arg(
            "reads-per-s",
            "2000",
            "Maximum reads per second",
        ))
}

fn hosts_command() -> Command {
    Command::new("hosts")
        .about("Runs the platform's host list")
        .arg(listen_arg())
        .arg(number_arg(
            "lag-ms",
            "1000",
            "Age of the served list, in milliseconds",
        ))
}

fn plain_command() -> Command {
    Command::new("plain")
        .about("Runs a plain service")
        .arg(listen_arg())
}

fn objects_command() -> Command {
    Command::new("objects")
        .about("Runs the platform's object store")
        .arg(listen_arg())
}

/// Runs the stand-in given by the subcommand.
///
/// # Errors
/// Fails if the address can't be bound.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("engine", args)) => engine::serve(listen(args).await?, engine_options(args)).await,
        Some(("table", args)) => {
            let rates = table::Rates {
                writes_per_s: number(args, "writes-per-s"),
                reads_per_s: number(args, "reads-per-s"),
            };
            table::serve(listen(args).await?, rates).await;
        }
        Some(("hosts", args)) => {
            hosts::serve(listen(args).await?, milliseconds(args, "lag-ms")).await
        }
        Some(("objects", args)) => objects::serve(listen(args).await?).await,
        Some(("plain", args)) => plain::serve(listen(args).await?).await,
        _ => {}
    }
    Ok(())
}

fn engine_options(args: &ArgMatches) -> EngineOptions {
    EngineOptions {
        step: milliseconds(args, "step-ms"),
        slots: u32::try_from(number(args, "slots")).unwrap_or(u32::MAX),
        prefill_per_step: number(args, "prefill-per-step"),
        kv_capacity_tokens: number(args, "kv-tokens"),
        salt: number(args, "salt"),
        orphan_after: milliseconds(args, "orphan-ms"),
        load_lag: milliseconds(args, "load-lag-ms"),
    }
}

async fn listen(args: &ArgMatches) -> eyre::Result<TcpListener> {
    let address = args.get_one::<SocketAddr>("listen").copied();
    let address = address.ok_or_else(|| eyre::eyre!("--listen has no address"))?;
    let (listener, bound) = bind(address).await?;
    println!("listening {bound}");
    Ok(listener)
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}

fn milliseconds(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(args, name))
}
