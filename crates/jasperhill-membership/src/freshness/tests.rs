//! Tests of the freshness bounds that need the private constants.

use super::*;
use proptest::prelude::*;

/// Returns the latest time at which a worker ends its tasks, in seconds of true time. `answered` is
/// the time of the last renewal. The heartbeat was sent no later than it was answered, the worker's
/// clock may run slow, and the worker checks its clock `timer_delay` seconds late.
fn tasks_ended_by(answered: f64, lease: f64, timer_delay: f64) -> f64 {
    answered + lease * (1.0 + CLOCK_DRIFT) + timer_delay
}

fn lease_terms() -> impl Strategy<Value = LeaseTerms> {
    (100u64..120_000, 0u64..200_000).prop_map(|(lease, extra_ms)| LeaseTerms {
        lease_duration: Micros::from_millis(lease),
        cancellation_time: Micros::from_millis(lease + extra_ms),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(38),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// A task that runs on or starts after the confirmation of its cancellation, because the
    /// controllers and workers involved have not heard of the cancellation, has ended within
    /// `cancellation_time`. Covers every way in which this can happen; docs/meetings.md has the
    /// derivation of the time bounds.
    #[test]
    fn tasks_end_within_cancel_time_without_news_of_cancellation(
        terms in lease_terms(),
        // The age of the knowledge at the confirmation, as thousandths of the owner's bound, and
        // the time of the answer, as thousandths of the permitted time. Then the delays of the
        // timers of the answering controller and of the worker, in milliseconds.
        (knowledge_age_thousandths, answer_time_thousandths) in (0u64..=1_000, 0u64..=1_000),
        timer_delays_ms in (0u64..=700, 0u64..=700),
    ) {
        let lease = terms.lease_duration.as_secs_f64();
        let cancel = terms.cancellation_time.as_secs_f64();
        let Ok(bounds) = terms.bounds() else {
            // The terms are rejected: `cancellation_time` leaves no time for an answer.
            prop_assert!(
                lease + TIMER_DELAY_ALLOWANCE.as_secs_f64() + OWNER_KNOWLEDGE_AGE_MIN.as_secs_f64()
                    >= cancel - lease * 0.006
            );
            return Ok(());
        };
        let (timer_delay, worker_timer_delay) =
            (timer_delays_ms.0 as f64 / 1e3, timer_delays_ms.1 as f64 / 1e3);
        // All times are in seconds of true time since the confirmation.
        let known_as_of = -(knowledge_age_thousandths as f64 / 1e3) * bounds.owner_age_max().as_secs_f64();
        let fraction_of_allowed = answer_time_thousandths as f64 / 1e3;
        // A controller with a slow clock continues to answer for longer.
        let last_answer = |bound: Micros| {
            known_as_of
                + bound.as_secs_f64() * (1.0 + CLOCK_DRIFT) * fraction_of_allowed
                + timer_delay
        };
        let owner_last_answer = last_answer(bounds.owner_may_renew_until(Micros::ZERO));
        let delegate_last_answer = last_answer(bounds.delegate_may_renew_until(Micros::ZERO));
        // An answer of an owner: sent directly, relayed, or held back until a takeover.
        prop_assert!(tasks_ended_by(owner_last_answer, lease, worker_timer_delay) < cancel);
        // An answer of a delegate, limited by the delegate's own knowledge.
        prop_assert!(tasks_ended_by(delegate_last_answer, lease, worker_timer_delay) < cancel);
        // A start command sent directly to the worker, based on that knowledge. The worker may
        // execute the command while its lease is alive and the token is unchanged. Renewals end at
        // `owner_may_renew_until` of the knowledge behind the start command, as for an owner,
        // including renewals by a delegate under a grant.
        let grant_last_answer = last_answer(bounds.owner_may_renew_until(Micros::ZERO));
        prop_assert!(tasks_ended_by(grant_last_answer, lease, worker_timer_delay) < cancel);
    }

    /// A longer cancellation time never lowers the bound for an owner, a delegate's bound never
    /// exceeds the owner's bound, and the rejected terms are accepted with the reported lowest
    /// `cancellation_time`.
    #[test]
    fn bounds_are_monotone(terms in lease_terms(), extra_ms in 0u64..60_000) {
        if let Ok(bounds) = terms.bounds() {
            let longer_terms = LeaseTerms { cancellation_time: terms.cancellation_time + Micros::from_millis(extra_ms), ..terms };
            let longer_bounds = longer_terms.bounds().unwrap();
            prop_assert!(longer_bounds.owner_age_max() >= bounds.owner_age_max());
            prop_assert!(bounds.delegate_may_renew_until(Micros::ZERO) <= bounds.owner_may_renew_until(Micros::ZERO));
            prop_assert!(bounds.owner_age_max() <= terms.lease_duration);
        } else {
            let CancelTooShort { cancellation_time_min } = terms.bounds().unwrap_err();
            let sufficient_terms = LeaseTerms { cancellation_time: cancellation_time_min, ..terms };
            prop_assert!(sufficient_terms.bounds().is_ok());
        }
    }
}
