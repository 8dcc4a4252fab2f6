//! How many engines a service needs, in which halls and of which kind, from what all hosts see of
//! its load. Pure decisions: the time and all that was seen come in as arguments.

mod order;

pub use order::{EngineKind, EngineOrder, Scaling};
