//! How many engines a service needs, in which halls and of which kind, from what all hosts see of
//! its load. Pure decisions: the time and all that was seen come in as arguments.

mod demand;
mod fleet;
mod order;
mod planner;

pub use {
    demand::{Demand, Sizing},
    fleet::{Fleet, HallFleet, ListedEngines},
    order::{EngineKind, EngineOrder, Scaling},
    planner::{Decision, HoldReason, Observation, Planner, Policy, Reason},
};
