//! Several controllers through crashes, cuts, late delivery, outages and refusals, with every
//! rule of the protocol checked at every step. Seeded: a failure repeats.

use jasperhill_testkit::{
    Scenario,
    faults::{Endpoint, Fault},
    outcome::Outcome,
    run,
    scenario::Scale,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// A small deployment for five minutes.
fn small(seed: u64, troubles: Vec<(u64, Fault)>) -> Scenario {
    Scenario::small(seed, 300, 60, troubles)
}

fn play(seed: u64, troubles: Vec<(u64, Fault)>) -> Outcome {
    let outcome = run(small(seed, troubles));
    assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
    // A run that does nothing would prove nothing.
    assert!(outcome.accepted > 40, "{outcome:?}");
    assert!(outcome.started > 80, "{outcome:?}");
    assert!(outcome.finished > 10, "{outcome:?}");
    outcome
}

#[test]
fn a_quiet_day_serves_everyone() {
    let outcome = play(1, Vec::new());
    assert!(
        outcome.accepted >= 55 && outcome.finished >= 25,
        "{outcome:?}"
    );
}

#[test]
fn all_controllers_end_within_a_state_outage() {
    for seed in [2, 3] {
        let mut troubles = vec![(80, Fault::StateOutage(secs(12)))];
        troubles.extend((0..3).map(|n| (86, Fault::Crash(n, secs(6)))));
        play(seed, troubles);
    }
}

#[test]
fn failover_while_packets_are_delayed() {
    for seed in [4, 5] {
        let zone = |z: &str| Endpoint::Zone(z.to_owned());
        play(
            seed,
            vec![
                (60, Fault::Cut(Endpoint::Node(0), zone("b"), secs(50))),
                (62, Fault::Cut(Endpoint::Node(0), Endpoint::State, secs(40))),
                (
                    64,
                    Fault::Cut(Endpoint::Node(0), Endpoint::Node(1), secs(45)),
                ),
                (130, Fault::Cut(Endpoint::Node(1), zone("a"), secs(25))),
                (132, Fault::Crash(1, secs(30))),
            ],
        );
    }
}

#[test]
fn the_store_refuses_one_controller() {
    for seed in [6, 7] {
        play(
            seed,
            vec![
                (50, Fault::Refused(1, secs(40))),
                (140, Fault::Refused(2, secs(9))),
            ],
        );
    }
}

#[test]
fn rolling_restarts_while_the_cloud_is_down_and_machines_die() {
    let mut troubles = vec![(60, Fault::CloudOutage(secs(60)))];
    troubles.extend((0..3).map(|n| (70 + 12 * n as u64, Fault::Crash(n, secs(6)))));
    troubles.extend((0..4).map(|n| (75 + 9 * n, Fault::MachineLoss)));
    play(8, troubles);
}

#[test]
fn random_faults() {
    for seed in 20..32 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut troubles = Vec::new();
        for _ in 0..9 {
            let at = rng.random_range(30..230);
            let time = secs(rng.random_range(2..35));
            let node = rng.random_range(0..3);
            let zone = Endpoint::Zone(if rng.random() { "a" } else { "b" }.to_owned());
            troubles.push((
                at,
                match rng.random_range(0..8) {
                    0 | 1 => Fault::Crash(node, time),
                    2 => Fault::Cut(Endpoint::Node(node), zone, time),
                    3 => Fault::Cut(Endpoint::Node(node), Endpoint::State, time),
                    4 => Fault::Cut(Endpoint::Node(node), Endpoint::Node((node + 1) % 3), time),
                    5 => Fault::StateOutage(time / 2),
                    6 => Fault::Refused(node, time),
                    _ => Fault::MachineLoss,
                },
            ));
        }
        let outcome = run(small(seed, troubles));
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.started > 50, "seed {seed}: {outcome:?}");
    }
}

/// The two zones can't reach each other for longer than a lease: node 1 is alone in zone b.
fn zones_apart(at: u64, time: Duration) -> Vec<(u64, Fault)> {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    [
        (Endpoint::Node(0), zone("b")),
        (Endpoint::Node(2), zone("b")),
        (Endpoint::Node(1), zone("a")),
        (Endpoint::Node(0), Endpoint::Node(1)),
        (Endpoint::Node(2), Endpoint::Node(1)),
    ]
    .into_iter()
    .map(|(a, b)| (at, Fault::Cut(a, b, time)))
    .collect()
}

