//! The `tealshore-lab` load and experiment tool.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = tealshore_lab::args::command().get_matches();
    match tealshore_lab::args::run(&matches).await {
        Ok(true) => ExitCode::from(tealshore_core::exit::OK),
        Ok(false) => ExitCode::from(tealshore_core::exit::FAILED),
        Err(report) => {
            eprintln!("tealshore-lab: {report:#}");
            ExitCode::from(tealshore_core::exit::FAILED)
        }
    }
}
