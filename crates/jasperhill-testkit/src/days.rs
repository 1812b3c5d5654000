//! Randomly generated scenarios, and the fixed set of scenarios on which two versions of the
//! controllers are compared.

use crate::{
    faults::{Endpoint, Fault, LinkFault},
    scenario::{Scale, Scenario},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

const fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns faults that cut the controller `node` off from both peers at second `at`, for `time`
/// seconds.
pub fn cut_from_peers(node: usize, at: u64, time: u64) -> Vec<(u64, Fault)> {
    let others = (0..3).filter(|n| *n != node);
    let cut_from = |n| Fault::Cut(Endpoint::Node(node), Endpoint::Node(n), secs(time));
    others.map(|n| (at, cut_from(n))).collect()
}

/// Returns a random combination of faults that starts at about second `at`.
fn random_fault_combination(rng: &mut StdRng, at: u64) -> Vec<(u64, Fault)> {
    let node = rng.random_range(0..3);
    let time = rng.random_range(8..50);
    let restart_delay = millis(
        *[200, 300, 2_000, 9_000]
            .get(rng.random_range(0..4))
            .unwrap_or(&200),
    );
    match rng.random_range(0..15) {
        9 => vec![
            (at, Fault::NotSending(rng.random_range(20..90), secs(time))),
            (at + 3, Fault::Crash(node, restart_delay)),
        ],
        10 => vec![(at, Fault::CancelNow(8, secs(rng.random_range(0..20))))],
        11 => vec![(at, Fault::CancelAtEnd(80, secs(time)))],
        12 => vec![(at, Fault::InvalidRequests(secs(time)))],
        13 => vec![
            (at, Fault::Hang(rng.random_range(1..6), secs(time.min(25)))),
            (at + 1, Fault::CancelNow(4, Duration::ZERO)),
        ],
        0 => {
            let mut cuts = cut_from_peers(node, at, time + 20);
            cuts.push((
                at,
                Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(time + 20)),
            ));
            cuts
        }
        1 => vec![
            (
                at,
                Fault::NotReceiving(rng.random_range(20..90), secs(time)),
            ),
            (at + 2, Fault::Crash(node, restart_delay)),
        ],
        2 => vec![(
            at,
            Fault::LateWrites(rng.random_range(10..70), secs(time + 20)),
        )],
        3 => vec![(
            at,
            Fault::LateHeartbeats(rng.random_range(10..90), secs(time + 20)),
        )],
        4 => (0..3)
            .map(|n| (at + n as u64 % 2, Fault::Crash(n, restart_delay)))
            .collect(),
        5 => vec![(
            at,
            Fault::DelayedCommands(rng.random_range(20..90), secs(time + 10)),
        )],
        6 => vec![
            (at, Fault::Refused(node, secs(time + 70))),
            (
                at + time.min(20),
                Fault::StateOutage(secs(rng.random_range(10..70))),
            ),
        ],
        7 => vec![(at, Fault::Stall(node, secs(time)))],
        8 => {
            let slow = LinkFault::Slow(rng.random_range(100..900));
            let link = |n| Fault::Link(Endpoint::Node(n), Endpoint::State, slow, secs(time));
            (0..3).map(|n| (at, link(n))).collect()
        }
        _ => vec![(
            at,
            Fault::CrashLoop {
                node,
                times: 4,
                life: millis(rng.random_range(300..6_000)),
                back: restart_delay,
            },
        )],
    }
}

/// Returns late copies of answered messages during most of the run, of commands for half of the draws and of
/// requests to the state service for a quarter.
fn random_copies(rng: &mut StdRng) -> Option<(u64, Fault)> {
    let percent = rng.random_range(20..90);
    let time = secs(rng.random_range(60..220));
    let fault = match rng.random_range(0..4) {
        0 | 1 => Fault::CommandCopies(percent, time),
        2 => Fault::StoreCopies(percent, time),
        _ => return None,
    };
    Some((rng.random_range(30..90), fault))
}

/// Returns a scenario with two or three overlapping fault combinations, at two times of the run.
pub fn drawn(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for at in [50, 150] {
        for _ in 0..rng.random_range(2..4) {
            let start_s = at + rng.random_range(0..15);
            faults.extend(random_fault_combination(&mut rng, start_s));
        }
    }
    faults.extend(random_copies(&mut rng));
    Scenario {
        uneven_arrays: 8,
        zone_bound_jobs: 8,
        pipelines: (3, 40),
        ..Scenario::small(seed, 340, 60, faults)
    }
}

