//! Roll-outs: moves a service's requests from upstreams of one software version to those of
//! another, as an operator orders.
//!
//! While a roll-out is a canary, the target version gets a bounded share of the requests, and its
//! answers are held against those of the version that serves. One host leads: the one that feeds
//! the others. It writes each phase to the store under a condition on the version of its row, so
//! that of several leaders one decides, and a phase never goes back. Hosts tell each other the
//! record and what answers told them.

mod evidence;
mod exposure;
mod known;
mod outcome;
mod plan;
mod record;
mod turns;
mod verdict;
mod versions;

pub use {
    evidence::{
        BadAnswers, Evidence, MAX_TRACKED_ROUTES, RouteKey, RouteTallies, Tally, route_key,
    },
    exposure::{CanaryBudget, SendKind},
    known::{RolloutReport, Rollouts},
    outcome::{Outcome, Quality, TypicalLatencies},
    plan::{RolloutObservation, next_record},
    record::{Phase, RolloutOrder, RolloutRecord},
    turns::{CanaryRotation, MAX_CANARY_UPSTREAMS},
    verdict::{Evaluation, Verdict, evaluate},
    versions::{ListedVersion, Permit, permit},
};
