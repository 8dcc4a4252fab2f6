//! Defines and runs the command line of the experiment tool.

use {
    crate::{
        control::{self, SystemSize},
        demo::{self, DemoOptions},
        relay, resume,
        scenario::{self, Verdict},
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    std::path::PathBuf,
};

/// Builds the parser of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore-lab")
        .about("Starts a whole system on loopback, injects faults and measures it")
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
        .about("Runs one long generation and kills its engine halfway")
        .arg(number_arg("routers", "3", "Number of entry hosts"))
        .arg(number_arg("engines", "24", "Number of model engines"))
        .arg(number_arg(
            "tokens",
            "400",
            "Length of the answer, in tokens",
        ))
}

fn relay_command() -> Command {
    Command::new("relay")
        .about("Measures the latency and load that an entry host adds to streams")
        .arg(number_arg(
            "streams",
            "400",
            "Concurrent streams in the load measurement",
        ))
}

fn resume_command() -> Command {
    Command::new("resume")
        .about("Measures waiting time and extra work after engine failures, by resume policy")
        .arg(number_arg("streams", "64", "Concurrent streams"))
}

fn control_command() -> Command {
    Command::new("control").about(
        "Measures the control overhead of idle entry hosts and how fast edits come into force",
    )
}

fn matrix_command() -> Command {
    Command::new("matrix")
        .about("Runs the fault matrix: each fault at each step of a request, with real processes")
        .arg(
            Arg::new("filter")
                .default_value("")
                .value_name("TEXT")
                .help("Run only the cells whose name contains this text"),
        )
}

fn scenario_command() -> Command {
    Command::new("scenario").about("Runs scenario files").arg(
        Arg::new("files")
            .required(true)
            .num_args(1..)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("The scenario files"),
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

/// The system sizes of the control measurement. Hosts, engines and customers vary one at a time.
fn control_sizes() -> Vec<SystemSize> {
    let size = |routers, engines, customers| SystemSize {
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

/// Runs the subcommand; returns whether its checks passed.
///
/// # Errors
/// Fails if the experiment can't be run.
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
