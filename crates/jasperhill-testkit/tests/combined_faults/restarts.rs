//! Controllers end and come back.

use crate::support::{AT, CANCEL, judge, met, millis, play, secs};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::Fault;
use std::time::Duration;

#[test]
fn a_leader_crashes_while_machines_receive_nothing() {
    let plans = (0..3).map(|node| {
        let troubles = vec![
            (AT, Fault::NotReceiving(50, secs(14 + 12 * node as u64))),
            (AT + 3, Fault::Crash(node, secs(4))),
            (AT + 60, Fault::NotReceiving(50, secs(40))),
            (AT + 62, Fault::Crash((node + 1) % 3, millis(300))),
        ];
        (
            format!("node {node}"),
            Scenario::small(10 + node as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.unheard) > 100);
}

/// Tasks of one job that end far apart, while its owners change again and again.
#[test]
fn tasks_of_a_job_end_far_apart_across_changes_of_leader() {
    let plans = (0..3).map(|n| {
        let mut troubles: Vec<_> = (0..7)
            .map(|i| (50 + 18 * i, Fault::Crash((i as usize + n) % 3, secs(10))))
            .collect();
        troubles.push((60, Fault::LateWrites(20, secs(100))));
        let plan = Scenario {
            uneven: 30,
            ..Scenario::small(40 + n as u64, 300, 20, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        // All of them are done, each told when every task was; and nothing ran once more.
        assert_eq!(o.uneven, 30, "{name}: {o:?}");
        assert!(
            o.again <= 2,
            "{name}: {} finished tasks were started again",
            o.again
        );
        assert!(o.role_moves.len() > 12, "{name}: {:?}", o.role_moves);
    }
}

#[test]
fn all_controllers_restart_within_a_second() {
    let plans = (0..3).map(|n| {
        let times = |node, times, life, back| Fault::CrashLoop {
            node,
            times,
            life: millis(life),
            back: millis(back),
        };
        let troubles = vec![
            (AT, times(0, 4, 900, 200)),
            (AT, times(1, 4, 1_300, 300)),
            (AT, times(2, 4, 1_700, 250)),
            (AT + 30, times(n, 5, 4_000, 300)),
            (AT + 30, Fault::LateWrites(30, secs(40))),
            (AT + 60, Fault::Crash(0, millis(200))),
            (AT + 60, Fault::Crash(1, millis(400))),
            (AT + 60, Fault::Crash(2, secs(15))),
        ];
        (
            format!("day {n}"),
            Scenario::small(50 + n as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        assert!(
            o.unowned.is_empty() && o.unanswered.is_empty(),
            "{name}: {o:?}"
        );
    }
}

/// All controllers are away for longer than a lease; jobs were called off just before, machines are
/// mute or hang meanwhile, and writes of before are carried out late.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let plans = (0..4).map(|n| {
        let away = 18 + 9 * n as u64;
        let mut troubles: Vec<_> = (0..3)
            .map(|node| {
                (
                    AT,
                    Fault::Crash(node, secs(away) + millis(200 * node as u64)),
                )
            })
            .collect();
        troubles.push((AT - 12, Fault::LateWrites(60, secs(12))));
        troubles.push((AT - 2, Fault::CancelNow(8, Duration::ZERO)));
        troubles.push((AT + 4, Fault::Hang(3, secs(10))));
        troubles.push((AT + away - 3, Fault::NotSending(50, secs(20))));
        let plan = Scenario {
            uneven: 10,
            ..Scenario::small(160 + n as u64, 300, 60, troubles)
        };
        (format!("{away} s"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 10);
    for (name, o) in &played {
        assert!(o.killed > 0, "{name}: nobody was away for so long");
        assert!(o.latest_start < CANCEL, "{name}: {}", o.latest_start);
    }
}
