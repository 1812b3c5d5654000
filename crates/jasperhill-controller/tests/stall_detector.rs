//! The stall detector: stalls of the process, and silence of the state service.

use jasperhill_controller::stall_detector::{Input, StallDetector};
use jasperhill_wire::Micros;

#[test]
fn a_stall_is_noticed_once_and_what_queued_up_is_stale() {
    let at = Micros::from_millis;
    let mut detector = StallDetector::new(at(0));
    for t in 1..5 {
        assert_eq!(detector.apply(Input::Activity, at(1_000 * t)), None);
    }
    detector.apply(Input::Unanswered { sent: at(4_000) }, at(5_000));
    assert!(!detector.is_store_silent(at(5_900)) && detector.is_store_silent(at(6_000)));
    let gap = detector.apply(Input::Activity, at(34_000));
    assert_eq!(gap, Some(at(30_000)));
    assert!(detector.is_stale(at(34_010)) && !detector.is_stale(at(34_020)));
    assert!(!detector.is_store_silent(at(34_010)));
    assert_eq!(detector.apply(Input::Activity, at(34_010)), None);
}
