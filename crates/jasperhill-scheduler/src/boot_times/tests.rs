use super::*;

const NOMINAL: Micros = Micros::from_secs(30);

fn late(boots: &BootTimes, age: u64, now: Micros) -> bool {
    let (kind, zone) = ("box".into(), "a".into());
    boots.is_late(&kind, &zone, NOMINAL, Micros::from_secs(age), now)
}

/// Guards against machines that never come and count as supply for minutes.
#[test]
fn a_machine_is_late_by_what_others_take() {
    let mut boots = BootTimes::default();
    let now = Micros::from_secs(1_000);
    assert!(!late(&boots, 45, now) && late(&boots, 60, now));
    // Where all take three times as long none is late before, and elsewhere nothing changes.
    for _ in 0..8 {
        boots.record(&"box".into(), &"a".into(), Micros::from_secs(90), now);
    }
    assert!(!late(&boots, 100, now) && late(&boots, 120, now));
    let elsewhere = boots.usual(&"box".into(), &"b".into(), NOMINAL, now);
    assert_eq!(elsewhere, Micros::from_secs(45));
    // What was seen is forgotten after a while.
    assert!(late(&boots, 60, now + REMEMBERED));
    // Boots that were quick for a while do not make ordinary ones late.
    for _ in 0..SEEN_MAX {
        boots.record(&"box".into(), &"a".into(), Micros::from_secs(1), now);
    }
    assert!(!late(&boots, 45, now));
    assert!(BootTimes::never_comes(NOMINAL, Micros::from_secs(141)));
}
