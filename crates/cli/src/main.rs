//! The `tealshore` command-line tool for operators and callers.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = tealshore_cli::args::command().get_matches();
    let outcome = tealshore_cli::run(&matches).await;
    outcome.report();
    ExitCode::from(outcome.exit_code())
}
