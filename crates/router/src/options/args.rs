//! The command line of the daemon.

use {
    clap::{Arg, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-router")
        .about("An entry host: takes callers and keeps their answers whole")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings_arg())
        .after_help("Exit codes: 0 stopped as asked, 1 failed, 2 wrong arguments or settings.\nSIGTERM starts a planned stop.")
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings, in INI; `tealshore check FILE` checks them")
}

/// The file that the command line names.
#[must_use]
pub fn settings_file(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}
