//! What all parts of tealshore share: ids, the closed list of error kinds, settings, logs,
//! and thin helpers over the HTTP library.

pub mod answer;
pub mod chain;
pub mod exit;
pub mod http;
pub mod ids;
pub mod logs;
pub mod protection;
pub mod settings;
pub mod spread;
