//! Tests of the classification of links as up, suspect and down.

use jasperhill_membership::link::{LinkHealth, Observation, Thresholds};
use jasperhill_wire::{Micros, mesh::LinkState};
use proptest::prelude::*;

const THRESHOLDS: Thresholds = Thresholds {
    down: Micros::from_secs(1),
    up: Micros::from_secs(2),
};

fn failure_of(counterpart: u64) -> Observation {
    Observation::Failure {
        counterpart,
        counterpart_count: 100,
    }
}

/// After a long outage, the first success brings a link up if its `up` threshold is zero; a link
/// that fails again soon needs more successes. Guards against a link that counts as down for
/// seconds after an outage is over.
#[test]
fn link_is_up_on_first_success_after_outage() {
    let at_ms = Micros::from_millis;
    let mut link = LinkHealth::new(Thresholds {
        up: Micros::ZERO,
        ..THRESHOLDS
    });
    let mut now = 1_000;
    let simulate_outage = |link: &mut LinkHealth, now: &mut u64| {
        for _ in 0..20 {
            *now += 900;
            link.apply(failure_of(*now), at_ms(*now));
        }
        assert_eq!(link.state(), LinkState::Down);
    };
    simulate_outage(&mut link, &mut now);
    link.apply(Observation::Success, at_ms(now + 100));
    assert_eq!(link.state(), LinkState::Up);
    // A flapping link needs more successes.
    for by in 0..4 {
        now += 900;
        link.apply(failure_of(by), at_ms(now));
    }
    assert_eq!(link.state(), LinkState::Down);
    link.apply(Observation::Success, at_ms(now + 100));
    assert_eq!(link.state(), LinkState::Down);
}

/// Repeated failures of one counterpart make a link suspect; failures of several counterparts take
/// the link down. The link comes up again only after successes over some time.
#[test]
fn link_is_suspect_with_one_failed_counterpart_and_down_with_several() {
    let at_ms = Micros::from_millis;
    let mut link = LinkHealth::new(THRESHOLDS);
    link.apply(Observation::Success, at_ms(1_000));
    assert_eq!(link.state(), LinkState::Up);
    for step in 0..3 {
        link.apply(failure_of(7), at_ms(2_000 + 500 * step));
    }
    assert_eq!(link.state(), LinkState::Suspect);
    link.apply(failure_of(8), at_ms(3_400));
    link.apply(failure_of(9), at_ms(3_500));
    assert_eq!(link.state(), LinkState::Down);
    // The first success does not bring the link up; successes over some time do.
    link.apply(Observation::Success, at_ms(9_000));
    assert_eq!(link.state(), LinkState::Down);
    link.apply(failure_of(7), at_ms(10_000));
    link.apply(Observation::Success, at_ms(11_000));
    link.apply(Observation::Success, at_ms(12_500));
    assert_eq!(link.state(), LinkState::Down);
    for step in 0..4 {
        link.apply(Observation::Success, at_ms(13_000 + 200 * step));
    }
    assert_eq!(link.state(), LinkState::Up);
}

/// A link on which two of three messages fail is down. Guards against a lossy link that counts as
/// up because some messages get through.
#[test]
fn lossy_link_is_down() {
    let mut link = LinkHealth::new(THRESHOLDS);
    for step in 0..40 {
        let succeeds = step % 3 == 0;
        let observation = if succeeds {
            Observation::Success
        } else {
            failure_of(step)
        };
        link.apply(observation, Micros::from_millis(300 * step));
    }
    assert_eq!(link.state(), LinkState::Down);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// After any history, a link with only failures ends down and a link with only successes ends
    /// up. A link that was down comes up no sooner than the `up` threshold after the last failure.
    #[test]
    fn link_settles_according_to_observations(
        steps in proptest::collection::vec((any::<bool>(), 0u64..6, 10u64..900), 1..80),
        succeeds in any::<bool>(),
    ) {
        let mut link = LinkHealth::new(THRESHOLDS);
        let (mut now, mut last_failure) = (Micros::from_secs(10), Micros::ZERO);
        for (success, by, gap_ms) in steps {
            now += Micros::from_millis(gap_ms);
            let before = link.state();
            link.apply(if success { Observation::Success } else { failure_of(by) }, now);
            if !success {
                last_failure = now;
            }
            if before == LinkState::Down && link.state() == LinkState::Up {
                prop_assert!(now - last_failure >= THRESHOLDS.up);
            }
        }
        for by in 0..30 {
            now += Micros::from_millis(400);
            link.apply(if succeeds { Observation::Success } else { failure_of(by) }, now);
        }
        prop_assert_eq!(link.state(), if succeeds { LinkState::Up } else { LinkState::Down });
    }
}