#[test]
fn tasks_outlast_a_cut_between_the_only_two_zones() {
    let mut killed = 0;
    for seed in [40, 41, 42] {
        killed += play(seed, zones_apart(120, secs(40))).killed;
    }
    // Seven without keepers.
    assert!(killed <= 2, "{killed}");
}

#[test]
fn owners_crash_while_leases_are_delegated() {
    for seed in [43, 44] {
        let mut troubles = zones_apart(100, secs(45));
        troubles.push((112, Fault::Crash(0, secs(6))));
        troubles.push((120, Fault::Crash(1, secs(20))));
        troubles.push((125, Fault::Refused(2, secs(12))));
        play(seed, troubles);
    }
}

#[test]
fn a_large_deployment_through_restarts_cuts_and_dying_machines() {
    let mut troubles = zones_apart(60, secs(25));
    troubles.push((35, Fault::Crash(0, secs(6))));
    troubles.extend((0..3).map(|n| (100, Fault::Crash(n, secs(5)))));
    troubles.extend((0..12).map(|n| (40 + 5 * n, Fault::MachineLoss)));
    let outcome = run(Scenario {
        scale: Scale::Large,
        ..Scenario::small(50, 150, 120, troubles)
    });
    assert_eq!(outcome.broken, Vec::<String>::new());
    assert!(outcome.accepted > 70, "{outcome:?}");
    assert!(outcome.started > 2_000, "{outcome:?}");
    assert!(outcome.most_at_once > 250, "{outcome:?}");
}

/// Standstills before, within and after a takeover, and silence in one direction: what was
/// decided before goes out after.
#[test]
fn stalled_controllers_resume() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    for seed in 60..65 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut troubles = Vec::new();
        for at in [45, 80, 120, 160, 200, 235] {
            let node = rng.random_range(0..3);
            let time = secs(rng.random_range(2..40));
            troubles.push((at, Fault::Stall(node, time)));
            troubles.push((at + 9, Fault::Stall((node + 1) % 3, time / 2)));
            let side = zone(if rng.random() { "a" } else { "b" });
            match rng.random_range(0..4) {
                0 => troubles.push((at + 3, Fault::Crash((node + 2) % 3, secs(6)))),
                1 => troubles.push((at + 3, Fault::Cut(Endpoint::Node(node), side, secs(20)))),
                2 => troubles.push((at + 12, Fault::Refused((node + 1) % 3, secs(15)))),
                _ => troubles.push((at + 5, Fault::StateOutage(secs(8)))),
            }
        }
        let outcome = run(Scenario {
            broken: 2,
            ..small(seed, troubles)
        });
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.started > 50, "seed {seed}: {outcome:?}");
    }
}

/// One controller loses its workers alone: the others pass their reports on, and no task is
/// lost.
#[test]
fn a_controller_that_loses_its_workers_alone_keeps_their_tasks() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    let mut killed = 0;
    for seed in [70, 71] {
        let troubles = ["a", "b"]
            .map(|z| (100, Fault::Cut(Endpoint::Node(1), zone(z), secs(40))))
            .to_vec();
        killed += play(seed, troubles).killed;
    }
    assert_eq!(killed, 0);
}

#[test]
fn machines_boot_late_never_or_before_any_list() {
    for seed in [80, 81] {
        play(
            seed,
            vec![
                (20, Fault::BadBoots(secs(120))),
                (70, Fault::Crash(0, secs(6))),
                (90, Fault::MachineLoss),
                (130, Fault::MachineLoss),
            ],
        );
    }
}

