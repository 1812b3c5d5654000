//! Scenarios whose overlapping faults are drawn at random from a seed.

use crate::support::{assert_invariants_hold, run_scenarios};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::days::drawn;

fn scenario_of_seed(seed: u64) -> (String, Scenario) {
    (format!("seed {seed}"), drawn(seed))
}

#[test]
fn random_combined_faults_break_no_invariant() {
    assert_invariants_hold(&run_scenarios(
        (1_000..1_024).map(scenario_of_seed).collect(),
    ));
}

#[test]
#[ignore = "takes minutes: runs FAULT_DAYS random scenarios, 100 by default"]
fn many_random_combined_faults_break_no_invariant() {
    let scenario_count = std::env::var("FAULT_DAYS")
        .ok()
        .and_then(|n| n.parse().ok());
    assert_invariants_hold(&run_scenarios(
        (2_000..2_000 + scenario_count.unwrap_or(100))
            .map(scenario_of_seed)
            .collect(),
    ));
}
