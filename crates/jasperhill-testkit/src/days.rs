//! Days that are drawn by a seed, and the fixed set of them on which two versions of the
//! controllers are compared.

use crate::{
    faults::{Kind, Place, Trouble},
    world::{Plan, Scale},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

const fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The controller loses its peers from then on.
pub fn from_peers(node: usize, at: u64, time: u64) -> Vec<(u64, Trouble)> {
    let others = (0..3).filter(|n| *n != node);
    let cut = |n| Trouble::Cut(Place::Node(node), Place::Node(n), secs(time));
    others.map(|n| (at, cut(n))).collect()
}

/// One of the meetings, drawn, to begin about then.
fn drawn_meeting(rng: &mut StdRng, at: u64) -> Vec<(u64, Trouble)> {
    let node = rng.random_range(0..3);
    let time = rng.random_range(8..50);
    let back = millis(
        *[200, 300, 2_000, 9_000]
            .get(rng.random_range(0..4))
            .unwrap_or(&200),
    );
    match rng.random_range(0..15) {
        9 => vec![
            (at, Trouble::Mute(rng.random_range(20..90), secs(time))),
            (at + 3, Trouble::Crash(node, back)),
        ],
        10 => vec![(at, Trouble::CancelNow(8, secs(rng.random_range(0..20))))],
        11 => vec![(at, Trouble::CancelAtEnd(80, secs(time)))],
        12 => vec![(at, Trouble::OddRequests(secs(time)))],
        13 => vec![
            (
                at,
                Trouble::Hang(rng.random_range(1..6), secs(time.min(25))),
            ),
            (at + 1, Trouble::CancelNow(4, Duration::ZERO)),
        ],
        0 => {
            let mut cut = from_peers(node, at, time + 20);
            cut.push((
                at,
                Trouble::Cut(Place::Node(node), Place::State, secs(time + 20)),
            ));
            cut
        }
        1 => vec![
            (at, Trouble::Deaf(rng.random_range(20..90), secs(time))),
            (at + 2, Trouble::Crash(node, back)),
        ],
        2 => vec![(
            at,
            Trouble::LateWrites(rng.random_range(10..70), secs(time + 20)),
        )],
        3 => vec![(
            at,
            Trouble::LateReports(rng.random_range(10..90), secs(time + 20)),
        )],
        4 => (0..3)
            .map(|n| (at + n as u64 % 2, Trouble::Crash(n, back)))
            .collect(),
        5 => vec![(
            at,
            Trouble::HeldOrders(rng.random_range(20..90), secs(time + 10)),
        )],
        6 => vec![
            (at, Trouble::Refused(node, secs(time + 70))),
            (
                at + time.min(20),
                Trouble::StateOutage(secs(rng.random_range(10..70))),
            ),
        ],
        7 => vec![(at, Trouble::Freeze(node, secs(time)))],
        8 => {
            let slow = Kind::Slow(rng.random_range(100..900));
            let link = |n| Trouble::Link(Place::Node(n), Place::State, slow, secs(time));
            (0..3).map(|n| (at, link(n))).collect()
        }
        _ => vec![(
            at,
            Trouble::Loop {
                node,
                times: 4,
                life: millis(rng.random_range(300..6_000)),
                back,
            },
        )],
    }
}

/// Two or three meetings that overlap, twice a day.
pub fn drawn(seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut troubles = Vec::new();
    for at in [50, 150] {
        for _ in 0..rng.random_range(2..4) {
            let begins = at + rng.random_range(0..15);
            troubles.extend(drawn_meeting(&mut rng, begins));
        }
    }
    Plan {
        uneven: 8,
        bound: 8,
        pipelines: (3, 40),
        ..Plan::small(seed, 340, 60, troubles)
    }
}

/// A rolling upgrade of all controllers with limits that fall after it, and faults in its midst.
fn rolled(seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let node = rng.random_range(0..3);
    let time = secs(rng.random_range(6..20));
    let mut troubles = vec![
        (55, Trouble::Crash(2, secs(6))),
        (70, Trouble::Refused(node, time)),
        (95, Trouble::StateOutage(time / 2)),
        (120, Trouble::Crash((node + 1) % 3, secs(6))),
        (133, Trouble::Cut(Place::Node(node), Place::State, time)),
        (150, Trouble::CrashLeader(millis(300))),
        (165, Trouble::NoHostWrites(secs(12))),
    ];
    troubles.extend((0..3).map(|n| (60 + 12 * n as u64, Trouble::Upgrade(n, secs(5)))));
    troubles.push((130, Trouble::LimitsFall));
    Plan {
        pipelines: (8, 105),
        limits: true,
        old: true,
        ..Plan::small(seed, 240, 60, troubles)
    }
}

/// The two zones can't reach each other for longer than a lease, and some other links fail.
fn parted(seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let zone = |z: &str| Place::Zone(z.to_owned());
    let cuts = [
        (Place::Node(0), zone("b")),
        (Place::Node(2), zone("b")),
        (Place::Node(1), zone("a")),
        (Place::Node(0), Place::Node(1)),
        (Place::Node(2), Place::Node(1)),
    ];
    let mut troubles: Vec<(u64, Trouble)> = cuts
        .into_iter()
        .map(|(a, b)| (60, Trouble::Cut(a, b, secs(40))))
        .collect();
    troubles.push((80, Trouble::Crash(rng.random_range(0..3), secs(8))));
    troubles.push((95, Trouble::CloudOutage(secs(20))));
    troubles.push((115, Trouble::Die));
    let kinds = [Kind::Slow(700), Kind::Lossy(40)];
    let kinds: Vec<Kind> = Kind::CUTS.into_iter().chain(kinds).collect();
    for at in [125, 130, 180] {
        let node = rng.random_range(0..3);
        let other = match rng.random_range(0..4) {
            0 => Place::Node((node + 1) % 3),
            1 => Place::State,
            2 => zone("a"),
            _ => zone("b"),
        };
        let kind = kinds[rng.random_range(0..kinds.len())];
        let node = Place::Node(node);
        let (from, to) = match (&other, rng.random()) {
            (Place::Zone(_), true) => (other, node),
            _ => (node, other),
        };
        troubles.push((at, Trouble::Link(from, to, kind, secs(35))));
    }
    Plan::small(seed, 260, 60, troubles)
}

/// More work than room, broken arrays, a huge one, and machines that come up late or never.
fn crowded(seed: u64) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let troubles = vec![
        (20, Trouble::BadBoots(secs(100))),
        (70, Trouble::Crash(rng.random_range(0..3), secs(6))),
        (100, Trouble::Die),
        (110, Trouble::Freeze(rng.random_range(0..3), secs(20))),
    ];
    Plan {
        broken: 3,
        guests: true,
        flood: (60, 40),
        flood_of_one: seed.is_multiple_of(2),
        ..Plan::small(seed, 220, 40, troubles)
    }
}

