//! Edits of the declarations: one conditional transaction each, settled even when the
//! table's answer is lost.
//!
//! The text goes to the object store first, under its own hash; the transaction puts it in
//! force and notes the hash in the history.

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

/// The row with the declarations in force.
pub const CURRENT_KEY: &str = "declarations/current";
/// The small row that is written with [`CURRENT_KEY`], for polls.
const VERSION_KEY: &str = "declarations/version";
/// The bucket with the texts of past versions.
pub const BUCKET: &str = "tealshore";
/// The prefix of the rows that tell what became of an edit.
const EDIT_PREFIX: &str = "declarations/edit/";
/// The prefix of the rows with past texts.
const HISTORY_PREFIX: &str = "declarations/history/";

/// The declarations as the table has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDeclarations {
    /// Names the edit that wrote them.
    pub edit_id: String,
    /// Who wrote them, by its own word.
    pub author: String,
    /// The INI text.
    pub text: String,
}

/// A version of the past, as the history has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastVersion {
    /// Names the edit that wrote it.
    pub edit_id: String,
    /// Who wrote it, by its own word.
    pub author: String,
    /// The object with its text.
    pub object: String,
}

/// Why the platform could not be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformUnavailable {
    /// The table.
    Table(TableUnavailable),
    /// The object store.
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

/// Declarations with their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedDeclarations {
    /// The version; it only grows.
    pub version: ConfigVersion,
    /// What was stored.
    pub stored: StoredDeclarations,
}

/// An edit.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Names it; sent again under the same name it takes effect only once.
    pub id: String,
    /// Who makes it.
    pub author: String,
    /// The version that it starts from; 0 where there is none yet.
    pub base: ConfigVersion,
    /// The new text, whole.
    pub text: String,
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditError {
    /// The text is not allowed.
    Invalid(SettingError),
    /// Another edit came first.
    Lost {
        /// The version that is in force now.
        current: ConfigVersion,
        /// Who wrote it.
        author: String,
    },
    /// The platform can't be reached; the edit did not take effect and will not.
    NotAccepted(PlatformUnavailable),
    /// The table can't be reached; send the edit again under the same name to learn.
    Unknown(TableUnavailable),
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(error) => write!(f, "not accepted: {error}"),
            Self::Lost { current, author } => {
                write!(
                    f,
                    "not accepted: version {current} by {author} came first; start again from it"
                )
            }
            Self::NotAccepted(cause) => write!(f, "not accepted: {cause}"),
            Self::Unknown(cause) => write!(
                f,
                "unknown whether accepted: {cause}; send it again with the same edit id"
            ),
        }
    }
}

impl std::error::Error for EditError {}

/// Reads the declarations in force; none before the first edit.
///
/// # Errors
/// The table can't be reached.
pub async fn read_current(
    table: &TableClient,
) -> Result<Option<VersionedDeclarations>, TableUnavailable> {
    let row = table.read(CURRENT_KEY).await?;
    Ok(row.and_then(|row| from_row(&row)))
}

/// Reads the version in force, without the text; 0 before the first edit.
///
/// # Errors
/// The table can't be reached.
pub async fn read_current_version(table: &TableClient) -> Result<ConfigVersion, TableUnavailable> {
    let row = table.read(VERSION_KEY).await?;
    Ok(row.map_or(0, |row| row.version))
}

/// Reads a past version.
///
/// # Errors
/// The table or the object store can't be reached.
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

/// Reads all versions, the oldest first.
///
/// # Errors
/// The table can't be reached.
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

/// Makes an edit; the version that it got.
///
/// # Errors
/// Tells whether the edit may yet be in force.
pub async fn apply(
    table: &TableClient,
    objects: &ObjectsClient,
    edit: &Edit,
) -> Result<ConfigVersion, EditError> {
    Declarations::parse(&edit.text).map_err(EditError::Invalid)?;
    let object = objects.put(&edit.text).await;
    let object = object.map_err(|cause| EditError::NotAccepted(cause.into()))?;
    match table.commit(&transaction_of(edit, object)).await {
        Ok(Committed::Yes) => Ok(edit.base + 1),
        Ok(Committed::Conflict(conflict)) => settle(edit, &conflict),
        Err(CommitError::NotSent(cause)) => Err(EditError::NotAccepted(cause.into())),
        Err(CommitError::Unknown(cause)) => Err(EditError::Unknown(cause)),
    }
}

/// The edit's own row breaks the condition when an earlier try took effect: then it is
/// accepted. Else the version has moved on, and no late try of this edit can ever commit.
fn settle(edit: &Edit, conflict: &Conflict) -> Result<ConfigVersion, EditError> {
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
    let current = current.and_then(from_row);
    let (current, author) = current.map_or((0, String::new()), |current| {
        (current.version, current.stored.author)
    });
    Err(EditError::Lost { current, author })
}

fn transaction_of(edit: &Edit, object: String) -> Transaction {
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

/// The row is written once an edit, so its version is the declarations' version.
fn from_row(row: &Row) -> Option<VersionedDeclarations> {
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
