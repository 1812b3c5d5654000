use super::*;

#[test]
fn recovery_completes_when_no_replica_is_missing() {
    let secs = Micros::from_secs;
    let mut recovery = Recovery::default();
    assert_eq!(recovery.apply(Input::Missing(0), secs(1)), None);
    assert_eq!(recovery.apply(Input::Overtaken, secs(1)), None);
    recovery.apply(Input::Lost, secs(2));
    recovery.apply(Input::Lost, secs(3));
    recovery.apply(Input::Overtaken, secs(4));
    assert_eq!(recovery.apply(Input::Missing(1), secs(5)), None);
    let recovered = recovery.apply(Input::Missing(0), secs(9));
    let expected = Recovered {
        after: secs(7),
        lost: 2,
        overtaken: 1,
    };
    assert_eq!(recovered, Some(expected));
    assert_eq!(recovery, Recovery::Complete);
}
