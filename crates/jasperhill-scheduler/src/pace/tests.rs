use super::*;

#[test]
fn stays_slow_until_a_later_task_ends_in_time() {
    let mut pace = Pace::default();
    let weighed = |odds| Input::Weighed { odds, times: 9.0 };
    assert!(!pace.apply(weighed(SLOW_LOG_ODDS - 0.1)));
    assert!(pace.apply(weighed(SLOW_LOG_ODDS)));
    assert_eq!(pace, Pace::Slow { times: SLOWEST });
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
        run_times.note(&a, secs(10));
    }
    assert_eq!(run_times.elapsed(&b), None);
    run_times.note(&b, secs(20));
    assert_eq!(run_times.elapsed(&a), Some(secs(12)));
}
