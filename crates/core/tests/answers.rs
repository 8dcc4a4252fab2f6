//! The status of a failure must never contradict what it reports about the execution of the
//! request.

use {
    http::StatusCode,
    strum::IntoEnumIterator,
    tealshore_core::answer::{ErrorKind, Failure, Problem, Ran, implies_not_executed},
};

const EARLIER_OUTCOMES: [Ran; 3] = [Ran::No, Ran::Yes, Ran::Unknown];

#[test]
fn a_status_implies_not_executed_only_if_nothing_was_executed() {
    for kind in ErrorKind::iter() {
        for earlier in EARLIER_OUTCOMES {
            let failure = Failure::new(kind, "case").after_earlier_attempt(earlier);
            if implies_not_executed(failure.status()) {
                assert_eq!(failure.ran(), Ran::No, "{kind} after {earlier:?}");
            }
            let problem = Problem::of(&failure);
            assert_eq!(problem.status, failure.status().as_u16(), "{kind}");
            assert_eq!(problem.ran, failure.ran(), "{kind}");
        }
    }
}

#[test]
fn the_outcome_of_an_earlier_attempt_replaces_not_executed() {
    for kind in ErrorKind::iter() {
        let alone = Failure::new(kind, "case").ran();
        for earlier in EARLIER_OUTCOMES {
            let after = Failure::new(kind, "case")
                .after_earlier_attempt(earlier)
                .ran();
            let expected = if alone == Ran::No { earlier } else { alone };
            assert_eq!(after, expected, "{kind} after {earlier:?}");
        }
    }
}

#[test]
fn an_earlier_executed_attempt_changes_the_status_and_keeps_the_retry_delay() {
    let refused = Failure::new(ErrorKind::NoEngine, "case");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = refused.after_earlier_attempt(Ran::Yes);
    assert_eq!(after.status(), StatusCode::GATEWAY_TIMEOUT);
    assert!(Problem::of(&after).retry_after_ms.is_some());
}
