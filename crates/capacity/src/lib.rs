//! Computes how many engines a service needs, in which halls and of which kind, from the load that all
//! hosts measure. The decisions are pure functions of their input: the time and all measurements are
//! arguments.

#![deny(clippy::disallowed_methods)]

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
