//! When a link counts as up, suspect and down.

use jasperhill_membership::link::{LinkHealth, Observation, Thresholds};
use jasperhill_wire::{Micros, mesh::LinkState};
use proptest::prelude::*;

const THRESHOLDS: Thresholds = Thresholds {
    down: Micros::from_secs(1),
    up: Micros::from_secs(2),
};

fn fail(by: u64) -> Observation {
    Observation::Failure { by, of: 100 }
}

/// Guards against a link that is taken for down for seconds after a long cut.
#[test]
fn after_a_cut_it_is_up_with_the_first_thing_that_gets_through() {
    let at = Micros::from_millis;
    let mut link = LinkHealth::new(Thresholds {
        up: Micros::ZERO,
        ..THRESHOLDS
    });
    let mut now = 1_000;
    let cut = |link: &mut LinkHealth, now: &mut u64| {
        for _ in 0..20 {
            *now += 900;
            link.apply(fail(*now), at(*now));
        }
        assert_eq!(link.state(), LinkState::Down);
    };
    cut(&mut link, &mut now);
    link.apply(Observation::Success, at(now + 100));
    assert_eq!(link.state(), LinkState::Up);
    // One that flaps has to show more.
    for by in 0..4 {
        now += 900;
        link.apply(fail(by), at(now));
    }
    assert_eq!(link.state(), LinkState::Down);
    link.apply(Observation::Success, at(now + 100));
    assert_eq!(link.state(), LinkState::Down);
}

#[test]
fn one_machine_that_hangs_is_no_cut_and_several_are() {
    let at = Micros::from_millis;
    let mut link = LinkHealth::new(THRESHOLDS);
    link.apply(Observation::Success, at(1_000));
    assert_eq!(link.state(), LinkState::Up);
    for n in 0..3 {
        link.apply(fail(7), at(2_000 + 500 * n));
    }
    assert_eq!(link.state(), LinkState::Suspect);
    link.apply(fail(8), at(3_400));
    link.apply(fail(9), at(3_500));
    assert_eq!(link.state(), LinkState::Down);
    // It is not up with the first thing that gets through, but soon.
    link.apply(Observation::Success, at(9_000));
    assert_eq!(link.state(), LinkState::Down);
    link.apply(fail(7), at(10_000));
    link.apply(Observation::Success, at(11_000));
    link.apply(Observation::Success, at(12_500));
    assert_eq!(link.state(), LinkState::Down);
    for n in 0..4 {
        link.apply(Observation::Success, at(13_000 + 200 * n));
    }
    assert_eq!(link.state(), LinkState::Up);
}

/// Guards against a lossy link that counts as up because something gets through at times.
#[test]
fn a_lossy_link_is_down_for_what_it_cannot_do() {
    let mut link = LinkHealth::new(THRESHOLDS);
    for n in 0..40 {
        let fine = n % 3 == 0;
        let observation = if fine { Observation::Success } else { fail(n) };
        link.apply(observation, Micros::from_millis(300 * n));
    }
    assert_eq!(link.state(), LinkState::Down);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// However it came about: what only fails is down in the end, what only carries is up,
    /// and between down and up lies at least the time that it must have been steady.
    #[test]
    fn it_settles_where_the_evidence_points(
        steps in proptest::collection::vec((any::<bool>(), 0u64..6, 10u64..900), 1..80),
        fine in any::<bool>(),
    ) {
        let mut link = LinkHealth::new(THRESHOLDS);
        let (mut now, mut broke) = (Micros::from_secs(10), Micros::ZERO);
        for (good, by, gap) in steps {
            now += Micros::from_millis(gap);
            let before = link.state();
            link.apply(if good { Observation::Success } else { fail(by) }, now);
            if !good {
                broke = now;
            }
            if before == LinkState::Down && link.state() == LinkState::Up {
                prop_assert!(now - broke >= THRESHOLDS.up);
            }
        }
        for by in 0..30 {
            now += Micros::from_millis(400);
            link.apply(if fine { Observation::Success } else { fail(by) }, now);
        }
        prop_assert_eq!(link.state(), if fine { LinkState::Up } else { LinkState::Down });
    }
}
