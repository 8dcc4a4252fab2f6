//! Exit codes of all programs, daemons included.

/// Success.
pub const OK: u8 = 0;
/// The operation failed.
pub const FAILED: u8 = 1;
/// The command line or the settings are invalid; nothing was done.
pub const USAGE: u8 = 2;
/// The outcome is unknown: the operation may or may not have taken effect.
pub const UNKNOWN: u8 = 3;
