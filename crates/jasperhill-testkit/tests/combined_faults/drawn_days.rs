//! Days on which drawn faults overlap.

use crate::support::{judge, play};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::days::drawn;

fn day(seed: u64) -> (String, Scenario) {
    (format!("seed {seed}"), drawn(seed))
}

#[test]
fn random_combined_faults() {
    judge(&play((1_000..1_024).map(day).collect()));
}

#[test]
#[ignore = "minutes: as many drawn days as FAULT_DAYS says"]
fn many_random_combined_faults() {
    let many = std::env::var("FAULT_DAYS")
        .ok()
        .and_then(|n| n.parse().ok());
    judge(&play(
        (2_000..2_000 + many.unwrap_or(100)).map(day).collect(),
    ));
}
