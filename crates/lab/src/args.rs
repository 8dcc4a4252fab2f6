//! The command line of the experiment tool.

use {
    crate::demo::{self, DemoOptions},
    clap::{Arg, ArgMatches, Command, value_parser},
};

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-lab")
        .about("Starts a whole system on loopback, makes it fail, and measures it")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(demo_command())
}

pub(crate) fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

pub(crate) fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or_default()
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("One long generation whose engine is killed half way")
        .arg(number_arg("routers", "3", "Entry hosts"))
        .arg(number_arg("engines", "24", "Model engines"))
        .arg(number_arg("tokens", "400", "Length of the answer"))
}

/// Runs what the command line names; whether it showed what it should.
///
/// # Errors
/// The experiment could not be run.
pub async fn run(matches: &ArgMatches) -> eyre::Result<bool> {
    match matches.subcommand() {
        Some(("demo", args)) => {
            let options = DemoOptions {
                routers: number(args, "routers"),
                engines: number(args, "engines"),
                tokens: number(args, "tokens"),
            };
            demo::run(&options).await
        }
        _ => Ok(false),
    }
}
