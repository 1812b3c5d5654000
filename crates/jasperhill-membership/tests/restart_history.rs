//! Crash loops are told from single quick ends.

use jasperhill_membership::restart_history::{Input, Phase, ProcessRun, RestartHistory};
use jasperhill_wire::Micros;

const DAY: Micros = Micros::from_secs(1_700_000_000);

/// Runs of these lengths in milliseconds, one after the other: the phase of each when it began.
fn phases_of_runs(lengths: &[u64]) -> Vec<Phase> {
    let (mut wall, mut former) = (DAY, None);
    let mut phases = Vec::new();
    for ms in lengths {
        let mut history = RestartHistory::new(3, Micros::from_secs(3_600));
        phases.push(history.apply(
            Input::SessionStarting { former, wall },
            Micros::from_secs(3_600),
        ));
        former = Some(history.current());
        wall += Micros::from_millis(*ms);
    }
    phases
}

#[test]
fn one_or_two_quick_ends_are_no_habit_and_more_are() {
    let phases = phases_of_runs(&[1_000, 1_000, 1_000, 1_000, 300, 300]);
    assert_eq!(phases[..3], [Phase::Stable; 3]);
    let until = |s: u64| Phase::CrashLooping {
        until: Micros::from_secs(3_600 + s),
    };
    assert_eq!(phases[3..], [until(4), until(6), until(8)]);
}

#[test]
fn one_that_has_lived_for_long_starts_from_nothing() {
    let phases = phases_of_runs(&[1_000, 1_000, 1_000, 120_000, 1_000, 1_000]);
    assert!(matches!(phases[3], Phase::CrashLooping { .. }));
    assert_eq!(phases[4..], [Phase::Stable; 2]);
}

#[test]
fn it_is_steady_once_it_has_lived_for_a_while() {
    let now = Micros::from_secs(3_600);
    let former = Some(ProcessRun {
        started: DAY,
        quick_restarts: 5,
    });
    let mut history = RestartHistory::new(3, now);
    let wall = DAY + Micros::from_secs(1);
    history.apply(Input::SessionStarting { former, wall }, now);
    assert!(
        history
            .current()
            .is_crash_looping(3, wall + Micros::from_secs(9))
    );
    assert!(
        !history
            .current()
            .is_crash_looping(3, wall + Micros::from_secs(10))
    );
    let later = |s: u64| now + Micros::from_secs(s);
    assert!(matches!(
        history.apply(Input::Tick, later(9)),
        Phase::CrashLooping { .. }
    ));
    assert_eq!(history.apply(Input::Tick, later(10)), Phase::Stable);
    // A session that is begun anew by the same process changes nothing.
    let again = Input::SessionStarting { former, wall };
    assert_eq!(history.apply(again, later(11)), Phase::Stable);
    assert_eq!(RestartHistory::new(0, now).apply(again, now), Phase::Stable);
}
