use super::*;

#[test]
fn stays_slow_until_a_later_task_ends_in_time() {
    let mut pace = Pace::default();
    let weighed = |odds| Input::Evaluated {
        log_odds: odds,
        slowdown: 9.0,
    };
    assert!(!pace.apply(weighed(SLOW_LOG_ODDS - 0.1)));
    assert!(pace.apply(weighed(SLOW_LOG_ODDS)));
    assert_eq!(
        pace,
        Pace::Slow {
            slowdown: MAX_SLOWDOWN
        }
    );
    assert!(!pace.apply(weighed(50.0)));
    pace.apply(Input::EndedInTime);
    assert_eq!(pace, Pace::Steady);
}

#[test]
fn sibling_run_time_requires_several_hosts_and_one_other_host() {
    let mut run_times = SiblingRunTimes::default();
    let secs = Micros::from_secs;
    let (a, b) = (HostId::new("n-1"), HostId::new("n-2"));
    for _ in 0..4 {
        run_times.record(&a, secs(10));
    }
    assert_eq!(run_times.mean_run_time(&b), None);
    run_times.record(&b, secs(20));
    assert_eq!(run_times.mean_run_time(&a), Some(secs(12)));
}
