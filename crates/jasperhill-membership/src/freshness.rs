//! How old the knowledge may be on which a renewal of a worker's lease rests. Pure, and the one
//! place where it is computed: owners, delegates and those who send commands straight all ask here.
//!
//! A cancellation may be confirmed to its user by any controller at any moment. Whoever has not
//! heard of it must have renewed the last lease early enough for that lease to have run out by
//! `cancel`, and can't tell an outage of the state service from a refusal of its own: so nothing
//! but fresh knowledge lengthens this, neither silence everywhere nor others' word.

use jasperhill_wire::Micros;

/// By how much the steady clocks of two machines may drift apart.
const DRIFT: f64 = 0.0005;
/// Late timers: of whoever answers, and of the worker that ends its tasks.
const TIMERS: Micros = Micros::from_millis(1_500);
/// Drift is counted this many times over: of both clocks, over lease and knowledge, and more.
const DRIFTS: f64 = 10.0;
/// A delegate answers by leave of an owner whom it can't hear: it needs to know more.
const KEEPER: Micros = Micros::from_secs(3);
/// The least that an owner can go on with: below it each late answer of the state service would
/// cost the authority.
const LEAST: Micros = Micros::from_millis(1_300);

/// What the platform's settings say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// A worker's tasks end so long after it sent the last report that was answered.
    pub lease: Micros,
    /// The tasks of a cancelled job are gone so long after its user was told.
    pub cancel: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    owner: Micros,
    keeper: Micros,
}

/// `cancel` leaves no room beside the lease. In microseconds: what it would have to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooShort {
    pub least: Micros,
}

impl LeaseTerms {
    /// What is spent before and after an answer, whatever it rests on.
    fn spent(&self) -> Micros {
        self.lease + self.lease.scale(DRIFT * DRIFTS) + TIMERS
    }

    /// # Errors
    /// [`TooShort`] if no answer could be given that surely ends in time.
    pub fn bounds(&self) -> Result<FreshnessBounds, TooShort> {
        let left = self.cancel - self.spent();
        if left < LEAST {
            let least = self.spent() + LEAST;
            return Err(TooShort { least });
        }
        // No longer than a lease: by then those whom it does not answer are lost anyway.
        let owner = left.min(self.lease);
        Ok(FreshnessBounds {
            owner,
            keeper: KEEPER.min(owner),
        })
    }
}

impl FreshnessBounds {
    /// How old an owner's knowledge may be when it renews a lease.
    pub fn owner(&self) -> Micros {
        self.owner
    }

    /// Until when a lease may be renewed by whoever knows what had been confirmed by `known`, or
    /// has sent a start resting on that which may still be carried out under the same token.
    pub fn until(&self, known: Micros) -> Micros {
        known + self.owner
    }

    /// The same for a delegate.
    pub fn delegate_until(&self, known: Micros) -> Micros {
        known + self.keeper
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// When something ends that a worker does, in the worst case: by the true time, in seconds.
    /// `answered`: the last renewal. The report was sent no later than it was answered, and the
    /// worker's clock may be the slow one; it looks at its clock a little late.
    fn gone(answered: f64, lease: f64, late: f64) -> f64 {
        answered + lease * (1.0 + DRIFT) + late
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
                prop_assert!(lease + TIMERS.as_secs_f64() + LEAST.as_secs_f64() >= cancel - lease * 0.006);
                return Ok(());
            };
            let (late, worker_late) = (late_ms.0 as f64 / 1e3, late_ms.1 as f64 / 1e3);
            // Everything by the true time, from the confirmation on.
            let known = -(before as f64 / 1e3) * bounds.owner().as_secs_f64();
            let part = into as f64 / 1e3;
            // A clock that runs slow lets whoever answers go on for longer.
            let by = |bound: Micros| known + bound.as_secs_f64() * (1.0 + DRIFT) * part + late;
            let owner = by(bounds.until(Micros::ZERO));
            let keeper = by(bounds.delegate_until(Micros::ZERO));
            // The owner's own answer, one passed on, one held for a takeover: given by an owner.
            prop_assert!(gone(owner, lease, worker_late) < cancel);
            // A delegate's, whose own knowledge counts.
            prop_assert!(gone(keeper, lease, worker_late) < cancel);
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
}
