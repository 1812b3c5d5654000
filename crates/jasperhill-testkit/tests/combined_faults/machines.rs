//! Unreachable or lost machines, zones that are cut off, and team limits during such faults.

use crate::support::{
    FAULT_START_S, assert_invariants_hold, millis, run_scenarios, secs, total_count,
};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::{Endpoint, Fault};
use std::time::Duration;

/// Guards against tasks that are started on machines whose heartbeats reach no controller although
/// direct commands still reach the machines. Running tasks continue there until their lease ends.
/// Only a new owner, which cannot know yet that a machine is silent, may start tasks there.
#[test]
fn few_tasks_start_on_machines_that_send_nothing() {
    let build_scenario = |n: usize, extra_faults: Vec<(u64, Fault)>| {
        let mut faults = vec![
            (
                FAULT_START_S,
                Fault::NotSending(50, secs(20 + 15 * n as u64)),
            ),
            (FAULT_START_S + 80, Fault::NotSending(60, secs(50))),
        ];
        faults.extend(extra_faults);
        let scenario = Scenario {
            uneven_arrays: 8,
            ..Scenario::small(90 + n as u64, 330, 60, faults)
        };
        (format!("scenario {n}"), scenario)
    };
    let without_crashes = run_scenarios((0..4).map(|n| build_scenario(n, Vec::new())).collect());
    assert_invariants_hold(&without_crashes);
    assert!(total_count(&without_crashes, |counts| counts.unsent_heartbeats) > 200);
    // Counts tasks started on machines that had reached no controller for more than two and a half
    // report intervals. Some such starts are expected: a controller that hears too few machines
    // loses its roles, and the next owner treats every machine as live for a few seconds.
    assert!(total_count(&without_crashes, |counts| counts.starts_while_not_sending) < 40);
    let crashes_and_refusal = |n: usize| {
        vec![
            (FAULT_START_S + 4, Fault::Crash(n % 3, secs(3))),
            (FAULT_START_S + 30, Fault::Crash((n + 1) % 3, millis(300))),
            (FAULT_START_S + 82, Fault::LateWrites(40, secs(40))),
            (FAULT_START_S + 90, Fault::Refused((n + 2) % 3, secs(15))),
        ]
    };
    let runs = run_scenarios(
        (0..4)
            .map(|n| build_scenario(n, crashes_and_refusal(n)))
            .collect(),
    );
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.commands_while_not_sending) > 20);
}

/// Guards against team limits that are exceeded or stay reserved when jobs are cancelled while
/// leaders change and machines are unreachable. A cancelled task's share of its team's limit must
/// be reused, but only once the task has certainly ended.
#[test]
fn team_limits_are_reused_after_cancellations_on_unreachable_machines() {
    let unreachable_faults: [fn(u64) -> Fault; 3] = [
        |duration_s| Fault::NotSending(60, secs(duration_s)),
        |duration_s| Fault::NotReceiving(60, secs(duration_s)),
        |duration_s| Fault::Hang(4, secs(duration_s)),
    ];
    let scenarios = (0..6).map(|n| {
        let unreachable_for = unreachable_faults[n % 3];
        let faults = vec![
            (FAULT_START_S, unreachable_for(13 + 6 * n as u64)),
            (FAULT_START_S + 2, Fault::Crash(n % 3, millis(300))),
            (FAULT_START_S + 3, Fault::CancelNow(8, Duration::ZERO)),
            (FAULT_START_S + 9, Fault::Crash((n + 1) % 3, secs(8))),
            (FAULT_START_S + 11, Fault::CancelNow(8, Duration::ZERO)),
            (FAULT_START_S + 70, Fault::DelayedCommands(60, secs(30))),
            (FAULT_START_S + 72, Fault::Crash(n % 3, secs(4))),
        ];
        let scenario = Scenario {
            // More jobs than the team limits allow at any time.
            flood: (24, 40),
            ..Scenario::small(130 + n as u64, 330, 60, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.cancelled_while_running) > 30);
    for (name, outcome) in &runs {
        // Team limits cap the running tasks at 20 GPUs in total, so a value near 20 shows that
        // teams reached their limits.
        assert!(
            outcome.most_at_once >= 15,
            "{name}: {}",
            outcome.most_at_once
        );
    }
}

/// Guards against jobs bound to a zone that wait too long after the zone, with its workers and one
/// controller, was cut off for longer than a lease. All links recover at the same moment. During
/// the cut jobs are cancelled outside the zone.
#[test]
fn zone_bound_jobs_start_after_their_zone_and_a_controller_were_cut_off() {
    let scenarios = (0..4).map(|n| {
        let cut_s = [20, 35, 60, 90][n];
        let zone_b = || Endpoint::Zone("b".to_owned());
        let (zone_a, node_1) = (Endpoint::Zone("a".to_owned()), Endpoint::Node(1));
        let mut faults: Vec<_> = [
            (node_1.clone(), Endpoint::State),
            (node_1.clone(), Endpoint::Cloud),
            (node_1.clone(), Endpoint::Node(0)),
            (node_1.clone(), Endpoint::Node(2)),
            (node_1, zone_a),
            (Endpoint::Node(0), zone_b()),
            (Endpoint::Node(2), zone_b()),
        ]
        .into_iter()
        .map(|(from, to)| (FAULT_START_S, Fault::Cut(from, to, secs(cut_s))))
        .collect();
        faults.push((FAULT_START_S + 3, Fault::CancelNow(8, Duration::ZERO)));
        faults.push((FAULT_START_S + 18, Fault::CancelNow(8, secs(10))));
        let scenario = Scenario {
            zone_bound_jobs: 25,
            ..Scenario::small(140 + n as u64, 300, 60, faults)
        };
        (format!("{cut_s} s"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.cancelled_while_running) > 20);
    for (name, outcome) in &runs {
        assert!(
            outcome.zone_bound_jobs_started > 10,
            "{name}: {}",
            outcome.zone_bound_jobs_started
        );
        assert!(
            outcome.longest_wait < 90.0,
            "{name}: {}",
            outcome.longest_wait
        );
    }
}

/// Guards against jobs bound to one zone, of every shape, that wait beside free capacity after
/// their machines are lost one by one while leaders change.
#[test]
fn zone_bound_jobs_start_after_machine_losses() {
    let scenarios = (0..4).map(|n| {
        let mut faults: Vec<_> = (0..10).map(|i| (45 + 11 * i, Fault::MachineLoss)).collect();
        faults.push((60, Fault::Hang(3, secs(13))));
        faults.push((66, Fault::Crash(n % 3, millis(300))));
        faults.push((90, Fault::NotSending(40, secs(25))));
        faults.push((97, Fault::Crash((n + 1) % 3, secs(5))));
        faults.push((120, Fault::NotReceiving(40, secs(25))));
        let scenario = Scenario {
            zone_bound_jobs: 50,
            ..Scenario::small(150 + n as u64, 320, 30, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        assert!(
            outcome.zone_bound_jobs_started > 25,
            "{name}: {}",
            outcome.zone_bound_jobs_started
        );
        assert!(
            outcome.longest_wait < 90.0,
            "{name}: {}",
            outcome.longest_wait
        );
    }
}
