//! A state service that is slow, refuses a controller or is unavailable.

use crate::support::{
    FAULT_START_S, OUTAGE_START_S, assert_invariants_hold, millis, refusal_then_outage,
    run_scenarios, secs,
};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::days::cut_from_peers;
use jasperhill_testkit::faults::{Endpoint, Fault, LinkFault};
use jasperhill_testkit::outcome::ConfirmedCancellation;

/// Guards against jobs whose users get no answer because they keep asking a controller that has
/// lost the state service and all other controllers, but that users still reach. If that controller
/// did not stop reporting that it is ready, jobs would be forgotten.
#[test]
fn users_switch_away_from_an_isolated_controller() {
    let scenarios = (0..3).map(|node| {
        let mut faults = cut_from_peers(node, FAULT_START_S, 130);
        faults.push((
            FAULT_START_S,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(130)),
        ));
        (format!("node {node}"), Scenario::small(5, 300, 60, faults))
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        assert!(
            outcome.longest_silence.0 < 60.0,
            "{name}: {:?}",
            outcome.longest_silence
        );
        // Other controllers confirmed cancellations during the isolation.
        let node: usize = name[5..].parse().unwrap();
        let through_others = |cancel: &&ConfirmedCancellation| {
            (80.0..210.0).contains(&cancel.at) && cancel.node != node
        };
        assert!(
            outcome.cancels.iter().filter(through_others).count() > 3,
            "{name}"
        );
    }
}

#[test]
fn invariants_hold_when_the_state_service_slows_then_refuses_one_then_all() {
    let scenarios = (0..3).map(|node| {
        let slow = |n| {
            Fault::Link(
                Endpoint::Node(n),
                Endpoint::State,
                LinkFault::Slow(300),
                secs(35),
            )
        };
        let slow_links = (0..3).map(|n| (OUTAGE_START_S - 40, slow(n))).collect();
        let mut scenario = refusal_then_outage(70 + node as u64, node, 5, slow_links);
        scenario.long_tasks = None;
        (format!("node {node}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
}

/// Guards against roles without a live owner and stale host records after the leader crashes ten
/// times in two minutes, half of them inside an outage of the state service.
///
/// The number of moves of the leader role varies by seed: if a takeover is carried out late, the
/// crashed leader may be back before it. Of 48 seeds 6 had only four moves at 5f86eb5, and 3 have
/// only four now. The test therefore checks six scenarios, twice as many as earlier, and requires
/// more than four moves in three of them, as many scenarios as it ran earlier.
#[test]
fn ten_leader_crashes_around_an_outage_leave_no_role_unowned() {
    let scenarios = (0..6).map(|n| {
        // 9.5 s outlasts a session, so that another controller takes the role. Every fourth crash
        // lasts only 300 ms.
        let downtime = |i: u64| millis(if i % 4 == 3 { 300 } else { 9_500 });
        let mut faults: Vec<_> = (0..10)
            .map(|i| (60 + 12 * i, Fault::CrashLeader(downtime(i))))
            .collect();
        faults.push((100, Fault::StateOutage(secs(50))));
        faults.push((58, Fault::LateWrites(30, secs(120))));
        faults.push((75, Fault::DelayedCommands(50, secs(60))));
        faults.push((90, Fault::NotSending(30, secs(30))));
        faults.push((96, Fault::CancelNow(6, secs(9))));
        let scenario = Scenario {
            uneven_arrays: 10,
            ..Scenario::small(170 + n as u64, 340, 60, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    let mut runs_with_many_moves = 0;
    for (name, outcome) in &runs {
        let leader_moves = outcome
            .role_moves
            .iter()
            .filter(|(_, role, _)| role == "jh/leader")
            .count();
        assert!(leader_moves >= 4, "{name}: {:?}", outcome.role_moves);
        runs_with_many_moves += usize::from(leader_moves > 4);
        assert!(
            outcome.unowned.is_empty() && outcome.stale_host_records.is_empty(),
            "{name}: {outcome:?}"
        );
    }
    assert!(runs_with_many_moves >= 3, "{runs_with_many_moves}");
}

/// Guards against workers that nobody answers because no controller knows the machine types: the
/// cloud fails, all controllers end, and the types were in the memory of the leader only.
#[test]
fn workers_are_answered_after_all_controllers_restart_in_a_cloud_outage() {
    let scenarios = (0..3).map(|n| {
        let mut faults = vec![(20, Fault::CloudOutage(secs(60)))];
        faults.extend((0..3).map(|node| (25, Fault::Crash(node, secs(2)))));
        let scenario = Scenario {
            // Tasks run on, and nobody cancels them before the outage is over.
            long_tasks: Some((200, 240)),
            uneven_arrays: 8,
            ..Scenario::small(160 + n, 250, 60, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        assert_eq!(outcome.killed, 0, "{name}");
    }
}
