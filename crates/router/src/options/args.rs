//! Command line of the daemon.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// Builds the command line parser.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-router")
        .about("The entry host daemon: routes requests of callers to engines and resumes interrupted answers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings_arg())
        .after_help("Exit codes: 0 stopped on request, 1 failed, 2 invalid arguments or settings.\nSIGTERM and SIGINT start a planned stop.")
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in INI format; `tealshore check FILE` validates it")
}

/// Path of the settings file given on the command line.
#[must_use]
pub fn settings_file(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}
