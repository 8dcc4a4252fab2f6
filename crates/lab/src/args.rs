//! The command line of the experiment tool.

use {
    crate::{
        control::{self, Size},
        demo::{self, DemoOptions},
        relay, resume,
        scenario::{self, Verdict},
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-lab")
        .about("Starts a whole system on loopback, makes it fail, and measures it")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(demo_command())
        .subcommand(relay_command())
        .subcommand(control_command())
        .subcommand(resume_command())
        .subcommand(matrix_command())
        .subcommand(scenario_command())
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

fn relay_command() -> Command {
    Command::new("relay")
        .about("What an entry host adds to a stream, against the stream from its engine")
        .arg(number_arg(
            "streams",
            "400",
            "Streams at once in the load measurement",
        ))
}

fn resume_command() -> Command {
    Command::new("resume")
        .about("How long callers wait when engines fail, and what it costs, by policy")
        .arg(number_arg("streams", "64", "Answers at once"))
}

fn control_command() -> Command {
    Command::new("control")
        .about("What control costs an idle entry host, and how fast an edit is in force")
}

fn matrix_command() -> Command {
    Command::new("matrix")
        .about("The fault matrix: each fault at each step, with real processes")
        .arg(
            Arg::new("filter")
                .default_value("")
                .value_name("TEXT")
                .help("Only cells whose name holds this"),
        )
}

fn scenario_command() -> Command {
    Command::new("scenario").about("Runs scenario files").arg(
        Arg::new("files")
            .required(true)
            .num_args(1..)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("The files"),
    )
}

async fn run_scenarios(files: impl Iterator<Item = &PathBuf>) -> eyre::Result<bool> {
    let mut all_held = true;
    for file in files {
        let verdict = scenario::run(&scenario::parse(&std::fs::read_to_string(file)?)?).await?;
        println!("{}: {verdict}", file.display());
        all_held &= verdict == Verdict::Held;
    }
    Ok(all_held)
}

/// The sizes of the control measurement: hosts, engines and customers vary one at a time.
fn control_sizes() -> Vec<Size> {
    let size = |routers, engines, customers| Size {
        routers,
        engines,
        customers,
    };
    vec![
        size(3, 24, 10),
        size(9, 24, 10),
        size(27, 24, 10),
        size(9, 6, 10),
        size(9, 48, 10),
        size(9, 24, 280),
    ]
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
        Some(("relay", args)) => relay::run(number(args, "streams")).await,
        Some(("resume", args)) => resume::run(number(args, "streams")).await,
        Some(("control", _)) => control::run(&control_sizes()).await,
        Some(("matrix", args)) => {
            let filter = args.get_one::<String>("filter").map_or("", String::as_str);
            scenario::matrix::run_all(filter).await
        }
        Some(("scenario", args)) => run_scenarios(args.get_many("files").unwrap_or_default()).await,
        _ => Ok(false),
    }
}
