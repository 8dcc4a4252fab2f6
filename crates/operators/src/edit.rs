//! Edits of the declarations. Each is one conditional transaction whose outcome can be determined
//! even if the table's response is lost.
//!
//! The text is first written to the object store under its own hash; the transaction then puts it
//! in force and records the hash in the history.

use {
    crate::declarations::Declarations,
    serde::{Deserialize, Serialize},
    std::fmt,
    tealshore_core::{ids::ConfigVersion, settings::SettingError},
    tealshore_objects::{ObjectsClient, ObjectsUnavailable},
    tealshore_table::{
        CommitError, Committed, TableClient, TableUnavailable,
        wire::{Condition, Conflict, Expect, Put, Row, Transaction},
    },
};

/// The key of the row with the declarations in force.
pub const CURRENT_KEY: &str = "declarations/current";
/// The key of the small row that is written together with [`CURRENT_KEY`], for polling the version.
const VERSION_KEY: &str = "declarations/version";
/// The bucket that holds the texts of past versions.
pub const BUCKET: &str = "tealshore";
/// The key prefix of the rows that record the version of each accepted edit.
const EDIT_PREFIX: &str = "declarations/edit/";
/// The key prefix of the rows of past versions.
const HISTORY_PREFIX: &str = "declarations/history/";

/// The declarations as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDeclarations {
    /// The id of the edit that wrote them.
    pub edit_id: String,
    /// The author as stated in the edit, not verified.
    pub author: String,
    /// The declarations as INI text.
    pub text: String,
}

/// A past version as stored in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// The id of the edit that wrote this version.
    pub edit_id: String,
    /// The author as stated in the edit, not verified.
    pub author: String,
    /// The name of the object that holds the text.
    pub object: String,
}

/// The part of the platform that is unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformUnavailable {
    /// The table is unavailable.
    Table(TableUnavailable),
    /// The object store is unavailable.
    Objects(ObjectsUnavailable),
}

impl From<TableUnavailable> for PlatformUnavailable {
    fn from(cause: TableUnavailable) -> Self {
        Self::Table(cause)
    }
}

impl From<ObjectsUnavailable> for PlatformUnavailable {
    fn from(cause: ObjectsUnavailable) -> Self {
        Self::Objects(cause)
    }
}

impl fmt::Display for PlatformUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(cause) => cause.fmt(f),
            Self::Objects(cause) => cause.fmt(f),
        }
    }
}

/// Stored declarations with their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedDeclarations {
    /// The version; it only increases.
    pub version: ConfigVersion,
    /// The stored declarations.
    pub stored: StoredDeclarations,
}

/// An edit of the declarations.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The id of the edit. An edit that is sent again with the same id takes effect only once.
    pub id: String,
    /// The author of the edit.
    pub author: String,
    /// The version that the edit is based on; 0 if there are no declarations yet.
    pub base: ConfigVersion,
    /// The complete new text.
    pub text: String,
}

/// The reason why an edit was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The text is invalid.
    Invalid(SettingError),
    /// Another edit was committed first.
    VersionConflict {
        /// The version in force.
        current: ConfigVersion,
        /// The author of the version in force.
        author: String,
    },
    /// The platform is unavailable; the edit did not take effect and never will.
    NotAccepted(PlatformUnavailable),
    /// The outcome is unknown because the table is unavailable. Sending the edit again with the
    /// same id determines it.
    Unknown(TableUnavailable),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => write!(f, "not accepted: {error}"),
            Self::VersionConflict { current, author } => {
                write!(
                    f,
                    "not accepted: {author} committed version {current} first; redo the edit on it"
                )
            }
            Self::NotAccepted(cause) => write!(f, "not accepted: {cause}"),
            Self::Unknown(cause) => {
                write!(f, "outcome unknown: {cause}; retry with the same edit id")
            }
        }
    }
}

impl std::error::Error for EditError {}

/// Reads the declarations in force; `None` before the first edit.
///
/// # Errors
/// The table is unavailable.
pub async fn read_current(
    table: &TableClient,
) -> Result<Option<VersionedDeclarations>, TableUnavailable> {
    let row = table.read(CURRENT_KEY).await?;
    Ok(row.and_then(|row| parse_row(&row)))
}

/// Reads the version in force without the text; 0 before the first edit.
///
/// # Errors
/// The table is unavailable.
pub async fn read_current_version(table: &TableClient) -> Result<ConfigVersion, TableUnavailable> {
    let row = table.read(VERSION_KEY).await?;
    Ok(row.map_or(0, |row| row.version))
}

