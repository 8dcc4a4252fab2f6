//! Defines the subcommands and arguments of the `tealshore` program.

use {
    clap::{Arg, ArgAction, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf},
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong arguments or files (nothing was done), \
                          3 unknown whether it took effect.";

/// Builds the parser of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("tealshore")
        .about("Serves long generations on engines that fail")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommands(file_commands())
        .subcommands(caller_commands())
        .subcommands(operator_commands())
        .subcommand(status_command())
        .subcommand(report_command())
}

fn file_commands() -> [Command; 3] {
    [
        Command::new("check")
            .about("Checks the settings of an entry host")
            .arg(file_arg("SETTINGS")),
        Command::new("check-declarations")
            .about("Checks declarations")
            .arg(file_arg("DECLARATIONS")),
        Command::new("key-hash")
            .about("Prints the hash of a customer's key, for its declaration")
            .arg(
                Arg::new("key")
                    .required(true)
                    .value_name("KEY")
                    .help("The key"),
            ),
    ]
}

fn caller_commands() -> [Command; 2] {
    let addresses = Command::new("addresses")
        .about("Asks which addresses to use")
        .arg(entry_arg())
        .arg(key_arg());
    let complete = Command::new("complete")
        .about("Sends a request and prints its answer; if a connection breaks, resumes at another entry host")
        .arg(entry_arg())
        .arg(key_arg())
        .arg(
            Arg::new("model")
                .long("model")
                .required(true)
                .value_name("TEMPLATE")
                .help("The template to use"),
        )
        .arg(
            Arg::new("prompt")
                .long("prompt")
                .required(true)
                .value_name("TEXT")
                .help("The prompt"),
        )
        .arg(number_arg(
            "max-tokens",
            "128",
            "The length of the answer, in tokens",
        ))
        .arg(number_arg("seed", "0", "The sampling seed"))
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The request's id; a new one if left out"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Forbid the system to run the request more than once"),
        );
    [addresses, complete]
}

fn operator_commands() -> [Command; 5] {
    let apply = Command::new("apply")
        .about("Publishes declarations as a new version")
        .arg(table_arg())
        .arg(objects_arg())
        .arg(file_arg("DECLARATIONS"))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("The version that the edit is based on; the current one if left out"),
        )
        .arg(author_arg())
        .arg(edit_id_arg());
    let rollback = Command::new("rollback")
        .about("Publishes the content of a past version as a new version")
        .arg(table_arg())
        .arg(objects_arg())
        .arg(version_arg().required(true))
        .arg(author_arg())
        .arg(edit_id_arg());
    [
        Command::new("plan")
            .about("Shows what declarations would change")
            .arg(table_arg())
            .arg(file_arg("DECLARATIONS")),
        apply,
        rollback,
        Command::new("show")
            .about("Prints the declarations in force, or a past version")
            .arg(table_arg())
            .arg(objects_arg())
            .arg(version_arg()),
        Command::new("history")
            .about("Lists all versions")
            .arg(table_arg()),
    ]
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows the state of entry hosts and which of them run an old version")
        .arg(operators_arg())
}

fn operators_arg() -> Arg {
    Arg::new("operators")
        .required(true)
        .num_args(1..)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("The operator addresses of entry hosts")
}

fn file_arg(name: &'static str) -> Arg {
    Arg::new("file")
        .required(true)
        .value_name(name)
        .value_parser(value_parser!(PathBuf))
        .help("The file, in INI")
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn entry_arg() -> Arg {
    address_arg("entry", "The address of any entry host")
}

fn table_arg() -> Arg {
    address_arg("table", "The address of the platform's table")
}

fn objects_arg() -> Arg {
    address_arg("objects", "The address of the platform's object store")
}

fn key_arg() -> Arg {
    Arg::new("key")
        .long("key")
        .value_name("KEY")
        .help("The customer's key; TEALSHORE_KEY if left out")
}

fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .default_value("operator")
        .value_name("NAME")
        .help("The author of the edit")
}

fn edit_id_arg() -> Arg {
    Arg::new("edit-id")
        .long("edit-id")
        .value_name("ID")
        .help("The edit's id; an edit sent again with the same id takes effect once")
}

fn version_arg() -> Arg {
    Arg::new("version")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("The version of the declarations")
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn report_command() -> Command {
    let number_option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .default_value(default)
            .value_parser(parse_positive)
            .help(help)
    };
    Command::new("report")
        .about("Reports how much of the error budget of the service levels is spent")
        .arg(operators_arg())
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(["text", "json", "html"])
                .default_value("text")
                .help("The output format"),
        )
        .arg(number_option(
            "availability",
            "0.99",
            "The share of requests that must be served",
        ))
        .arg(number_option(
            "in-time",
            "0.95",
            "The share of answers whose first byte must arrive in time",
        ))
        .arg(number_option(
            "call-s",
            "0.3",
            "The limit for the first byte of calls, in seconds",
        ))
        .arg(number_option(
            "stream-s",
            "4.5",
            "The limit for the first byte of streams, in seconds",
        ))
}

fn parse_positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number > 0.0 => Ok(number),
        Ok(_) | Err(_) => Err("must be a number above 0".to_owned()),
    }
}
