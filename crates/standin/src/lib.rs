//! Stand-ins for what the system meets but does not own: model engines, plain services,
//! and the platform's table, object store and host list.
//!
//! They are small on purpose: enough of each published interface to run the system and to
//! make it fail. Each has paths below `/control/` for faults and counts.

pub mod args;
mod bounds;
pub mod engine;
pub mod hosts;
pub mod model;
pub mod objects;
pub mod plain;
mod reply;
pub mod table;
