//! Links that fail in one direction, singly and in combination. Beside the rules of the protocol
//! the tests check that soon after the last cut ([`RECOVERY_LIMIT_S`]) every role has a live owner
//! and every worker is answered, and that no worker loses tasks to an expired lease while any
//! controller reaches both the workers of its zone and the state service.
//!
//! CI runs every single link with one kind of failure and a random sample of the pairs of links. To
//! run all links, kinds and pairs, which takes some minutes:
//! `cargo test --release -p jasperhill-testkit --test network_partitions -- --ignored`.

use jasperhill_testkit::{
    Scenario,
    faults::{Endpoint, Fault, LinkFault},
    outcome::Outcome,
    run, run_all,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::time::Duration;

/// Directed link, from the endpoint that sends requests to the endpoint that answers.
type Link = (Endpoint, Endpoint);

/// Start of the cuts, in seconds from the start of the scenario.
const CUT_START_S: u64 = 45;
/// Duration of the cuts in seconds.
const CUT_DURATION_S: u64 = 45;
/// Time in seconds after the cuts within which all roles must be owned and all workers answered.
const RECOVERY_LIMIT_S: u64 = 30;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn zone(name: &str) -> Endpoint {
    Endpoint::Zone(name.to_owned())
}

/// Returns every directed link of a deployment of three controllers and two zones, as (requester,
/// responder).
fn links() -> Vec<Link> {
    let mut links = Vec::new();
    for n in 0..3 {
        links.push((Endpoint::Node(n), Endpoint::State));
        for other in (0..3).filter(|other| *other != n) {
            links.push((Endpoint::Node(n), Endpoint::Node(other)));
        }
        for z in ["a", "b"] {
            links.push((Endpoint::Node(n), zone(z)));
            links.push((zone(z), Endpoint::Node(n)));
        }
    }
    links
}

fn scenario(seed: u64, seconds: u64, faults: Vec<(u64, Fault)>) -> Scenario {
    Scenario::small(seed, seconds, 30, faults)
}

/// Returns a message if the outcome breaks a rule, leaves a role unowned or a worker unanswered, or
/// has started too few tasks to prove anything.
fn failed_check(name: &str, outcome: &Outcome) -> Option<String> {
    let is_ok = outcome.violations.is_empty()
        && outcome.unowned.is_empty()
        && outcome.unanswered.is_empty()
        && outcome.started > 20;
    (!is_ok).then(|| format!("{name}: {outcome:?}"))
}

/// Runs all cases in parallel. Returns the messages of failed checks, a message for each case in
/// which expired leases killed tasks, and the outcome of each case.
fn run_cases(cases: Vec<(String, Scenario)>) -> (Vec<String>, Vec<String>, Vec<(String, Outcome)>) {
    let outcomes = run_all(&cases);
    let failures = outcomes
        .iter()
        .filter_map(|(name, outcome)| failed_check(name, outcome))
        .collect();
    let with_killed_tasks = outcomes.iter().filter(|(_, outcome)| outcome.killed > 0);
    let killed =
        with_killed_tasks.map(|(name, outcome)| format!("{name}: {} killed", outcome.killed));
    (failures, killed.collect(), outcomes)
}

/// Runs all cases in parallel. Returns the messages of failed checks, and the number of tasks
/// killed by an expired lease although some controller reached both their zone and the state
/// service.
fn run_and_count_avoidable_losses(cases: Vec<(String, Scenario)>) -> (Vec<String>, usize) {
    let (failures, _, outcomes) = run_cases(cases);
    for (name, outcome) in &outcomes {
        if outcome.killed_in_reach > 0 {
            println!(
                "{name}: {} tasks killed although a controller reached them",
                outcome.killed_in_reach
            );
        }
    }
    let tasks_lost = outcomes
        .iter()
        .map(|(_, outcome)| outcome.killed_in_reach)
        .sum();
    (failures, tasks_lost)
}

/// Returns a named scenario in which these links fail at the same time.
fn scenario_with_cuts(cuts: &[(&Link, LinkFault)], seed: u64) -> (String, Scenario) {
    let link_fault = |((from, to), kind): &(&Link, LinkFault)| {
        (
            CUT_START_S,
            Fault::Link(from.clone(), to.clone(), *kind, secs(CUT_DURATION_S)),
        )
    };
    let scenario = scenario(
        seed,
        CUT_START_S + CUT_DURATION_S + RECOVERY_LIMIT_S,
        cuts.iter().map(link_fault).collect(),
    );
    (format!("{cuts:?}"), scenario)
}

#[test]
fn no_task_is_lost_when_any_single_link_fails() {
    let cases = links()
        .iter()
        .enumerate()
        .map(|(n, link)| scenario_with_cuts(&[(link, LinkFault::CUTTING[n % 5])], n as u64))
        .collect();
    let (failures, tasks_lost) = run_and_count_avoidable_losses(cases);
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(tasks_lost, 0);
}

#[test]
#[ignore = "takes minutes: every single link in every way"]
fn no_task_is_lost_when_any_single_link_fails_in_any_way() {
    let degrading_kinds = [LinkFault::Slow(1_500), LinkFault::Lossy(40)];
    let mut cases = Vec::new();
    for link in &links() {
        for kind in LinkFault::CUTTING.into_iter().chain(degrading_kinds) {
            cases.push(scenario_with_cuts(&[(link, kind)], cases.len() as u64));
        }
    }
    let (failures, tasks_lost) = run_and_count_avoidable_losses(cases);
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(tasks_lost, 0);
}

/// Returns a scenario for each pair of links, with the kinds of failure assigned in rotation.
fn scenarios_of_link_pairs() -> Vec<(String, Scenario)> {
    let links = links();
    let mut cases = Vec::new();
    for (i, first) in links.iter().enumerate() {
        for (j, second) in links[..i].iter().enumerate() {
            let kinds = (
                LinkFault::CUTTING[(i + j) % 5],
                LinkFault::CUTTING[(i * 3 + j) % 5],
            );
            cases.push(scenario_with_cuts(
                &[(first, kinds.0), (second, kinds.1)],
                cases.len() as u64,
            ));
        }
    }
    cases
}

#[test]
fn no_task_is_lost_when_sampled_pairs_of_links_fail() {
    let mut rng = StdRng::seed_from_u64(24);
    let all = scenarios_of_link_pairs();
    let cases = all.choose_multiple(&mut rng, 24).cloned().collect();
    let (failures, tasks_lost) = run_and_count_avoidable_losses(cases);
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(tasks_lost, 0);
}

#[test]
#[ignore = "takes minutes: every pair of links"]
fn no_task_is_lost_when_any_pair_of_links_fails() {
    let (failures, tasks_lost) = run_and_count_avoidable_losses(scenarios_of_link_pairs());
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(tasks_lost, 0);
}

/// Returns faults that hold back all requests between a controller and all workers, in both
/// directions.
fn cut_from_workers(node: usize, duration_s: u64) -> Vec<Fault> {
    let controller = Endpoint::Node(node);
    ["a", "b"]
        .iter()
        .flat_map(|z| {
            [
                Fault::Link(
                    controller.clone(),
                    zone(z),
                    LinkFault::Held,
                    secs(duration_s),
                ),
                Fault::Link(
                    zone(z),
                    controller.clone(),
                    LinkFault::Held,
                    secs(duration_s),
                ),
            ]
        })
        .collect()
}

/// Guards against tasks killed when no controller reaches both the workers and the state service.
/// Two controllers lose the workers and the third loses the state service, but all controllers
/// reach one another. Heartbeats must pass through the third controller, which must release its
/// roles.
#[test]
fn no_task_is_lost_when_no_controller_reaches_workers_and_state_service() {
    let build_case = |seed| {
        let mut faults = vec![Fault::Link(
            Endpoint::Node(0),
            Endpoint::State,
            LinkFault::Held,
            secs(60),
        )];
        faults.extend(cut_from_workers(1, 60));
        faults.extend(cut_from_workers(2, 60));
        let faults = faults.into_iter().map(|fault| (60, fault)).collect();
        (format!("seed {seed}"), scenario(seed, 160, faults))
    };
    let (failures, killed, outcomes) = run_cases((1..25).map(build_case).collect());
    assert_eq!(failures, Vec::<String>::new());
    for (name, outcome) in &outcomes {
        let moves_after_cut: Vec<_> = outcome
            .role_moves
            .iter()
            .filter(|(at, ..)| *at > 60.0)
            .collect();
        // The role is handed over by message, long before the session of eight seconds expires.
        let is_released_early = moves_after_cut
            .iter()
            .any(|(at, role, _)| role == "jh/part/0" && *at < 66.5);
        assert!(is_released_early, "{name}: {moves_after_cut:?}");
    }
    assert_eq!(killed, Vec::<String>::new());
}

/// Guards against tasks killed when two controllers lose the workers and the only controller that
/// still reaches them restarts. The restart comes after all held heartbeats have been given up. Had
/// the controller gone earlier, a worker's next round of attempts, with two silent controllers and
/// one that is down, would outlast its lease in any case.
#[test]
fn no_task_is_lost_when_the_only_controller_with_workers_restarts() {
    let mut tasks_lost = 0;
    for seed in [4, 5, 6] {
        let mut faults: Vec<_> = [cut_from_workers(0, 40), cut_from_workers(1, 40)].concat();
        let mut faults: Vec<_> = faults.drain(..).map(|fault| (60, fault)).collect();
        for (n, node) in [2, 0, 1].into_iter().enumerate() {
            faults.push((74 + 10 * n as u64, Fault::Crash(node, secs(3))));
        }
        let outcome = run(scenario(seed, 150, faults));
        assert_eq!(failed_check("restart", &outcome), None);
        tasks_lost += outcome.killed;
    }
    assert_eq!(tasks_lost, 0);
}

/// Returns faults in which controllers refuse one another's connections from second `at` on for
/// `duration_s` seconds.
fn refusals_between_controllers(at: u64, duration_s: u64) -> Vec<(u64, Fault)> {
    let peers = |(from, to): &Link| matches!((from, to), (Endpoint::Node(_), Endpoint::Node(_)));
    let links = links().into_iter().filter(peers);
    links
        .map(|(from, to)| {
            (
                at,
                Fault::Link(from, to, LinkFault::Refused, secs(duration_s)),
            )
        })
        .collect()
}

/// Guards against rejected submissions of jobs with deadlines while controllers refuse one
/// another's connections but reach everything else. Such jobs are proposed to their owners through
/// the state service. Without that path two of three such submissions are rejected for as long as
/// the fault lasts.
#[test]
fn jobs_with_deadlines_reach_their_owner_through_the_state_service() {
    let faults = refusals_between_controllers(20, 100);
    let (mut proposals, mut undecided) = (0, 0);
    for seed in [1, 2, 3, 7] {
        let outcome = run(scenario(seed, 150, faults.clone()));
        assert_eq!(failed_check("peers", &outcome), None);
        assert_eq!(outcome.killed, 0);
        proposals += outcome.proposals;
        undecided += outcome.undecided;
    }
    assert!(proposals > 8 && undecided <= 4, "{proposals} {undecided}");
}

/// Guards against tasks killed when controllers refuse one another's connections and one of them
/// loses the workers. That controller must hand its partition over to a controller from which it
/// receives no messages.
#[test]
fn controller_without_workers_hands_over_to_an_unheard_peer() {
    let build_case = |seed| {
        let mut faults = refusals_between_controllers(50, 70);
        faults.extend(cut_from_workers(0, 50).into_iter().map(|fault| (60, fault)));
        (format!("seed {seed}"), scenario(seed, 160, faults))
    };
    let (failures, killed, _) = run_cases((1..25).map(build_case).collect());
    assert_eq!(failures, Vec::<String>::new());
    assert_eq!(killed, Vec::<String>::new());
}

/// Guards against a role that moves twice within a lease because a link flaps. The periods lie
/// around those of the controllers' timers.
#[test]
fn a_flapping_link_moves_no_role_back_and_forth() {
    let mut cases = Vec::new();
    for (n, period_s) in [1, 2, 3, 5, 8, 12].into_iter().enumerate() {
        let mut faults = Vec::new();
        for at in (45..120).step_by(2 * period_s as usize) {
            faults.extend(
                cut_from_workers(n % 3, period_s)
                    .into_iter()
                    .map(|fault| (at, fault)),
            );
        }
        cases.push((period_s, scenario(70 + n as u64, 160, faults)));
    }
    for (period_s, scenario) in cases {
        let outcome = run(scenario);
        assert_eq!(failed_check("flapping", &outcome), None, "{period_s}");
        for role in 0..3 {
            let role = format!("jh/part/{role}");
            let move_times: Vec<f64> = outcome
                .role_moves
                .iter()
                .filter(|(at, r, _)| *r == role && *at > 45.0)
                .map(|(at, ..)| *at)
                .collect();
            assert!(
                move_times.windows(2).all(|pair| pair[1] - pair[0] >= 15.5),
                "{period_s}: {move_times:?}"
            );
        }
    }
}

/// Guards against rule violations when links are cut during takeovers, handovers, rolling restarts,
/// delegations of lease renewal, refusals and stalls.
#[test]
fn invariants_hold_when_cuts_meet_crashes_rolling_restarts_and_stalls() {
    let links = links();
    let cases = (200..216)
        .map(|seed| {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut faults = Vec::new();
            for _ in 0..5 {
                let (from, to) = links.choose(&mut rng).unwrap().clone();
                let kind = *LinkFault::CUTTING.choose(&mut rng).unwrap();
                let at = rng.random_range(45..80);
                let time = secs(rng.random_range(3..40));
                faults.push((at, Fault::Link(from, to, kind, time)));
            }
            let node = rng.random_range(0..3);
            match seed % 4 {
                0 => faults.push((60, Fault::Crash(node, secs(6)))),
                1 => faults.extend((0..3).map(|n| (55 + 9 * n as u64, Fault::Crash(n, secs(4))))),
                2 => faults.push((62, Fault::Stall(node, secs(12)))),
                _ => faults.push((58, Fault::Refused(node, secs(15)))),
            }
            (format!("seed {seed}"), scenario(seed, 155, faults))
        })
        .collect();
    let (failures, _) = run_and_count_avoidable_losses(cases);
    assert_eq!(failures, Vec::<String>::new());
}
