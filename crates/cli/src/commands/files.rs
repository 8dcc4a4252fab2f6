//! Commands that only read local files.

use {
    super::{file, text},
    crate::outcome::Outcome,
    clap::ArgMatches,
    tealshore_operators::declarations::{self, Declarations},
    tealshore_router::options::RouterOptions,
};

/// Runs `check SETTINGS`.
pub fn check(args: &ArgMatches) -> Result<(), Outcome> {
    let file = file(args);
    let options = RouterOptions::load(&file).map_err(|error| Outcome::Usage(error.to_string()))?;
    println!(
        "{}: good, for host {} in hall {}",
        file.display(),
        options.host.id,
        options.host.hall
    );
    Ok(())
}

/// Runs `check-declarations DECLARATIONS`.
pub fn check_declarations(args: &ArgMatches) -> Result<(), Outcome> {
    let file = file(args);
    let declarations = read_declarations(args)?;
    println!(
        "{}: good, {} customers",
        file.display(),
        declarations.1.customers().count()
    );
    Ok(())
}

/// Runs `key-hash KEY`.
pub fn key_hash(args: &ArgMatches) -> Result<(), Outcome> {
    println!(
        "{}",
        declarations::key_hash(&text(args, "key").unwrap_or_default())
    );
    Ok(())
}

/// Reads a file of declarations; returns its text and the parsed declarations.
pub fn read_declarations(args: &ArgMatches) -> Result<(String, Declarations), Outcome> {
    let file = file(args);
    let invalid_file = |cause: String| Outcome::Usage(format!("{}: {cause}", file.display()));
    let text = std::fs::read_to_string(&file).map_err(|error| invalid_file(error.to_string()))?;
    let declarations =
        Declarations::parse(&text).map_err(|error| invalid_file(error.to_string()))?;
    Ok((text, declarations))
}
