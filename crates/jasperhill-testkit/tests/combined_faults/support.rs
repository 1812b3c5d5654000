//! What the tests of combined faults are made of.

use jasperhill_testkit::faults::{Fault, FaultCounts};
use jasperhill_testkit::outcome::Outcome;
use jasperhill_testkit::{Scenario, run_all};
use std::time::Duration;

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a cancellation has in the testkit, in seconds.
pub const CANCEL: f64 = 46.0;

/// When the outage begins, and how long it lasts: longer than a cancellation and a lease have.
pub const OUTAGE_AT: u64 = 120;

pub const OUTAGE: u64 = 70;

/// When the other meetings begin.
pub const AT: u64 = 80;

/// Plays all of these side by side.
pub fn play(scenarios: Vec<(String, Scenario)>) -> Vec<(String, Outcome)> {
    run_all(&scenarios)
}

/// No rule broken on any of these, and enough done to show it.
pub fn judge(played: &[(String, Outcome)]) {
    let wrong: Vec<String> = played
        .iter()
        .filter(|(_, o)| !o.broken.is_empty() || o.started < 30)
        .map(|(name, o)| format!("{name}: started {}, {:?}", o.started, o.broken))
        .collect();
    assert_eq!(wrong, Vec::<String>::new());
}

pub fn met(played: &[(String, Outcome)], what: impl Fn(&FaultCounts) -> usize) -> usize {
    played.iter().map(|(_, o)| what(&o.fault_counts)).sum()
}

/// Tasks that outlast the day; two of three users cancel from some seconds before the refusal on
/// until the outage.
pub fn refused(seed: u64, node: usize, lead: u64, more: Vec<(u64, Fault)>) -> Scenario {
    let from = OUTAGE_AT - lead;
    let mut troubles = vec![
        (from, Fault::Refused(node, secs(lead + OUTAGE + 20))),
        (OUTAGE_AT, Fault::StateOutage(secs(OUTAGE))),
    ];
    troubles.extend(more);
    Scenario {
        long_tasks: Some((from - 4, OUTAGE_AT)),
        ..Scenario::small(seed, 290, 60, troubles)
    }
}
