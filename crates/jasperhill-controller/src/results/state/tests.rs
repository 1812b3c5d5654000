//! Results are written at the rate that they are given, and those that others wait for go ahead.

use super::*;

fn job(n: usize) -> JobId {
    JobId::new(&format!("job-{n}"))
}

/// Guards against partial results that use up the limit on writes, or that wait without bound.
#[test]
fn partial_results_wait_the_longer_the_more_there_are() {
    let mut results = ResultState::default();
    let (now, rate) = (Micros::from_secs(100), 10.0);
    assert!(!results.is_partial_due(&job(0), rate, now));
    assert!(results.is_partial_due(&job(0), rate, now + PARTIAL_DELAY_MIN));
    for n in 1..=1_000 {
        assert!(!results.is_partial_due(&job(n), rate, now));
    }
    let soon = now + PARTIAL_DELAY_MIN;
    assert!(!results.is_partial_due(&job(1_000), rate, soon));
    assert!(results.is_partial_due(&job(1_000), rate, now + PARTIAL_DELAY_MAX));
}

/// Guards against a job that others wait for and that waits behind the rest.
#[test]
fn a_needed_result_goes_ahead() {
    let mut results = ResultState::default();
    for n in 0..=SAVING_MAX {
        assert!(results.may_start_saving(&job(n), false));
        results.start_saving(job(n));
    }
    assert!(!results.may_start_saving(&job(SAVING_MAX + 1), false));
    assert!(results.may_start_saving(&job(SAVING_MAX + 1), true));
    assert!(!results.may_start_saving(&job(0), true), "is being written");
}
