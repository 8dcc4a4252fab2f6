//! The status of a failure must never contradict what it reports about the execution of the
//! request.

use {
    http::StatusCode,
    strum::IntoEnumIterator,
    tealshore_core::answer::{ErrorKind, Failure, Problem, Ran, promises_not_run},
};

const EARLIER: [Ran; 3] = [Ran::No, Ran::Yes, Ran::Unknown];

#[test]
fn a_status_promises_not_run_only_where_nothing_ran() {
    for kind in ErrorKind::iter() {
        for earlier in EARLIER {
            let failure = Failure::new(kind, "case").after_earlier_try(earlier);
            if promises_not_run(failure.status()) {
                assert_eq!(failure.ran(), Ran::No, "{kind} after {earlier:?}");
            }
            let problem = Problem::of(&failure);
            assert_eq!(problem.status, failure.status().as_u16(), "{kind}");
            assert_eq!(problem.ran, failure.ran(), "{kind}");
        }
    }
}

#[test]
fn what_is_known_of_an_earlier_try_outweighs_not_run() {
    for kind in ErrorKind::iter() {
        let alone = Failure::new(kind, "case").ran();
        for earlier in EARLIER {
            let after = Failure::new(kind, "case").after_earlier_try(earlier).ran();
            let expected = if alone == Ran::No { earlier } else { alone };
            assert_eq!(after, expected, "{kind} after {earlier:?}");
        }
    }
}

#[test]
fn a_refusal_keeps_its_status_and_its_time_where_nothing_ran() {
    let refused = Failure::new(ErrorKind::NoEngine, "case");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let after = refused.after_earlier_try(Ran::Yes);
    assert_eq!(after.status(), StatusCode::GATEWAY_TIMEOUT);
    assert!(Problem::of(&after).retry_after_ms.is_some());
}
