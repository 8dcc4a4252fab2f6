//! Operator commands that read and edit the declarations.

use {
    super::{files::read_declarations, number, text},
    crate::outcome::Outcome,
    clap::ArgMatches,
    rand::RngExt,
    std::{net::SocketAddr, time::Duration},
    tealshore_core::ids::ConfigVersion,
    tealshore_objects::ObjectsClient,
    tealshore_operators::{
        declarations::Declarations,
        edit::{
            self, BUCKET, Edit, EditError, PlatformUnavailable, read_current, read_history,
            read_version,
        },
        plan::differences,
    },
    tealshore_table::{TableClient, TableOptions},
};

/// Timeout of one request to the table.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an edit including its retries.
const EDIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs `plan DECLARATIONS`.
pub async fn plan(args: &ArgMatches) -> Result<(), Outcome> {
    let (_, new) = read_declarations(args)?;
    let current = read_current(&table(args)?).await.map_err(unavailable)?;
    let (version, old) = match current {
        None => (0, Declarations::default()),
        Some(current) => {
            let old = Declarations::parse(&current.stored.text)
                .map_err(|error| Outcome::Failed(error.to_string()))?;
            (current.version, old)
        }
    };
    let differences = differences(&old, &new);
    println!(
        "against version {version}: {} differences",
        differences.len()
    );
    for difference in differences {
        println!("{difference}");
    }
    Ok(())
}

/// Runs `apply DECLARATIONS`.
pub async fn apply(args: &ArgMatches) -> Result<(), Outcome> {
    let (text, _) = read_declarations(args)?;
    let table = table(args)?;
    let base = match number(args, "base") {
        Some(base) => base,
        None => current_version(&table).await?,
    };
    submit_edit(&table, args, base, text).await
}

/// Runs `rollback VERSION`.
pub async fn rollback(args: &ArgMatches) -> Result<(), Outcome> {
    let table = table(args)?;
    let version = number(args, "version").unwrap_or_default();
    let past = read_version(&table, &objects(args)?, version)
        .await
        .map_err(unavailable)?;
    let past = past.ok_or_else(|| Outcome::Usage(format!("version {version} does not exist")))?;
    let base = current_version(&table).await?;
    submit_edit(&table, args, base, past).await
}

/// Runs `show [VERSION]`.
pub async fn show(args: &ArgMatches) -> Result<(), Outcome> {
    let table = table(args)?;
    let text = match number(args, "version") {
        Some(version) => read_version(&table, &objects(args)?, version)
            .await
            .map_err(unavailable)?,
        None => read_current(&table)
            .await
            .map_err(unavailable)?
            .map(|current| current.stored.text),
    };
    let text = text.ok_or_else(|| {
        Outcome::Failed("the version does not exist, or nothing is declared yet".to_owned())
    })?;
    print!("{text}");
    Ok(())
}

/// Runs `history`.
pub async fn history(args: &ArgMatches) -> Result<(), Outcome> {
    for (version, past) in read_history(&table(args)?).await.map_err(unavailable)? {
        println!("{} by {} (edit {})", version, past.author, past.edit_id);
    }
    Ok(())
}

async fn submit_edit(
    table: &TableClient,
    args: &ArgMatches,
    base: ConfigVersion,
    declarations: String,
) -> Result<(), Outcome> {
    let id = text(args, "edit-id")
        .unwrap_or_else(|| format!("edit-{:016x}", rand::rng().random::<u64>()));
    let edit = Edit {
        id,
        author: text(args, "author").unwrap_or_default(),
        base,
        text: declarations,
    };
    eprintln!("submitting edit {} based on version {base}", edit.id);
    match edit::apply(table, &objects(args)?, &edit).await {
        Ok(version) => {
            println!("accepted as version {version}");
            Ok(())
        }
        Err(error @ EditError::Invalid(_)) => Err(Outcome::Usage(error.to_string())),
        Err(error @ (EditError::VersionConflict { .. } | EditError::NotAccepted(_))) => {
            Err(Outcome::Failed(error.to_string()))
        }
        Err(error @ EditError::Unknown(_)) => Err(Outcome::Unknown(error.to_string())),
    }
}

async fn current_version(table: &TableClient) -> Result<ConfigVersion, Outcome> {
    let current = read_current(table).await.map_err(unavailable)?;
    Ok(current.map_or(0, |current| current.version))
}

fn table(args: &ArgMatches) -> Result<TableClient, Outcome> {
    let address = args.get_one::<SocketAddr>("table").copied();
    let address = address.ok_or_else(|| Outcome::Usage("--table is required".to_owned()))?;
    let options = TableOptions {
        address,
        exchange_timeout: EXCHANGE_TIMEOUT,
        operation_timeout: EDIT_TIMEOUT,
    };
    Ok(TableClient::new(options))
}

fn objects(args: &ArgMatches) -> Result<ObjectsClient, Outcome> {
    let address = args.get_one::<SocketAddr>("objects").copied();
    let address = address.ok_or_else(|| Outcome::Usage("--objects is required".to_owned()))?;
    ObjectsClient::new(address, BUCKET).map_err(|error| Outcome::Usage(error.to_string()))
}

fn unavailable(error: impl Into<PlatformUnavailable>) -> Outcome {
    Outcome::Failed(error.into().to_string())
}
