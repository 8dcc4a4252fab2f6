//! The peer that operates: declarations, their checks and edits.
//!
//! Declarations are one INI text of templates and of customers that use them. The text
//! that is in force lives in one row of the platform's table; an edit replaces it by one
//! conditional transaction.

pub mod declarations;
pub mod edit;
pub mod plan;