/// Reads the text of a past version; `None` if the history or the object store does not have it.
///
/// # Errors
/// The table or the object store is unavailable.
pub async fn read_version(
    table: &TableClient,
    objects: &ObjectsClient,
    version: ConfigVersion,
) -> Result<Option<String>, PlatformUnavailable> {
    let Some(row) = table.read(&history_key(version)).await? else {
        return Ok(None);
    };
    let Ok(past) = serde_json::from_str::<PastVersion>(&row.value) else {
        return Ok(None);
    };
    Ok(objects.get(&past.object).await?)
}

/// Reads the history of all versions, oldest first.
///
/// # Errors
/// The table is unavailable.
pub async fn read_history(
    table: &TableClient,
) -> Result<Vec<(ConfigVersion, PastVersion)>, TableUnavailable> {
    let rows = table.read_prefix(HISTORY_PREFIX).await?;
    let versions = rows.iter().filter_map(|row| {
        let version = row.key.strip_prefix(HISTORY_PREFIX)?.parse().ok()?;
        Some((version, serde_json::from_str(&row.value).ok()?))
    });
    Ok(versions.collect())
}

/// Applies an edit and returns the new version.
///
/// # Errors
/// The edit was rejected, or its outcome is unknown; see [`EditError`].
pub async fn apply(
    table: &TableClient,
    objects: &ObjectsClient,
    edit: &Edit,
) -> Result<ConfigVersion, EditError> {
    Declarations::parse(&edit.text).map_err(EditError::Invalid)?;
    let object = objects.put(&edit.text).await;
    let object = object.map_err(|cause| EditError::NotAccepted(cause.into()))?;
    match table.commit(&build_transaction(edit, object)).await {
        Ok(Committed::Yes) => Ok(edit.base + 1),
        Ok(Committed::Conflict(conflict)) => resolve_conflict(edit, &conflict),
        Err(CommitError::NotSent(cause)) => Err(EditError::NotAccepted(cause.into())),
        Err(CommitError::Unknown(cause)) => Err(EditError::Unknown(cause)),
    }
}

/// Determines the outcome after a conflict. If the edit's own row exists, an earlier attempt was
/// committed and the edit is accepted. Otherwise the version has changed since `base`, so that no
/// delayed attempt of this edit can ever commit.
fn resolve_conflict(edit: &Edit, conflict: &Conflict) -> Result<ConfigVersion, EditError> {
    let own_key = edit_key(&edit.id);
    let rows = || {
        conflict
            .failed
            .iter()
            .filter_map(|failed| failed.row.as_ref())
    };
    if let Some(own) = rows().find(|row| row.key == own_key) {
        return Ok(own.value.parse().unwrap_or(edit.base + 1));
    }
    let current = rows().find(|row| row.key == CURRENT_KEY);
    let current = current.and_then(parse_row);
    let (current, author) = current.map_or((0, String::new()), |current| {
        (current.version, current.stored.author)
    });
    Err(EditError::VersionConflict { current, author })
}

fn build_transaction(edit: &Edit, object: String) -> Transaction {
    let version = edit.base + 1;
    let stored = StoredDeclarations {
        edit_id: edit.id.clone(),
        author: edit.author.clone(),
        text: edit.text.clone(),
    };
    let stored = serde_json::to_string(&stored).unwrap_or_default();
    let past = PastVersion {
        edit_id: edit.id.clone(),
        author: edit.author.clone(),
        object,
    };
    let expect = if edit.base == 0 {
        Expect::Absent
    } else {
        Expect::Version(edit.base)
    };
    Transaction {
        conditions: vec![
            Condition {
                key: CURRENT_KEY.to_owned(),
                expect,
            },
            Condition {
                key: edit_key(&edit.id),
                expect: Expect::Absent,
            },
        ],
        puts: vec![
            Put {
                key: CURRENT_KEY.to_owned(),
                value: stored,
            },
            Put {
                key: VERSION_KEY.to_owned(),
                value: String::new(),
            },
            Put {
                key: history_key(version),
                value: serde_json::to_string(&past).unwrap_or_default(),
            },
            Put {
                key: edit_key(&edit.id),
                value: version.to_string(),
            },
        ],
    }
}

/// Each edit writes the row exactly once, so the row version equals the version of the
/// declarations.
fn parse_row(row: &Row) -> Option<VersionedDeclarations> {
    Some(VersionedDeclarations {
        version: row.version,
        stored: serde_json::from_str(&row.value).ok()?,
    })
}

fn edit_key(id: &str) -> String {
    format!("{EDIT_PREFIX}{id}")
}

fn history_key(version: ConfigVersion) -> String {
    format!("{HISTORY_PREFIX}{version:08}")
}
