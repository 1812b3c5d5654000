//! Scenarios of several controllers with crashes, network cuts, late delivery, outages and
//! refusals. Every rule of the protocol is checked at every step. Scenarios are seeded, so that a
//! failure can be reproduced.

use jasperhill_testkit::{
    Scenario,
    faults::{Endpoint, Fault},
    outcome::Outcome,
    run,
    scenario::Scale,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a scenario of a small deployment that lasts five minutes.
fn small(seed: u64, faults: Vec<(u64, Fault)>) -> Scenario {
    Scenario::small(seed, 300, 60, faults)
}

/// Runs a small deployment with these faults and returns its outcome.
///
/// # Panics
///
/// If a rule of the protocol was broken, or the run accepted, started or finished too few jobs and
/// tasks.
fn run_small(seed: u64, faults: Vec<(u64, Fault)>) -> Outcome {
    let outcome = run(small(seed, faults));
    assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
    // An idle run would prove nothing.
    assert!(outcome.accepted > 40, "{outcome:?}");
    assert!(outcome.started > 80, "{outcome:?}");
    assert!(outcome.finished > 10, "{outcome:?}");
    outcome
}

#[test]
fn serves_all_users_without_faults() {
    let outcome = run_small(1, Vec::new());
    assert!(
        outcome.accepted >= 55 && outcome.finished >= 25,
        "{outcome:?}"
    );
}

#[test]
fn invariants_hold_when_all_controllers_crash_in_a_state_outage() {
    for seed in [2, 3] {
        let mut faults = vec![(80, Fault::StateOutage(secs(12)))];
        faults.extend((0..3).map(|n| (86, Fault::Crash(n, secs(6)))));
        run_small(seed, faults);
    }
}

#[test]
fn invariants_hold_on_failover_with_delayed_packets() {
    for seed in [4, 5] {
        let zone = |z: &str| Endpoint::Zone(z.to_owned());
        run_small(
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
fn invariants_hold_while_the_state_service_refuses_one_controller() {
    for seed in [6, 7] {
        run_small(
            seed,
            vec![
                (50, Fault::Refused(1, secs(40))),
                (140, Fault::Refused(2, secs(9))),
            ],
        );
    }
}

#[test]
fn invariants_hold_on_rolling_restarts_in_a_cloud_outage_with_machine_losses() {
    let mut faults = vec![(60, Fault::CloudOutage(secs(60)))];
    faults.extend((0..3).map(|n| (70 + 12 * n as u64, Fault::Crash(n, secs(6)))));
    faults.extend((0..4).map(|n| (75 + 9 * n, Fault::MachineLoss)));
    run_small(8, faults);
}

#[test]
fn random_faults_break_no_invariant() {
    for seed in 20..32 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..9 {
            let at = rng.random_range(30..230);
            let duration = secs(rng.random_range(2..35));
            let node = rng.random_range(0..3);
            let zone = Endpoint::Zone(if rng.random() { "a" } else { "b" }.to_owned());
            faults.push((
                at,
                match rng.random_range(0..8) {
                    0 | 1 => Fault::Crash(node, duration),
                    2 => Fault::Cut(Endpoint::Node(node), zone, duration),
                    3 => Fault::Cut(Endpoint::Node(node), Endpoint::State, duration),
                    4 => Fault::Cut(
                        Endpoint::Node(node),
                        Endpoint::Node((node + 1) % 3),
                        duration,
                    ),
                    5 => Fault::StateOutage(duration / 2),
                    6 => Fault::Refused(node, duration),
                    _ => Fault::MachineLoss,
                },
            ));
        }
        let outcome = run(small(seed, faults));
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.started > 50, "seed {seed}: {outcome:?}");
    }
}

/// Returns the cuts of all links between zone a with controllers 0 and 2, and zone b with
/// controller 1. All callers cut for longer than a lease.
fn cuts_between_zones(at: u64, duration: Duration) -> Vec<(u64, Fault)> {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    [
        (Endpoint::Node(0), zone("b")),
        (Endpoint::Node(2), zone("b")),
        (Endpoint::Node(1), zone("a")),
        (Endpoint::Node(0), Endpoint::Node(1)),
        (Endpoint::Node(2), Endpoint::Node(1)),
    ]
    .into_iter()
    .map(|(a, b)| (at, Fault::Cut(a, b, duration)))
    .collect()
}

#[test]
fn few_tasks_are_killed_by_a_cut_between_the_only_two_zones() {
    let mut killed = 0;
    for seed in [40, 41, 42] {
        killed += run_small(seed, cuts_between_zones(120, secs(40))).killed;
    }
    // Seven tasks were killed without delegation of lease renewal to other controllers.
    assert!(killed <= 2, "{killed}");
}

#[test]
fn invariants_hold_when_owners_crash_while_leases_are_delegated() {
    for seed in [43, 44] {
        let mut faults = cuts_between_zones(100, secs(45));
        faults.push((112, Fault::Crash(0, secs(6))));
        faults.push((120, Fault::Crash(1, secs(20))));
        faults.push((125, Fault::Refused(2, secs(12))));
        run_small(seed, faults);
    }
}

#[test]
fn large_deployment_keeps_invariants_through_restarts_cuts_and_machine_losses() {
    let mut faults = cuts_between_zones(60, secs(25));
    faults.push((35, Fault::Crash(0, secs(6))));
    faults.extend((0..3).map(|n| (100, Fault::Crash(n, secs(5)))));
    faults.extend((0..12).map(|n| (40 + 5 * n, Fault::MachineLoss)));
    let outcome = run(Scenario {
        scale: Scale::Large,
        ..Scenario::small(50, 150, 120, faults)
    });
    assert_eq!(outcome.violations, Vec::<String>::new());
    assert!(outcome.accepted > 70, "{outcome:?}");
    assert!(outcome.started > 2_000, "{outcome:?}");
    assert!(outcome.most_at_once > 250, "{outcome:?}");
}

/// Guards against a controller that stalls before, during or after a takeover and, when it resumes,
/// sends messages that it decided on before the stall. The stalls overlap with crashes, cuts,
/// refusals, outages and silence in one direction.
#[test]
fn invariants_hold_when_stalled_controllers_resume() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    for seed in 60..65 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for at in [45, 80, 120, 160, 200, 235] {
            let node = rng.random_range(0..3);
            let duration = secs(rng.random_range(2..40));
            faults.push((at, Fault::Stall(node, duration)));
            faults.push((at + 9, Fault::Stall((node + 1) % 3, duration / 2)));
            let side = zone(if rng.random() { "a" } else { "b" });
            match rng.random_range(0..4) {
                0 => faults.push((at + 3, Fault::Crash((node + 2) % 3, secs(6)))),
                1 => faults.push((at + 3, Fault::Cut(Endpoint::Node(node), side, secs(20)))),
                2 => faults.push((at + 12, Fault::Refused((node + 1) % 3, secs(15)))),
                _ => faults.push((at + 5, Fault::StateOutage(secs(8)))),
            }
        }
        let outcome = run(Scenario {
            failing_arrays: 2,
            ..small(seed, faults)
        });
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.started > 50, "seed {seed}: {outcome:?}");
    }
}

