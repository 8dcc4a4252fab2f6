//! Tests of the detection of a process that stood still.

use {std::time::Duration, tealshore_core::clock, tealshore_gateway::standstill::Standstill};

#[test]
fn a_process_that_ticks_late_stood_still_and_is_known_to_for_a_second() {
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut standstill = Standstill::new(start);
    assert_eq!(standstill.tick(at(100)), None);
    assert_eq!(standstill.tick(at(900)), None);
    assert!(!standstill.has_just_ended(at(950)));
    // Before the next tick, the time since the last one shows it.
    assert!(standstill.has_just_ended(at(3_500)));
    assert_eq!(
        standstill.tick(at(3_500)),
        Some(Duration::from_millis(2_600))
    );
    assert!(standstill.has_just_ended(at(4_400)));
    assert_eq!(standstill.tick(at(4_400)), None);
    assert!(!standstill.has_just_ended(at(4_600)));
}

#[test]
fn a_pause_that_is_no_standstill_is_known_for_a_second() {
    let start = clock::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut standstill = Standstill::new(start);
    assert_eq!(standstill.tick(at(100)), None);
    assert!(!standstill.has_just_paused(at(340)));
    assert!(standstill.has_just_paused(at(350)));
    assert_eq!(standstill.tick(at(400)), None);
    assert!(standstill.has_just_paused(at(450)));
    assert!(!standstill.has_just_ended(at(450)));
    for ms in (500..1_500).step_by(100) {
        assert_eq!(standstill.tick(at(ms)), None);
    }
    assert!(!standstill.has_just_paused(at(1_500)));
}
