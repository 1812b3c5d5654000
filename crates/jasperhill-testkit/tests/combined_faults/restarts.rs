//! Controllers that crash and restart.

use crate::support::{
    CANCEL_LIMIT_S, FAULT_START_S, assert_invariants_hold, millis, run_scenarios, secs, total_count,
};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::Fault;
use std::time::Duration;

#[test]
fn invariants_hold_when_a_leader_crashes_while_machines_receive_nothing() {
    let scenarios = (0..3).map(|node| {
        let faults = vec![
            (
                FAULT_START_S,
                Fault::NotReceiving(50, secs(14 + 12 * node as u64)),
            ),
            (FAULT_START_S + 3, Fault::Crash(node, secs(4))),
            (FAULT_START_S + 60, Fault::NotReceiving(50, secs(40))),
            (
                FAULT_START_S + 62,
                Fault::Crash((node + 1) % 3, millis(300)),
            ),
        ];
        (
            format!("node {node}"),
            Scenario::small(10 + node as u64, 260, 60, faults),
        )
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.messages_not_received) > 100);
}

/// Guards against lost or repeated task results when the tasks of one job end far apart and the
/// job's owner changes many times between the first result and the last.
#[test]
fn jobs_with_uneven_task_durations_complete_across_leader_changes() {
    let scenarios = (0..3).map(|n| {
        let mut faults: Vec<_> = (0..7)
            .map(|i| (50 + 18 * i, Fault::Crash((i as usize + n) % 3, secs(10))))
            .collect();
        faults.push((60, Fault::LateWrites(20, secs(100))));
        let scenario = Scenario {
            uneven_arrays: 30,
            ..Scenario::small(40 + n as u64, 300, 20, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        // Users were told of the completion of all 30 jobs, and at most two finished tasks were
        // started again.
        assert_eq!(outcome.uneven_jobs_done, 30, "{name}: {outcome:?}");
        assert!(
            outcome.tasks_restarted_after_result <= 2,
            "{name}: {} finished tasks were started again",
            outcome.tasks_restarted_after_result
        );
        assert!(
            outcome.role_moves.len() > 12,
            "{name}: {:?}",
            outcome.role_moves
        );
    }
}

#[test]
fn roles_and_workers_recover_after_all_controllers_restart_together() {
    let scenarios = (0..3).map(|n| {
        let crash_loop = |node, times, life, back| Fault::CrashLoop {
            node,
            times,
            life: millis(life),
            back: millis(back),
        };
        let faults = vec![
            (FAULT_START_S, crash_loop(0, 4, 900, 200)),
            (FAULT_START_S, crash_loop(1, 4, 1_300, 300)),
            (FAULT_START_S, crash_loop(2, 4, 1_700, 250)),
            (FAULT_START_S + 30, crash_loop(n, 5, 4_000, 300)),
            (FAULT_START_S + 30, Fault::LateWrites(30, secs(40))),
            (FAULT_START_S + 60, Fault::Crash(0, millis(200))),
            (FAULT_START_S + 60, Fault::Crash(1, millis(400))),
            (FAULT_START_S + 60, Fault::Crash(2, secs(15))),
        ];
        (
            format!("scenario {n}"),
            Scenario::small(50 + n as u64, 260, 60, faults),
        )
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        assert!(
            outcome.unowned.is_empty() && outcome.unanswered.is_empty(),
            "{name}: {outcome:?}"
        );
    }
}

/// Guards against cancelled jobs whose tasks start again after all controllers were down for longer
/// than a lease. Jobs are cancelled just before, machines hang or cannot send meanwhile, and
/// transactions sent before the crash are carried out late.
#[test]
fn cancellations_hold_when_all_controllers_are_down_longer_than_a_lease() {
    let scenarios = (0..4).map(|n| {
        let down_s = 18 + 9 * n as u64;
        let mut faults: Vec<_> = (0..3)
            .map(|node| {
                (
                    FAULT_START_S,
                    Fault::Crash(node, secs(down_s) + millis(200 * node as u64)),
                )
            })
            .collect();
        faults.push((FAULT_START_S - 12, Fault::LateWrites(60, secs(12))));
        faults.push((FAULT_START_S - 2, Fault::CancelNow(8, Duration::ZERO)));
        faults.push((FAULT_START_S + 4, Fault::Hang(3, secs(10))));
        faults.push((FAULT_START_S + down_s - 3, Fault::NotSending(50, secs(20))));
        let scenario = Scenario {
            uneven_arrays: 10,
            ..Scenario::small(160 + n as u64, 300, 60, faults)
        };
        (format!("{down_s} s"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.cancelled_while_running) > 10);
    for (name, outcome) in &runs {
        assert!(
            outcome.killed > 0,
            "{name}: no task was killed, so no lease ran out"
        );
        assert!(
            outcome.latest_start < CANCEL_LIMIT_S,
            "{name}: {}",
            outcome.latest_start
        );
    }
}
