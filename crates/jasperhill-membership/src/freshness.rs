//! How old the knowledge may be on which a renewal of a worker's lease rests. Pure, and the one
//! place where it is computed: owners, delegates and those who send commands straight all ask here.
//!
//! A cancellation may be confirmed to its user by any controller at any moment. Whoever has not
//! heard of it must have renewed the last lease early enough for that lease to have run out by
//! `cancel`, and can't tell an outage of the state service from a refusal of its own: so nothing
//! but fresh knowledge lengthens this, neither silence everywhere nor others' word.

use jasperhill_wire::Micros;

/// By how much the steady clocks of two machines may drift apart.
const CLOCK_DRIFT: f64 = 0.0005;
/// Late timers: of whoever answers, and of the worker that ends its tasks.
const LATE_TIMERS: Micros = Micros::from_millis(1_500);
/// Drift is counted this many times over: of both clocks, over lease and knowledge, and more.
const DRIFT_FACTOR: f64 = 10.0;
/// A delegate answers under a grant of an owner whom it can't hear: its knowledge must be no
/// older than this.
const DELEGATE_MAX: Micros = Micros::from_secs(3);
/// The least that an owner can go on with: below it each late answer of the state service would
/// cost the authority.
const FRESHNESS_MIN: Micros = Micros::from_millis(1_300);

/// What the platform's settings say. Made by the settings, which ask for the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// A worker's tasks end so long after it sent the last heartbeat that was answered.
    pub lease: Micros,
    /// The tasks of a cancelled job are gone so long after its user was told.
    pub cancel: Micros,
}

/// How old the knowledge may be that a renewal of a lease rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    owner: Micros,
    delegate: Micros,
}

/// `cancel` leaves no room beside the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooShort {
    /// What `cancel` would have to be at least.
    pub least: Micros,
}

impl LeaseTerms {
    /// What is spent before and after an answer, whatever it rests on.
    fn spent(&self) -> Micros {
        self.lease + self.lease.scale(CLOCK_DRIFT * DRIFT_FACTOR) + LATE_TIMERS
    }

    /// The bounds that let whatever goes on unheard of end within `cancel`.
    ///
    /// # Errors
    /// [`TooShort`] if no answer could be given that surely ends in time.
    pub fn bounds(&self) -> Result<FreshnessBounds, TooShort> {
        let left = self.cancel - self.spent();
        if left < FRESHNESS_MIN {
            let least = self.spent() + FRESHNESS_MIN;
            return Err(TooShort { least });
        }
        // No longer than a lease: by then those whom it does not answer are lost anyway.
        let owner = left.min(self.lease);
        Ok(FreshnessBounds {
            owner,
            delegate: DELEGATE_MAX.min(owner),
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

    /// The same for a delegate. Called where a delegate answers a heartbeat.
    pub fn delegate_until(&self, known: Micros) -> Micros {
        known + self.delegate
    }
}

#[cfg(test)]
mod tests;
