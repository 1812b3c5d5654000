//! Tests that partial results keep within their write rate and that results of jobs with dependents
//! are written first.

use super::*;

fn job(n: usize) -> JobId {
    JobId::new(&format!("job-{n}"))
}

/// Guards against partial results that use up the write rate limit or are delayed without bound.
#[test]
fn partial_result_delay_grows_with_number_of_jobs() {
    let mut results = ResultState::default();
    let (now, write_rate) = (Micros::from_secs(100), 10.0);
    assert!(!results.is_partial_due(&job(0), write_rate, now));
    assert!(results.is_partial_due(&job(0), write_rate, now + PARTIAL_DELAY_MIN));
    for n in 1..=1_000 {
        assert!(!results.is_partial_due(&job(n), write_rate, now));
    }
    let after_minimum_delay = now + PARTIAL_DELAY_MIN;
    assert!(!results.is_partial_due(&job(1_000), write_rate, after_minimum_delay));
    assert!(results.is_partial_due(&job(1_000), write_rate, now + PARTIAL_DELAY_MAX));
}

/// Guards against a job with dependents whose result has to wait behind the results of other jobs.
#[test]
fn result_with_dependents_is_not_subject_to_concurrency_limit() {
    let mut results = ResultState::default();
    for n in 0..=CONCURRENT_SAVES_MAX {
        assert!(results.may_start_saving(&job(n), false));
        results.start_saving(job(n));
    }
    assert!(!results.may_start_saving(&job(CONCURRENT_SAVES_MAX + 1), false));
    assert!(results.may_start_saving(&job(CONCURRENT_SAVES_MAX + 1), true));
    assert!(
        !results.may_start_saving(&job(0), true),
        "already being written"
    );
}
