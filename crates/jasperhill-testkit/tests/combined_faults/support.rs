//! Scenario builders, constants and checks shared by the tests of combined faults.

use jasperhill_testkit::faults::{Fault, FaultCounts};
use jasperhill_testkit::outcome::Outcome;
use jasperhill_testkit::{Scenario, run_all};
use std::time::Duration;

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Longest time from a confirmed cancellation to the end of the job's last task, in seconds.
pub const CANCEL_LIMIT_S: f64 = 46.0;

/// Start of the outage of the state service, in seconds from the start of the scenario.
pub const OUTAGE_START_S: u64 = 120;

/// Duration of the outage in seconds: longer than a lease and than [`CANCEL_LIMIT_S`].
pub const OUTAGE_DURATION_S: u64 = 70;

/// Start of the combined faults in scenarios without that outage, in seconds from the start.
pub const FAULT_START_S: u64 = 80;

/// Runs the named scenarios in parallel and returns their outcomes under the same names.
pub fn run_scenarios(scenarios: Vec<(String, Scenario)>) -> Vec<(String, Outcome)> {
    run_all(&scenarios)
}

/// Asserts that no run broke a rule of the protocol, and that each started at least 30 tasks, since
/// an idle run would prove nothing.
///
/// # Panics
///
/// If a run broke a rule or started fewer tasks.
pub fn assert_invariants_hold(runs: &[(String, Outcome)]) {
    let failures: Vec<String> = runs
        .iter()
        .filter(|(_, outcome)| !outcome.violations.is_empty() || outcome.started < 30)
        .map(|(name, outcome)| {
            format!(
                "{name}: started {}, {:?}",
                outcome.started, outcome.violations
            )
        })
        .collect();
    assert_eq!(failures, Vec::<String>::new());
}

/// Returns the sum over all runs of one counter of fault events.
pub fn total_count(runs: &[(String, Outcome)], counter: impl Fn(&FaultCounts) -> usize) -> usize {
    runs.iter()
        .map(|(_, outcome)| counter(&outcome.fault_counts))
        .sum()
}

/// Returns a scenario in which the state service refuses one controller from `lead_s` seconds
/// before the outage until 20 s after the outage has ended. Tasks outlast the scenario, and two of
/// three users cancel their jobs from four seconds before the refusal until the outage.
pub fn refusal_then_outage(
    seed: u64,
    node: usize,
    lead_s: u64,
    extra_faults: Vec<(u64, Fault)>,
) -> Scenario {
    let refusal_start_s = OUTAGE_START_S - lead_s;
    let mut faults = vec![
        (
            refusal_start_s,
            Fault::Refused(node, secs(lead_s + OUTAGE_DURATION_S + 20)),
        ),
        (OUTAGE_START_S, Fault::StateOutage(secs(OUTAGE_DURATION_S))),
    ];
    faults.extend(extra_faults);
    Scenario {
        long_tasks: Some((refusal_start_s - 4, OUTAGE_START_S)),
        ..Scenario::small(seed, 290, 60, faults)
    }
}
