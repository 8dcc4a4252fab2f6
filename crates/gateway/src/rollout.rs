//! Roll-outs: move a service's requests from upstreams of one software version to those of another,
//! on an operator's order.
//!
//! During the canary phase, the target version receives a bounded share of the requests, and its
//! answers are compared with those of the serving version. The host that feeds the others is the
//! leader. It writes each phase to the store conditionally on the version of the row, so that only
//! one of several concurrent leaders succeeds and a phase never goes back. Hosts exchange the
//! record and the evidence from answers.

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
