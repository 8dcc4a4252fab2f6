//! The daemon of the entry host.

use {
    std::process::ExitCode,
    tealshore_core::{exit, logs, protection},
    tealshore_router::options::{RouterOptions, args},
};

fn main() -> ExitCode {
    protection::start();
    let matches = args::command().get_matches();
    let options = match RouterOptions::load(&args::settings_file(&matches)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("tealshore-router: {error}");
            return ExitCode::from(exit::USAGE);
        }
    };
    logs::start(&options.log);
    match start(options) {
        Ok(()) => ExitCode::from(exit::OK),
        Err(report) => {
            eprintln!("tealshore-router: {report:#}");
            ExitCode::from(exit::FAILED)
        }
    }
}

fn start(options: RouterOptions) -> eyre::Result<()> {
    let threads = options.host.threads;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?;
    runtime.block_on(tealshore_router::run(options))
}
