use super::*;

#[test]
fn a_verdict_stands_until_a_later_task_ends_in_time() {
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
fn others_of_the_job_count_from_several_hosts_and_elsewhere() {
    let mut s = SiblingRunTimes::default();
    let at = Micros::from_secs;
    let (a, b) = (HostId::new("n-1"), HostId::new("n-2"));
    for _ in 0..4 {
        s.note(&a, at(10));
    }
    assert_eq!(s.elapsed(&b), None);
    s.note(&b, at(20));
    assert_eq!(s.elapsed(&a), Some(at(12)));
}
