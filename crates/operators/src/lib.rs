//! The operators' side: declarations, their validation and edits.
//!
//! Declarations are one INI text of templates and of the customers that use them. The text in force
//! is stored in one row of the platform's table; an edit replaces it in a conditional transaction.

pub mod declarations;
pub mod edit;
pub mod plan;
