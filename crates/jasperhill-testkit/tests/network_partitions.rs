//! Links that fail one by one and one way, and several at once. Beside the rules: within a bound
//! after the last cut every role has a live owner and every worker is answered; and while any
//! controller reaches a zone's workers and the state service, none of them loses tasks to a lease.
//!
//! CI plays every single link with one kind of failure each and a drawn part of the pairs. All of
//! both, in some minutes: `cargo test --release -p jasperhill-testkit --test network_partitions -- --ignored`.

use jasperhill_testkit::{
    Scenario,
    faults::{Endpoint, Fault, LinkFault},
    outcome::Outcome,
    run, run_all,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::time::Duration;

type Link = (Endpoint, Endpoint);

/// When the cuts begin, how long they last, and how long after them all must be well.
const AT: u64 = 45;
const FOR: u64 = 45;
const BOUND: u64 = 30;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn zone(name: &str) -> Endpoint {
    Endpoint::Zone(name.to_owned())
}

/// Every link of a deployment of three controllers and two zones, from the one who asks.
fn links() -> Vec<Link> {
    let mut links = Vec::new();
    for n in 0..3 {
        links.push((Endpoint::Node(n), Endpoint::State));
        for other in (0..3).filter(|o| *o != n) {
            links.push((Endpoint::Node(n), Endpoint::Node(other)));
        }
        for z in ["a", "b"] {
            links.push((Endpoint::Node(n), zone(z)));
            links.push((zone(z), Endpoint::Node(n)));
        }
    }
    links
}

fn plan(seed: u64, seconds: u64, troubles: Vec<(u64, Fault)>) -> Scenario {
    Scenario::small(seed, seconds, 30, troubles)
}

fn judge(name: &str, outcome: &Outcome) -> Option<String> {
    let well = outcome.broken.is_empty()
        && outcome.unowned.is_empty()
        && outcome.unanswered.is_empty()
        && outcome.started > 20;
    (!well).then(|| format!("{name}: {outcome:?}"))
}

/// Plays all of these side by side; what went wrong, which of them lost tasks to leases, and what
/// came of each.
fn play_all(cases: Vec<(String, Scenario)>) -> (Vec<String>, Vec<String>, Vec<(String, Outcome)>) {
    let played = run_all(&cases);
    let wrong = played.iter().filter_map(|(n, o)| judge(n, o)).collect();
    let lost = played.iter().filter(|(_, o)| o.killed > 0);
    let killed = lost.map(|(n, o)| format!("{n}: {} killed", o.killed));
    (wrong, killed.collect(), played)
}

/// What went wrong in any of these, and how many tasks were lost to leases although somebody could
/// have helped.
fn play(cases: Vec<(String, Scenario)>) -> (Vec<String>, usize) {
    let (wrong, _, played) = play_all(cases);
    for (name, outcome) in &played {
        if outcome.killed_in_reach > 0 {
            println!("{name}: {} lost in reach", outcome.killed_in_reach);
        }
    }
    let lost = played.iter().map(|(_, o)| o.killed_in_reach).sum();
    (wrong, lost)
}

fn cut(cuts: &[(&Link, LinkFault)], seed: u64) -> (String, Scenario) {
    let trouble = |((from, to), kind): &(&Link, LinkFault)| {
        (AT, Fault::Link(from.clone(), to.clone(), *kind, secs(FOR)))
    };
    let plan = plan(seed, AT + FOR + BOUND, cuts.iter().map(trouble).collect());
    (format!("{cuts:?}"), plan)
}

#[test]
fn every_single_link_fails_in_some_way() {
    let cases = links()
        .iter()
        .enumerate()
        .map(|(n, link)| cut(&[(link, LinkFault::CUTTING[n % 5])], n as u64))
        .collect();
    let (wrong, lost) = play(cases);
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(lost, 0);
}

#[test]
#[ignore = "minutes: every single link in every way"]
fn every_single_link_fails_in_every_way() {
    let limp = [LinkFault::Slow(1_500), LinkFault::Lossy(40)];
    let mut cases = Vec::new();
    for link in &links() {
        for kind in LinkFault::CUTTING.into_iter().chain(limp) {
            cases.push(cut(&[(link, kind)], cases.len() as u64));
        }
    }
    let (wrong, lost) = play(cases);
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(lost, 0);
}

/// All pairs of links, each with kinds by turns.
fn pairs() -> Vec<(String, Scenario)> {
    let links = links();
    let mut cases = Vec::new();
    for (i, one) in links.iter().enumerate() {
        for (j, two) in links[..i].iter().enumerate() {
            let kinds = (
                LinkFault::CUTTING[(i + j) % 5],
                LinkFault::CUTTING[(i * 3 + j) % 5],
            );
            cases.push(cut(&[(one, kinds.0), (two, kinds.1)], cases.len() as u64));
        }
    }
    cases
}

#[test]
fn drawn_pairs_of_links_fail_together() {
    let mut rng = StdRng::seed_from_u64(24);
    let all = pairs();
    let cases = all.choose_multiple(&mut rng, 24).cloned().collect();
    let (wrong, lost) = play(cases);
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(lost, 0);
}

#[test]
#[ignore = "minutes: every pair of links"]
fn every_pair_of_links_fails_together() {
    let (wrong, lost) = play(pairs());
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(lost, 0);
}

/// A controller and all workers, in both directions.
fn workers_of(node: usize, time: u64) -> Vec<Fault> {
    let place = Endpoint::Node(node);
    ["a", "b"]
        .iter()
        .flat_map(|z| {
            [
                Fault::Link(place.clone(), zone(z), LinkFault::Held, secs(time)),
                Fault::Link(zone(z), place.clone(), LinkFault::Held, secs(time)),
            ]
        })
        .collect()
}

/// Two controllers lose the workers, the third the state service: nobody reaches both sides, all
/// reach one another. Reports go by the third, which lets its roles go.
#[test]
fn nobody_reaches_both_sides() {
    let case = |seed| {
        let mut troubles = vec![Fault::Link(
            Endpoint::Node(0),
            Endpoint::State,
            LinkFault::Held,
            secs(60),
        )];
        troubles.extend(workers_of(1, 60));
        troubles.extend(workers_of(2, 60));
        let troubles = troubles.into_iter().map(|t| (60, t)).collect();
        (format!("seed {seed}"), plan(seed, 160, troubles))
    };
    let (wrong, killed, played) = play_all((1..25).map(case).collect());
    assert_eq!(wrong, Vec::<String>::new());
    for (name, outcome) in &played {
        let from: Vec<_> = outcome
            .role_moves
            .iter()
            .filter(|(at, ..)| *at > 60.0)
            .collect();
        // By word: long before the session of eight seconds has ended.
        let soon = from
            .iter()
            .any(|(at, role, _)| role == "jh/part/0" && *at < 66.5);
        assert!(soon, "{name}: {from:?}");
    }
    assert_eq!(killed, Vec::<String>::new());
}

/// Two controllers lose the workers, and the only one beside them is away for a while. Had it
/// left before all held reports were given up, a worker's next round, of two that are silent and
/// one that is gone, would outlast its lease whatever anybody does.
#[test]
fn the_only_one_beside_the_workers_restarts() {
    let mut lost = 0;
    for seed in [4, 5, 6] {
        let mut troubles: Vec<_> = [workers_of(0, 40), workers_of(1, 40)].concat();
        let mut troubles: Vec<_> = troubles.drain(..).map(|t| (60, t)).collect();
        for (n, node) in [2, 0, 1].into_iter().enumerate() {
            troubles.push((74 + 10 * n as u64, Fault::Crash(node, secs(3))));
        }
        let outcome = run(plan(seed, 150, troubles));
        assert_eq!(judge("then roll", &outcome), None);
        lost += outcome.killed;
    }
    assert_eq!(lost, 0);
}

/// Controllers refuse one another.
fn peers_refuse(at: u64, time: u64) -> Vec<(u64, Fault)> {
    let peers = |(from, to): &Link| matches!((from, to), (Endpoint::Node(_), Endpoint::Node(_)));
    let links = links().into_iter().filter(peers);
    links
        .map(|(from, to)| (at, Fault::Link(from, to, LinkFault::Refused, secs(time))))
        .collect()
}

/// Controllers refuse one another while each reaches everything else: jobs with deadlines are put
/// before their owners through the store. Without that two of three submissions of such jobs are
/// sent away as long as it lasts.
#[test]
fn jobs_with_deadlines_find_their_owner_through_the_store() {
    let troubles = peers_refuse(20, 100);
    let (mut wants, mut undecided) = (0, 0);
    for seed in [1, 2, 3, 7] {
        let outcome = run(plan(seed, 150, troubles.clone()));
        assert_eq!(judge("peers", &outcome), None);
        assert_eq!(outcome.killed, 0);
        wants += outcome.proposals;
        undecided += outcome.undecided;
    }
    assert!(wants > 8 && undecided <= 4, "{wants} {undecided}");
}

/// Controllers refuse one another and one of them loses the workers: its partition goes to one that
/// it does not hear.
#[test]
fn a_controller_without_workers_hands_over_to_one_it_does_not_hear() {
    let case = |seed| {
        let mut troubles = peers_refuse(50, 70);
        troubles.extend(workers_of(0, 50).into_iter().map(|t| (60, t)));
        (format!("seed {seed}"), plan(seed, 160, troubles))
    };
    let (wrong, killed, _) = play_all((1..25).map(case).collect());
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(killed, Vec::<String>::new());
}

/// A link that flaps, at periods around each timer: no role moves twice within a lease for it.
#[test]
fn a_flapping_link_moves_no_role_back_and_forth() {
    let mut cases = Vec::new();
    for (n, period) in [1, 2, 3, 5, 8, 12].into_iter().enumerate() {
        let mut troubles = Vec::new();
        for at in (45..120).step_by(2 * period as usize) {
            troubles.extend(workers_of(n % 3, period).into_iter().map(|t| (at, t)));
        }
        cases.push((period, plan(70 + n as u64, 160, troubles)));
    }
    for (period, plan) in cases {
        let outcome = run(plan);
        assert_eq!(judge("flapping", &outcome), None, "{period}");
        for role in 0..3 {
            let role = format!("jh/part/{role}");
            let at: Vec<f64> = outcome
                .role_moves
                .iter()
                .filter(|(at, r, _)| *r == role && *at > 45.0)
                .map(|(at, ..)| *at)
                .collect();
            assert!(
                at.windows(2).all(|w| w[1] - w[0] >= 15.5),
                "{period}: {at:?}"
            );
        }
    }
}

/// Cuts in the midst of takeovers, hand-overs, rolls, grants of keepers and standstills.
#[test]
fn cuts_with_crashes_rolling_updates_and_stalls() {
    let links = links();
    let cases = (200..216)
        .map(|seed| {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut troubles = Vec::new();
            for _ in 0..5 {
                let (from, to) = links.choose(&mut rng).unwrap().clone();
                let kind = *LinkFault::CUTTING.choose(&mut rng).unwrap();
                let at = rng.random_range(45..80);
                let time = secs(rng.random_range(3..40));
                troubles.push((at, Fault::Link(from, to, kind, time)));
            }
            let node = rng.random_range(0..3);
            match seed % 4 {
                0 => troubles.push((60, Fault::Crash(node, secs(6)))),
                1 => troubles.extend((0..3).map(|n| (55 + 9 * n as u64, Fault::Crash(n, secs(4))))),
                2 => troubles.push((62, Fault::Stall(node, secs(12)))),
                _ => troubles.push((58, Fault::Refused(node, secs(15)))),
            }
            (format!("seed {seed}"), plan(seed, 155, troubles))
        })
        .collect();
    let (wrong, _) = play(cases);
    assert_eq!(wrong, Vec::<String>::new());
}
