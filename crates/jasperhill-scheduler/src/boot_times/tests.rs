use super::*;

const NOMINAL_BOOT_TIME: Micros = Micros::from_secs(30);

fn is_late_at(boot_times: &BootTimes, age: u64, now: Micros) -> bool {
    let (machine_type, zone) = ("box".into(), "a".into());
    boot_times.is_late(
        &machine_type,
        &zone,
        NOMINAL_BOOT_TIME,
        Micros::from_secs(age),
        now,
    )
}

/// Without this rule, machines that never finish booting count as supply for minutes.
#[test]
fn lateness_follows_observed_boot_times() {
    let mut boot_times = BootTimes::default();
    let now = Micros::from_secs(1_000);
    assert!(!is_late_at(&boot_times, 45, now) && is_late_at(&boot_times, 60, now));
    // Where all machines take three times as long, a machine is not late before that time. Other
    // zones are not affected.
    for _ in 0..8 {
        boot_times.record(&"box".into(), &"a".into(), Micros::from_secs(90), now);
    }
    assert!(!is_late_at(&boot_times, 100, now) && is_late_at(&boot_times, 120, now));
    let elsewhere = boot_times.usual_boot_time(&"box".into(), &"b".into(), NOMINAL_BOOT_TIME, now);
    assert_eq!(elsewhere, Micros::from_secs(45));
    // Observed boot times expire.
    assert!(is_late_at(&boot_times, 60, now + SAMPLE_MAX_AGE));
    // A series of fast boots does not make a boot of nominal length late.
    for _ in 0..MAX_SAMPLES {
        boot_times.record(&"box".into(), &"a".into(), Micros::from_secs(1), now);
    }
    assert!(!is_late_at(&boot_times, 45, now));
    assert!(BootTimes::is_abandoned(
        NOMINAL_BOOT_TIME,
        Micros::from_secs(141)
    ));
}