/// Guards against tasks killed by an expired lease when one controller alone loses its links to the
/// workers. The other controllers must forward the workers' heartbeats to it.
#[test]
fn a_controller_that_loses_its_workers_alone_keeps_their_tasks() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    let mut killed = 0;
    for seed in [70, 71] {
        let faults = ["a", "b"]
            .map(|z| (100, Fault::Cut(Endpoint::Node(1), zone(z), secs(40))))
            .to_vec();
        killed += run_small(seed, faults).killed;
    }
    assert_eq!(killed, 0);
}

#[test]
fn invariants_hold_when_machines_boot_late_never_or_before_they_are_listed() {
    for seed in [80, 81] {
        run_small(
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

/// Guards against a restart of all controllers that reruns many tasks of a huge array or starves
/// other jobs. The array belongs to a team without a guarantee and runs beside arrays whose tasks
/// always fail.
#[test]
fn restarts_rerun_few_tasks_of_a_huge_array_beside_failing_arrays() {
    let mut faults: Vec<_> = (0..3).map(|n| (75, Fault::Crash(n, secs(6)))).collect();
    faults.push((110, Fault::Stall(0, secs(20))));
    let outcome = run(Scenario {
        failing_arrays: 4,
        huge_guest_array: true,
        ..small(90, faults)
    });
    assert_eq!(outcome.violations, Vec::<String>::new());
    assert!(outcome.accepted >= 60, "{outcome:?}");
    // The huge array has 4000 tasks, and few of them are started twice.
    assert!((4_000..4_700).contains(&outcome.started), "{outcome:?}");
    // No job is starved: every one that its user did not cancel is finished.
    assert_eq!(
        outcome.finished + outcome.cancels.len(),
        outcome.accepted,
        "{outcome:?}"
    );
}

/// Guards against jobs of a pipeline that start before their predecessors are done, or that survive
/// the cancellation of a predecessor, when crashes, cuts, outages, stalls and refusals occur.
#[test]
fn dependent_jobs_keep_order_and_cancellation_through_faults() {
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    let (mut done_stages, mut cancelled_stages) = (0, 0);
    for seed in 100..105 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for at in [50, 75, 100, 140, 180] {
            let node = rng.random_range(0..3);
            let duration = secs(rng.random_range(4..25));
            faults.push((
                at,
                match rng.random_range(0..6) {
                    0 => Fault::Crash(node, duration),
                    1 => Fault::Cut(Endpoint::Node(node), Endpoint::State, duration),
                    2 => Fault::StateOutage(duration),
                    3 => Fault::Refused(node, duration),
                    4 => Fault::Stall(node, duration),
                    _ => Fault::Cut(Endpoint::Node(node), zone("b"), duration),
                },
            ));
        }
        let outcome = run(Scenario {
            pipelines: (14, 40),
            ..small(seed, faults)
        });
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.invalid_dependencies_refused, "seed {seed}");
        done_stages += outcome.pipeline_jobs_done;
        cancelled_stages += outcome.cancelled_with_dependency;
    }
    // Runs in which no pipeline is completed or cancelled would prove nothing.
    assert!(
        done_stages > 200 && cancelled_stages > 10,
        "{done_stages} {cancelled_stages}"
    );
}

/// Runs a rolling upgrade from the old record formats, one controller after another, in a
/// deployment with large records, after which the state service lowers its limits.
///
/// # Panics
///
/// If a rule of the protocol was broken or too few jobs of pipelines were done.
fn run_rolling_upgrade(seed: u64, scale: Scale, mut faults: Vec<(u64, Fault)>) -> Outcome {
    faults.extend((0..3).map(|n| (60 + 12 * n as u64, Fault::Upgrade(n, secs(5)))));
    faults.push((130, Fault::LimitsFall));
    let outcome = run(Scenario {
        pipelines: (8, 105),
        limits: true,
        old_version: true,
        scale,
        seconds: 240,
        ..small(seed, faults)
    });
    assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
    assert!(outcome.pipeline_jobs_done > 10, "{outcome:?}");
    outcome
}

#[test]
fn rolling_upgrade_splits_large_values_before_the_limits_are_lowered() {
    for seed in [110, 111] {
        let outcome = run_rolling_upgrade(seed, Scale::Small, Vec::new());
        assert_eq!(outcome.oversized_writes, 0, "{outcome:?}");
    }
    let outcome = run_rolling_upgrade(112, Scale::Large, Vec::new());
    // Values that the old version had filled were split before the limits were lowered.
    assert_eq!(outcome.oversized_writes, 0, "{outcome:?}");
    assert!(outcome.longest_value_bytes <= 2 * 1024, "{outcome:?}");
    assert_eq!(outcome.killed, 0, "{outcome:?}");
}

/// Guards against rule violations and oversized values when faults interrupt a rolling upgrade:
/// crashes of controllers that are not upgraded yet and restart with the old version, a refusal by
/// the state service, an outage and a cut. In the last run the limits are lowered before any block
/// of hosts is split.
#[test]
fn rolling_upgrade_keeps_invariants_through_faults() {
    for seed in [120, 121, 122] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = vec![
            (55, Fault::Crash(2, secs(6))),
            (66, Fault::Crash(1, secs(4))),
        ];
        let node = rng.random_range(0..3);
        let duration = secs(rng.random_range(6..20));
        faults.push((70, Fault::Refused(node, duration)));
        faults.push((95, Fault::StateOutage(duration / 2)));
        faults.push((120, Fault::Crash((node + 1) % 3, secs(6))));
        faults.push((
            133,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, duration),
        ));
        run_rolling_upgrade(seed, Scale::Small, faults);
    }
    let early_lower_limits = vec![(50, Fault::LimitsFall)];
    let outcome = run_rolling_upgrade(123, Scale::Large, early_lower_limits);
    assert!(outcome.longest_value_bytes <= 2 * 1024, "{outcome:?}");
}
