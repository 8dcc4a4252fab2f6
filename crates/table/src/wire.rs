//! The messages of the table, as JSON.

use serde::{Deserialize, Serialize};

/// The path that takes transactions.
pub const TRANSACTIONS_PATH: &str = "/v1/transactions";
/// The path below which rows are read; the key follows, or `?prefix=`.
pub const ROWS_PATH: &str = "/v1/rows";

/// What a row must look like for a transaction to commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists in this version.
    Version(u64),
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: String,
    /// What it must look like.
    pub expect: Expect,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row.
    pub key: String,
    /// Its new content.
    pub value: String,
}

/// A transaction: all its conditions hold and all its rows are written, or nothing happens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub puts: Vec<Put>,
}

/// A row as the table has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Counts its writes, from 1.
    pub version: u64,
    /// Its content.
    pub value: String,
}

/// The answer to a transaction whose conditions did not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Keys whose condition did not hold, with the row where there is one.
    pub failed: Vec<FailedCondition>,
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedCondition {
    /// The key.
    pub key: String,
    /// The row, or none where there is none.
    pub row: Option<Row>,
}
