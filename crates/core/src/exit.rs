//! Exit codes of all programs.

/// Everything went well.
pub const OK: u8 = 0;
/// The work failed.
pub const FAILED: u8 = 1;
/// The command line or the settings are wrong; nothing was done.
pub const USAGE: u8 = 2;
/// The outcome is not known: the work may or may not have taken effect.
pub const UNKNOWN: u8 = 3;
