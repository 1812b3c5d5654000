//! Whatever goes on unheard of ends in time: over the private constants too.

use super::*;
use proptest::prelude::*;

/// When something ends that a worker does, in the worst case: by the true time, in seconds.
/// `answered`: the last renewal. The report was sent no later than it was answered, and the
/// worker's clock may be the slow one; it looks at its clock a little late.
fn gone(answered: f64, lease: f64, late: f64) -> f64 {
    answered + lease * (1.0 + CLOCK_DRIFT) + late
}

fn settings() -> impl Strategy<Value = LeaseTerms> {
    (100u64..120_000, 0u64..200_000).prop_map(|(lease, more)| LeaseTerms {
        lease: Micros::from_millis(lease),
        cancel: Micros::from_millis(lease + more),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(38),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// The whole sum, for every way in which a task can go on or begin after a confirmation
    /// that those concerned have not heard of: it is gone within `cancel`. See the account of
    /// time in docs/meetings.md.
    #[test]
    fn whatever_goes_on_unheard_of_ends_in_time(
        terms in settings(),
        // How long before the confirmation the knowledge was, and how far into what is allowed
        // the answer comes, in thousandths; late timers of answerer and worker in all.
        (before, into) in (0u64..=1_000, 0u64..=1_000),
        late_ms in (0u64..=700, 0u64..=700),
    ) {
        let lease = terms.lease.as_secs_f64();
        let cancel = terms.cancel.as_secs_f64();
        let Ok(bounds) = terms.bounds() else {
            // Refused: and rightly, there is no room for an answer.
            prop_assert!(lease + LATE_TIMERS.as_secs_f64() + FRESHNESS_MIN.as_secs_f64() >= cancel - lease * 0.006);
            return Ok(());
        };
        let (late, worker_late) = (late_ms.0 as f64 / 1e3, late_ms.1 as f64 / 1e3);
        // Everything by the true time, from the confirmation on.
        let known = -(before as f64 / 1e3) * bounds.owner().as_secs_f64();
        let part = into as f64 / 1e3;
        // A clock that runs slow lets whoever answers go on for longer.
        let by = |bound: Micros| known + bound.as_secs_f64() * (1.0 + CLOCK_DRIFT) * part + late;
        let owner = by(bounds.until(Micros::ZERO));
        let delegate = by(bounds.delegate_until(Micros::ZERO));
        // The owner's own answer, one passed on, one held for a takeover: given by an owner.
        prop_assert!(gone(owner, lease, worker_late) < cancel);
        // A delegate's, whose own knowledge counts.
        prop_assert!(gone(delegate, lease, worker_late) < cancel);
        // A start sent straight, resting on that knowledge, carried out whenever the lease
        // lives and the token is the same: renewals end as the owner's do, by `until` of the
        // knowledge of the start, also where a delegate gives them under a grant.
        let grant = by(bounds.until(Micros::ZERO));
        prop_assert!(gone(grant, lease, worker_late) < cancel);
    }

    /// A longer cancellation or a shorter lease never lets less go on; a delegate never more
    /// than an owner.
    #[test]
    fn bounds_are_monotone(terms in settings(), more in 0u64..60_000) {
        if let Ok(bounds) = terms.bounds() {
            let longer = LeaseTerms { cancel: terms.cancel + Micros::from_millis(more), ..terms };
            let wider = longer.bounds().unwrap();
            prop_assert!(wider.owner() >= bounds.owner());
            prop_assert!(bounds.delegate_until(Micros::ZERO) <= bounds.until(Micros::ZERO));
            prop_assert!(bounds.owner() <= terms.lease);
        } else {
            let TooShort { least } = terms.bounds().unwrap_err();
            let enough = LeaseTerms { cancel: least, ..terms };
            prop_assert!(enough.bounds().is_ok());
        }
    }
}
