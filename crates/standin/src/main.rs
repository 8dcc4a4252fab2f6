//! The `tealshore-standin` program, which runs one stand-in.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = tealshore_standin::args::command().get_matches();
    match tealshore_standin::args::run(&matches).await {
        Ok(()) => ExitCode::from(tealshore_core::exit::OK),
        Err(report) => {
            eprintln!("tealshore-standin: {report:#}");
            ExitCode::from(tealshore_core::exit::FAILED)
        }
    }
}