/// Arrays with a mistake beside a guest's huge array, across a restart of all controllers:
/// nothing of it is run again in bulk, and the others are served.
#[test]
fn failing_arrays_and_a_huge_one_across_restarts() {
    let mut troubles: Vec<_> = (0..3).map(|n| (75, Fault::Crash(n, secs(6)))).collect();
    troubles.push((110, Fault::Stall(0, secs(20))));
    let outcome = run(Scenario {
        broken: 4,
        huge_guest_array: true,
        ..small(90, troubles)
    });
    assert_eq!(outcome.broken, Vec::<String>::new());
    assert!(outcome.accepted >= 60, "{outcome:?}");
    // Four thousand tasks of the guest, and little of it twice.
    assert!((4_000..4_700).contains(&outcome.started), "{outcome:?}");
    assert!(outcome.finished > 25, "{outcome:?}");
}

/// Pipelines through crashes, cuts, outages and refusals: nothing starts too early, and a
/// cancellation reaches all that comes after.
#[test]
fn dependent_jobs_through_faults() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    let (mut staged, mut swept) = (0, 0);
    for seed in 100..105 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut troubles = Vec::new();
        for at in [50, 75, 100, 140, 180] {
            let node = rng.random_range(0..3);
            let time = secs(rng.random_range(4..25));
            troubles.push((
                at,
                match rng.random_range(0..6) {
                    0 => Fault::Crash(node, time),
                    1 => Fault::Cut(Endpoint::Node(node), Endpoint::State, time),
                    2 => Fault::StateOutage(time),
                    3 => Fault::Refused(node, time),
                    4 => Fault::Stall(node, time),
                    _ => Fault::Cut(Endpoint::Node(node), zone("b"), time),
                },
            ));
        }
        let outcome = run(Scenario {
            pipelines: (14, 40),
            ..small(seed, troubles)
        });
        assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.picked, "seed {seed}");
        staged += outcome.staged;
        swept += outcome.swept;
    }
    // Runs in which no pipeline ends, or none is cancelled, would prove nothing.
    assert!(staged > 200 && swept > 10, "{staged} {swept}");
}

/// The upgrade, one controller after the other, in a deployment whose records are large; then
/// the limits fall.
fn upgrade(seed: u64, scale: Scale, mut troubles: Vec<(u64, Fault)>) -> Outcome {
    troubles.extend((0..3).map(|n| (60 + 12 * n as u64, Fault::Upgrade(n, secs(5)))));
    troubles.push((130, Fault::LimitsFall));
    let outcome = run(Scenario {
        pipelines: (8, 105),
        limits: true,
        old_version: true,
        scale,
        seconds: 240,
        ..small(seed, troubles)
    });
    assert_eq!(outcome.broken, Vec::<String>::new(), "seed {seed}");
    assert!(outcome.staged > 10, "{outcome:?}");
    outcome
}

#[test]
fn old_and_new_serve_side_by_side_and_the_limits_fall() {
    for seed in [110, 111] {
        let outcome = upgrade(seed, Scale::Small, Vec::new());
        assert_eq!(outcome.too_large, 0, "{outcome:?}");
    }
    let outcome = upgrade(112, Scale::Large, Vec::new());
    // What the old version filled was split before the limits fell.
    assert_eq!(outcome.too_large, 0, "{outcome:?}");
    assert!(outcome.longest <= 2 * 1024, "{outcome:?}");
    assert_eq!(outcome.killed, 0, "{outcome:?}");
}

/// Troubles in the midst of it: crashes of those that are not upgraded yet, which come back old,
/// a state service that refuses one, a cut, an outage; and limits that fall before any block is
/// split.
#[test]
fn a_rolling_update_through_faults() {
    for seed in [120, 121, 122] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut troubles = vec![
            (55, Fault::Crash(2, secs(6))),
            (66, Fault::Crash(1, secs(4))),
        ];
        let node = rng.random_range(0..3);
        let time = secs(rng.random_range(6..20));
        troubles.push((70, Fault::Refused(node, time)));
        troubles.push((95, Fault::StateOutage(time / 2)));
        troubles.push((120, Fault::Crash((node + 1) % 3, secs(6))));
        troubles.push((133, Fault::Cut(Endpoint::Node(node), Endpoint::State, time)));
        upgrade(seed, Scale::Small, troubles);
    }
    let early = vec![(50, Fault::LimitsFall)];
    let outcome = upgrade(123, Scale::Large, early);
    assert!(outcome.longest <= 2 * 1024, "{outcome:?}");
}
