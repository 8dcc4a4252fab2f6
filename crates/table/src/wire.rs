//! The JSON messages of the table.

use serde::{Deserialize, Serialize};

/// Path that accepts transactions.
pub const TRANSACTIONS_PATH: &str = "/v1/transactions";
/// Path for reading rows, followed by `/` and a key, or by `?prefix=`.
pub const ROWS_PATH: &str = "/v1/rows";

/// State that a row must have for a transaction to commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

/// A condition on a row of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// State that the row must have.
    pub expect: Expect,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// A transaction: if all conditions hold, all rows are written; otherwise nothing is written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
}

/// A row as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Number of writes to the row, starting at 1.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// Response to a transaction if a condition did not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The conditions that did not hold.
    pub failed: Vec<FailedCondition>,
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedCondition {
    /// Key of the row.
    pub key: String,
    /// Current row, or `None` if it does not exist.
    pub row: Option<Row>,
}
