//! A roll-out in its canary phase.
#![allow(
    dead_code,
    reason = "each test that includes this file uses a part of it"
)]

use {
    std::time::Duration,
    tealshore_gateway::{
        edge::Revision,
        rollout::{Evidence, Phase, RolloutRecord, RolloutReport, Tally, route_key},
    },
};

/// The service that is rolled out.
pub const SERVICE: &str = "model";
/// Row version of the order.
pub const ORDER: Revision = 5;

/// The record of the canary phase.
pub fn trial() -> RolloutRecord {
    RolloutRecord {
        service: SERVICE.to_owned(),
        order: ORDER,
        from: "v1".to_owned(),
        target: "v2".to_owned(),
        phase: Phase::Canary,
        since: Duration::from_secs(100),
        deadline: Duration::from_secs(116),
    }
}

/// A report of a host that has counted `bad` bad answers of the target.
pub fn report_with_bad_answers(bad: u32) -> RolloutReport {
    let mut evidence = Evidence::new(ORDER);
    if bad > 0 {
        let tally = Tally { answers: bad, bad };
        evidence.add_target(&"i-new".to_owned(), route_key("cue"), tally);
    }
    RolloutReport {
        revision: ORDER + 1,
        record: trial(),
        evidence,
    }
}
