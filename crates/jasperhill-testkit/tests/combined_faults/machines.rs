//! Machines that are not reached, zones that are cut off, and limits meanwhile.

use crate::support::{AT, judge, met, millis, play, secs};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::{Endpoint, Fault};
use std::time::Duration;

/// Machines that reach nobody while orders reach them. What runs there runs until its lease ends;
/// nothing new is begun there, unless a new owner can't know better yet.
#[test]
fn machines_send_nothing_while_commands_reach_them() {
    let plan = |n: usize, more: Vec<(u64, Fault)>| {
        let mut troubles = vec![
            (AT, Fault::NotSending(50, secs(20 + 15 * n as u64))),
            (AT + 80, Fault::NotSending(60, secs(50))),
        ];
        troubles.extend(more);
        let plan = Scenario {
            uneven: 8,
            ..Scenario::small(90 + n as u64, 330, 60, troubles)
        };
        (format!("day {n}"), plan)
    };
    let alone = play((0..4).map(|n| plan(n, Vec::new())).collect());
    judge(&alone);
    assert!(met(&alone, |m| m.mute_reports) > 200);
    // Work begun on machines that had reached nobody for longer than two reports and a half: roles go
    // from those who hear too few, and whoever comes next gives every machine a few seconds.
    assert!(met(&alone, |m| m.mute_starts) < 40);
    let changes = |n: usize| {
        vec![
            (AT + 4, Fault::Crash(n % 3, secs(3))),
            (AT + 30, Fault::Crash((n + 1) % 3, millis(300))),
            (AT + 82, Fault::LateWrites(40, secs(40))),
            (AT + 90, Fault::Refused((n + 2) % 3, secs(15))),
        ]
    };
    let played = play((0..4).map(|n| plan(n, changes(n))).collect());
    judge(&played);
    assert!(met(&played, |m| m.mute_orders) > 20);
}

/// Teams are at their limits when leaders change, machines can't be asked, and jobs are called off in
/// that spell: their room is given out again when their tasks are surely gone, and then it is.
#[test]
fn a_team_at_its_limit_while_machines_cannot_be_asked() {
    let silent: [fn(u64) -> Fault; 3] = [
        |time| Fault::NotSending(60, secs(time)),
        |time| Fault::NotReceiving(60, secs(time)),
        |time| Fault::Hang(4, secs(time)),
    ];
    let plans = (0..6).map(|n| {
        let spell = silent[n % 3];
        let troubles = vec![
            (AT, spell(13 + 6 * n as u64)),
            (AT + 2, Fault::Crash(n % 3, millis(300))),
            (AT + 3, Fault::CancelNow(8, Duration::ZERO)),
            (AT + 9, Fault::Crash((n + 1) % 3, secs(8))),
            (AT + 11, Fault::CancelNow(8, Duration::ZERO)),
            (AT + 70, Fault::DelayedCommands(60, secs(30))),
            (AT + 72, Fault::Crash(n % 3, secs(4))),
        ];
        let plan = Scenario {
            // More than the limits allow at any time.
            flood: (24, 40),
            ..Scenario::small(130 + n as u64, 330, 60, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 30);
    for (name, o) in &played {
        // The limits bound what runs: at them, 20 GPUs are in use together.
        assert!(o.most_at_once >= 15, "{name}: {}", o.most_at_once);
    }
}

/// A zone with workers and a controller is cut off for longer than a lease, and all end of the cut
/// arrives at once; jobs are called off outside, and are bound to the zone.
#[test]
fn a_zone_with_a_controller_is_cut_off() {
    let plans = (0..4).map(|n| {
        let time = [20, 35, 60, 90][n];
        let b = || Endpoint::Zone("b".to_owned());
        let (a, one) = (Endpoint::Zone("a".to_owned()), Endpoint::Node(1));
        let mut troubles: Vec<_> = [
            (one.clone(), Endpoint::State),
            (one.clone(), Endpoint::Cloud),
            (one.clone(), Endpoint::Node(0)),
            (one.clone(), Endpoint::Node(2)),
            (one, a),
            (Endpoint::Node(0), b()),
            (Endpoint::Node(2), b()),
        ]
        .into_iter()
        .map(|(from, to)| (AT, Fault::Cut(from, to, secs(time))))
        .collect();
        troubles.push((AT + 3, Fault::CancelNow(8, Duration::ZERO)));
        troubles.push((AT + 18, Fault::CancelNow(8, secs(10))));
        let plan = Scenario {
            bound: 25,
            ..Scenario::small(140 + n as u64, 300, 60, troubles)
        };
        (format!("{time} s"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 20);
    for (name, o) in &played {
        assert!(o.bound > 10, "{name}: {}", o.bound);
        assert!(o.longest_wait < 90.0, "{name}: {}", o.longest_wait);
    }
}

/// Jobs bound to one zone, of every shape, lose their machines one after another while leaders change.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let plans = (0..4).map(|n| {
        let mut troubles: Vec<_> = (0..10).map(|i| (45 + 11 * i, Fault::MachineLoss)).collect();
        troubles.push((60, Fault::Hang(3, secs(13))));
        troubles.push((66, Fault::Crash(n % 3, millis(300))));
        troubles.push((90, Fault::NotSending(40, secs(25))));
        troubles.push((97, Fault::Crash((n + 1) % 3, secs(5))));
        troubles.push((120, Fault::NotReceiving(40, secs(25))));
        let plan = Scenario {
            bound: 50,
            ..Scenario::small(150 + n as u64, 320, 30, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        assert!(o.bound > 25, "{name}: {}", o.bound);
        assert!(o.longest_wait < 90.0, "{name}: {}", o.longest_wait);
    }
}
