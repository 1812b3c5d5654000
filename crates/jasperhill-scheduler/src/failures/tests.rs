use super::*;
use proptest::prelude::*;

fn failed(host: &HostId, serves: bool) -> Input<'_> {
    Input::Failed {
        host,
        serves,
        ran: Micros::from_secs(1),
    }
}

#[test]
fn simultaneous_failures_count_as_one_attempt() {
    let mut history = FailureHistory::Clean;
    let mut now = Micros::from_secs(100);
    for n in 0..250 {
        history.apply(failed(&HostId::new(&format!("n-{n}")), false), now);
    }
    assert_eq!(history.failed_attempts(), 1);
    // Each later failed retry doubles the delay, up to a maximum.
    let mut last_backoff = Micros::ZERO;
    for _ in 0..8 {
        let FailureHistory::BackingOff { next, .. } = history else {
            panic!("{history:?}")
        };
        assert!(!history.may_retry(Micros(next.0 - 1)) && history.may_retry(next));
        assert!(next - now >= last_backoff && next - now <= Micros::from_secs(64));
        last_backoff = next - now;
        now = next;
        history.apply(failed(&HostId::new("n-1"), false), now);
    }
    assert_eq!(last_backoff, Micros::from_secs(64));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// A job backs off only after failures on at least two hosts, and never after a success.
    #[test]
    fn does_not_back_off_for_failures_on_one_host(steps in proptest::collection::vec((0u8..5, any::<bool>()), 0..60)) {
        let mut history = FailureHistory::Clean;
        let mut hosts = BTreeSet::new();
        let mut has_succeeded = false;
        for (at, (event, serves)) in steps.into_iter().enumerate() {
            let now = Micros::from_secs(at as u64);
            if event == 4 {
                history.apply(Input::Succeeded, now);
                hosts.clear();
                has_succeeded = true;
            } else {
                let host = HostId::new(&format!("n-{event}"));
                history.apply(failed(&host, serves), now);
                hosts.insert(host);
            }
            prop_assert!(!history.is_backing_off() || hosts.len() >= 2);
            prop_assert!(!history.is_backing_off() || !has_succeeded);
            prop_assert!(history.is_backing_off() || has_succeeded || hosts.len() < 3);
        }
    }
}