/// A few hundred machines, large records, and a rolling upgrade.
fn large(seed: u64) -> Plan {
    let mut troubles: Vec<(u64, Trouble)> = (0..3)
        .map(|n| (40 + 12 * n as u64, Trouble::Upgrade(n, secs(5))))
        .collect();
    troubles.push((90, Trouble::LimitsFall));
    troubles.push((100, Trouble::Crash(0, secs(6))));
    troubles.extend((0..8).map(|n| (60 + 5 * n, Trouble::Die)));
    Plan {
        scale: Scale::Large,
        limits: true,
        old: true,
        ..Plan::small(seed, 140, 100, troubles)
    }
}

/// The days on which two versions of the controllers are compared.
pub fn behaviour_days() -> Vec<(String, Plan)> {
    let drawn = (2_000..2_060).map(drawn);
    let named = |kind: &'static str, plan: fn(u64) -> Plan| {
        move |seed: u64| (format!("{kind}-{seed}"), plan(seed))
    };
    drawn
        .map(|plan| (format!("drawn-{}", plan.seed), plan))
        .chain((3_000..3_006).map(named("rolled", rolled)))
        .chain((3_100..3_108).map(named("parted", parted)))
        .chain((3_200..3_204).map(named("crowded", crowded)))
        .chain((3_300..3_301).map(named("large", large)))
        .collect()
}
