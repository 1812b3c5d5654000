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
fn a_wave_of_failures_is_one_try() {
    let mut trust = FailureHistory::Clean;
    let mut now = Micros::from_secs(100);
    for n in 0..250 {
        trust.apply(failed(&HostId::new(&format!("n-{n}")), false), now);
    }
    assert_eq!(trust.failed_attempts(), 1);
    // Each later try that fails doubles the pause, up to a bound.
    let mut last = Micros::ZERO;
    for _ in 0..8 {
        let FailureHistory::BackingOff { next, .. } = trust else {
            panic!("{trust:?}")
        };
        assert!(!trust.may_retry(Micros(next.0 - 1)) && trust.may_retry(next));
        assert!(next - now >= last && next - now <= Micros::from_secs(64));
        last = next - now;
        now = next;
        trust.apply(failed(&HostId::new("n-1"), false), now);
    }
    assert_eq!(last, Micros::from_secs(64));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// A job is suspect only after failures on two hosts, and never after a success.
    #[test]
    fn no_job_is_suspected_for_one_host(steps in proptest::collection::vec((0u8..5, any::<bool>()), 0..60)) {
        let mut trust = FailureHistory::Clean;
        let mut hosts = BTreeSet::new();
        let mut proven = false;
        for (at, (what, serves)) in steps.into_iter().enumerate() {
            let now = Micros::from_secs(at as u64);
            if what == 4 {
                trust.apply(Input::Succeeded, now);
                hosts.clear();
                proven = true;
            } else {
                let host = HostId::new(&format!("n-{what}"));
                trust.apply(failed(&host, serves), now);
                hosts.insert(host);
            }
            prop_assert!(!trust.is_backing_off() || hosts.len() >= 2);
            prop_assert!(!trust.is_backing_off() || !proven);
            prop_assert!(trust.is_backing_off() || proven || hosts.len() < 3);
        }
    }
}
