//! Stand-ins for external dependencies of the system: model engines, plain services, and the platform's
//! table, object store and host list.
//!
//! Each implements only as much of the published interface as the system needs to run and to be tested
//! under faults. Paths below `/control/` inject faults and read counts.

pub mod args;
mod bounds;
pub mod engine;
pub mod hosts;
pub mod model;
pub mod objects;
pub mod plain;
mod reply;
pub mod table;
