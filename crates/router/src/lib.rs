//! The entry host: accepts requests of callers, decides where each one runs, and resumes
//! answers after failures.
//!
//! Modules by task: `collect` polls external state, `drive` runs generations, `serve` handles
//! requests of callers, `show` handles requests of operators, `options` holds the settings.

mod claims;
mod collect;
mod drive;
mod fleet;
mod in_flight;
pub mod in_force;
pub mod options;
mod run;
mod serve;
mod show;
mod shutdown;
mod state;
mod stop;

pub use {run::run, show::HostStatus};
