//! Detection of process stalls and of a state service that does not answer.

use jasperhill_controller::stall_detector::{Input, StallDetector};
use jasperhill_wire::Micros;

/// A stall must be reported once, requests taken up right after the stall must be stale, and
/// renewals that went unanswered during the stall must not count against the state service.
#[test]
fn stall_is_reported_once_and_makes_queued_requests_stale() {
    let millis = Micros::from_millis;
    let mut detector = StallDetector::new(millis(0));
    for second in 1..5 {
        assert_eq!(
            detector.apply(Input::Activity, millis(1_000 * second)),
            None
        );
    }
    detector.apply(
        Input::RenewalUnanswered {
            sent: millis(4_000),
        },
        millis(5_000),
    );
    assert!(!detector.is_store_silent(millis(5_900)) && detector.is_store_silent(millis(6_000)));
    let stall = detector.apply(Input::Activity, millis(34_000));
    assert_eq!(stall, Some(millis(30_000)));
    assert!(
        detector.is_request_stale(millis(34_010)) && !detector.is_request_stale(millis(34_020))
    );
    assert!(!detector.is_store_silent(millis(34_010)));
    assert_eq!(detector.apply(Input::Activity, millis(34_010)), None);
}
