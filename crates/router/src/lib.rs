//! The entry host: it takes callers, decides where each request runs, and keeps the
//! promises about answers.
//!
//! Folders by job: `collect` reads the outside, `drive` runs generations, `serve` answers
//! callers, `show` answers operators, `options` holds the settings.

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