/// Returns a scenario with a rolling upgrade of all controllers amid other faults, after which the
/// state service's limits fall.
fn rolling_upgrade(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let node = rng.random_range(0..3);
    let time = secs(rng.random_range(6..20));
    let mut faults = vec![
        (55, Fault::Crash(2, secs(6))),
        (70, Fault::Refused(node, time)),
        (95, Fault::StateOutage(time / 2)),
        (120, Fault::Crash((node + 1) % 3, secs(6))),
        (133, Fault::Cut(Endpoint::Node(node), Endpoint::State, time)),
        (150, Fault::CrashLeader(millis(300))),
        (165, Fault::NoHostWrites(secs(12))),
    ];
    faults.extend((0..3).map(|n| (60 + 12 * n as u64, Fault::Upgrade(n, secs(5)))));
    faults.push((130, Fault::LimitsFall));
    Scenario {
        pipelines: (8, 105),
        limits: true,
        old_version: true,
        ..Scenario::small(seed, 240, 60, faults)
    }
}

/// Returns a scenario in which the two zones can't reach each other for longer than a lease, and
/// some other links fail.
fn zone_partition(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let zone = |z: &str| Endpoint::Zone(z.to_owned());
    let cuts = [
        (Endpoint::Node(0), zone("b")),
        (Endpoint::Node(2), zone("b")),
        (Endpoint::Node(1), zone("a")),
        (Endpoint::Node(0), Endpoint::Node(1)),
        (Endpoint::Node(2), Endpoint::Node(1)),
    ];
    let mut faults: Vec<(u64, Fault)> = cuts
        .into_iter()
        .map(|(a, b)| (60, Fault::Cut(a, b, secs(40))))
        .collect();
    faults.push((80, Fault::Crash(rng.random_range(0..3), secs(8))));
    faults.push((95, Fault::CloudOutage(secs(20))));
    faults.push((115, Fault::MachineLoss));
    let kinds = [LinkFault::Slow(700), LinkFault::Lossy(40)];
    let kinds: Vec<LinkFault> = LinkFault::CUTTING.into_iter().chain(kinds).collect();
    for at in [125, 130, 180] {
        let node = rng.random_range(0..3);
        let other = match rng.random_range(0..4) {
            0 => Endpoint::Node((node + 1) % 3),
            1 => Endpoint::State,
            2 => zone("a"),
            _ => zone("b"),
        };
        let kind = kinds[rng.random_range(0..kinds.len())];
        let node = Endpoint::Node(node);
        let (from, to) = match (&other, rng.random()) {
            (Endpoint::Zone(_), true) => (other, node),
            _ => (node, other),
        };
        faults.push((at, Fault::Link(from, to, kind, secs(35))));
    }
    Scenario::small(seed, 260, 60, faults)
}

/// Returns a scenario with more work than capacity, arrays that fail, a huge array, and machines
/// that boot late or never.
fn overload(seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let faults = vec![
        (20, Fault::BadBoots(secs(100))),
        (70, Fault::Crash(rng.random_range(0..3), secs(6))),
        (100, Fault::MachineLoss),
        (110, Fault::Stall(rng.random_range(0..3), secs(20))),
    ];
    Scenario {
        failing_arrays: 3,
        huge_guest_array: true,
        flood: (60, 40),
        flood_of_one_team: seed.is_multiple_of(2),
        ..Scenario::small(seed, 220, 40, faults)
    }
}

/// Returns a scenario with a few hundred machines, large records and a rolling upgrade, after which
/// the state service's limits fall.
fn large_deployment(seed: u64) -> Scenario {
    let mut faults: Vec<(u64, Fault)> = (0..3)
        .map(|n| (40 + 12 * n as u64, Fault::Upgrade(n, secs(5))))
        .collect();
    faults.push((90, Fault::LimitsFall));
    faults.push((100, Fault::Crash(0, secs(6))));
    faults.extend((0..8).map(|n| (60 + 5 * n, Fault::MachineLoss)));
    Scenario {
        scale: Scale::Large,
        limits: true,
        old_version: true,
        ..Scenario::small(seed, 140, 100, faults)
    }
}

/// Returns the named scenarios on which two versions of the controllers are compared.
pub fn behaviour_days() -> Vec<(String, Scenario)> {
    let drawn = (2_000..2_060).map(drawn);
    let named = |kind: &'static str, plan: fn(u64) -> Scenario| {
        move |seed: u64| (format!("{kind}-{seed}"), plan(seed))
    };
    drawn
        .map(|plan| (format!("drawn-{}", plan.seed), plan))
        .chain((3_000..3_006).map(named("rolled", rolling_upgrade)))
        .chain((3_100..3_108).map(named("parted", zone_partition)))
        .chain((3_200..3_204).map(named("crowded", overload)))
        .chain((3_300..3_301).map(named("large", large_deployment)))
        .collect()
}
