//! Implementations of the subcommands.

mod callers;
mod files;
mod operators;
mod report;
mod status;

use {
    crate::outcome::Outcome,
    clap::ArgMatches,
    std::{net::SocketAddr, path::PathBuf},
};

/// Runs the subcommand given on the command line.
pub async fn run(matches: &ArgMatches) -> Outcome {
    let result = match matches.subcommand() {
        Some(("check", args)) => files::check(args),
        Some(("check-declarations", args)) => files::check_declarations(args),
        Some(("key-hash", args)) => files::key_hash(args),
        Some(("addresses", args)) => callers::addresses(args).await,
        Some(("complete", args)) => callers::complete(args).await,
        Some(("plan", args)) => operators::plan(args).await,
        Some(("apply", args)) => operators::apply(args).await,
        Some(("rollback", args)) => operators::rollback(args).await,
        Some(("show", args)) => operators::show(args).await,
        Some(("history", args)) => operators::history(args).await,
        Some(("status", args)) => status::status(args).await,
        Some(("report", args)) => report::report(args).await,
        _ => Err(Outcome::Usage("no such command".to_owned())),
    };
    result.err().unwrap_or(Outcome::Done)
}

fn file(args: &ArgMatches) -> PathBuf {
    args.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

fn text(args: &ArgMatches, name: &str) -> Option<String> {
    args.get_one::<String>(name).cloned()
}

fn number(args: &ArgMatches, name: &str) -> Option<u64> {
    args.get_one::<u64>(name).copied()
}

/// Returns the operator addresses of the hosts to query.
fn operators(args: &ArgMatches) -> Vec<SocketAddr> {
    let addresses = args.get_many("operators").unwrap_or_default();
    addresses.copied().collect()
}
