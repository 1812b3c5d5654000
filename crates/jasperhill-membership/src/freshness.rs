//! Bounds on the age of the knowledge on which a renewal of a worker's lease may be based.
//!
//! Owners, delegates and controllers that send commands directly to workers all use these bounds;
//! they are computed only here, without a clock and without I/O.
//!
//! Any controller may confirm a cancellation to its user at any time. A controller that has not
//! heard of the cancellation must have renewed the worker's lease for the last time early enough
//! that the lease expires within [`LeaseTerms::cancellation_time`]. Such a controller cannot
//! distinguish an outage of the state service from a refusal of its own requests. Therefore only
//! fresh knowledge extends the permission to renew; missing responses from everybody or statements
//! of other controllers do not.

use jasperhill_wire::Micros;

/// The maximum relative drift between the monotonic clocks of two machines.
const CLOCK_DRIFT: f64 = 0.0005;
/// The allowance for late timers of both the controller that answers a heartbeat and the worker
/// that ends its tasks.
const TIMER_DELAY_ALLOWANCE: Micros = Micros::from_millis(1_500);
/// The multiple of [`CLOCK_DRIFT`] by which the lease counts longer: covers the drift of both
/// clocks, over the lease as well as the age of the knowledge, and a reserve.
const DRIFT_FACTOR: f64 = 10.0;
/// The maximum age of a delegate's knowledge. A delegate answers heartbeats under a grant of an
/// owner that it cannot communicate with.
const DELEGATE_KNOWLEDGE_AGE_MAX: Micros = Micros::from_secs(3);
/// The lowest usable bound for an owner: with a lower bound, every late response of the state
/// service would end the owner's authority.
const OWNER_KNOWLEDGE_AGE_MIN: Micros = Micros::from_millis(1_300);

/// The lease time of workers and the cancellation time of jobs, from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The time after sending its last answered heartbeat at which a worker ends its tasks.
    pub lease_duration: Micros,
    /// The time after confirming a cancellation to the user by which the tasks of the job must have
    /// ended.
    pub cancellation_time: Micros,
}

/// The maximum age of the knowledge on which a lease renewal may be based, for owners and
/// delegates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// The maximum age of an owner's knowledge.
    owner_age_max: Micros,
    /// The maximum age of a delegate's knowledge.
    delegate_age_max: Micros,
}

/// Error: [`LeaseTerms::cancellation_time`] is too short for the lease time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTooShort {
    /// The lowest permitted value of `cancellation_time`.
    pub cancellation_time_min: Micros,
}

impl LeaseTerms {
    /// Returns the part of `cancellation_time` that is needed regardless of the age of the
    /// knowledge: the lease, clock drift and late timers.
    fn age_independent_time(&self) -> Micros {
        self.lease_duration
            + self.lease_duration.scale(CLOCK_DRIFT * DRIFT_FACTOR)
            + TIMER_DELAY_ALLOWANCE
    }

    /// Returns the bounds that guarantee that tasks end within `cancellation_time` even if the
    /// controllers that renew their leases have not heard of the cancellation.
    ///
    /// # Errors
    ///
    /// Returns [`CancelTooShort`] if no lease renewal could be guaranteed to expire in time.
    pub fn bounds(&self) -> Result<FreshnessBounds, CancelTooShort> {
        let time_for_knowledge_age = self.cancellation_time - self.age_independent_time();
        if time_for_knowledge_age < OWNER_KNOWLEDGE_AGE_MIN {
            let cancellation_time_min = self.age_independent_time() + OWNER_KNOWLEDGE_AGE_MIN;
            return Err(CancelTooShort {
                cancellation_time_min,
            });
        }
        // A bound longer than a lease has no benefit: the leases of workers that an owner does not
        // answer for that long have expired anyway.
        let owner_age_max = time_for_knowledge_age.min(self.lease_duration);
        Ok(FreshnessBounds {
            owner_age_max,
            delegate_age_max: DELEGATE_KNOWLEDGE_AGE_MAX.min(owner_age_max),
        })
    }
}

impl FreshnessBounds {
    /// Returns the maximum age of an owner's knowledge when the owner renews a lease.
    pub fn owner_age_max(&self) -> Micros {
        self.owner_age_max
    }

    /// Returns the time until which an owner may renew a lease if it knows all cancellations
    /// confirmed before `known_as_of`. The same limit applies to a controller that has sent a start
    /// command based on that knowledge, because the worker may still execute the command under the
    /// same token.
    pub fn owner_may_renew_until(&self, known_as_of: Micros) -> Micros {
        known_as_of + self.owner_age_max
    }

    /// Returns the time until which a delegate may answer heartbeats if it knows all cancellations
    /// confirmed before `known_as_of`.
    pub fn delegate_may_renew_until(&self, known_as_of: Micros) -> Micros {
        known_as_of + self.delegate_age_max
    }
}

#[cfg(test)]
mod tests;
