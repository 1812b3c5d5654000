//! The session of a controller and its authority to act.
//!
//! A controller may act only while its session is certain to be alive and its watch cache is
//! certain to be recent. Both are measured from the time at which a request was *sent*, not from
//! its response. Every change goes through [`Authority::apply`].

use jasperhill_wire::{Micros, Revision};

/// The session of this controller in the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Session {
    /// There is no session; the controller may own no role.
    None,
    /// A session whose key was written at `version`. The session may have expired.
    Held {
        /// The session's lease in the store.
        lease: u64,
        /// The revision of the session's key.
        version: Revision,
    },
}

/// An event that changes the authority. All times are of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A session began; its lease was requested at `sent`.
    SessionStarted {
        /// The session's lease in the store.
        lease: u64,
        /// The revision of the session's key.
        version: Revision,
        /// The time at which the lease request was sent.
        sent: Micros,
    },
    /// The renewal sent at `sent` succeeded.
    SessionRenewed {
        /// The lease that was renewed.
        lease: u64,
        /// The time at which the renewal request was sent.
        sent: Micros,
    },
    /// The key-value store reports that the lease or the key of the session no longer exists.
    SessionLost {
        /// The lease that no longer exists.
        lease: u64,
    },
    /// The watch cache contains all changes up to `sent`.
    CacheFresh {
        /// The time at which the request that confirmed this was sent.
        sent: Micros,
    },
}

/// Safety margin for clock drift, as a fraction of the session's time to live.
const CLOCK_DRIFT_MARGIN: f64 = 0.002;
/// Safety margin for timers that fire late.
const TIMER_DELAY_MARGIN: Micros = Micros::from_millis(200);

/// Decides whether this controller may act. The controller checks it before every command and every
/// response.
#[derive(Clone, Debug)]
pub struct Authority {
    session: Session,
    /// The time at which the last successful renewal, or the lease request, was sent.
    last_renewal_sent: Micros,
    /// The watch cache contains all changes up to this time.
    cache_fresh_until: Micros,
    /// The session's time to live after a renewal.
    ttl: Micros,
    /// The maximum age of the watch cache at which the controller may act.
    cache_age_max: Micros,
}

impl Authority {
    /// Creates an authority without a session. `ttl` is the time from a renewal to the expiry of
    /// the session, `cache_age_max` the maximum age of the watch cache at which the controller may
    /// act.
    pub fn new(ttl: Micros, cache_age_max: Micros) -> Self {
        Self {
            session: Session::None,
            last_renewal_sent: Micros::ZERO,
            cache_fresh_until: Micros::ZERO,
            ttl,
            cache_age_max,
        }
    }

    /// Returns the session, which may have expired.
    pub fn session(&self) -> Session {
        self.session
    }

    /// Returns the time from a renewal to the expiry of the session.
    pub fn ttl(&self) -> Micros {
        self.ttl
    }

    /// Returns the time up to which the watch cache contains all changes.
    pub fn cache_fresh_until(&self) -> Micros {
        self.cache_fresh_until
    }

    /// Applies one input. No other function changes the authority.
    pub fn apply(&mut self, input: Input) {
        match input {
            Input::SessionStarted {
                lease,
                version,
                sent,
            } => {
                self.session = Session::Held { lease, version };
                self.last_renewal_sent = sent;
            }
            Input::SessionRenewed { lease, sent } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.last_renewal_sent = self.last_renewal_sent.max(sent);
                }
            }
            Input::SessionLost { lease } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.session = Session::None;
                }
            }
            Input::CacheFresh { sent } => self.cache_fresh_until = self.cache_fresh_until.max(sent),
        }
    }

    /// Returns how long before the expiry of the session the authority ends.
    fn safety_margin(&self) -> Micros {
        self.ttl.scale(CLOCK_DRIFT_MARGIN) + TIMER_DELAY_MARGIN
    }

    /// Returns the time at which the authority ends unless it is extended; zero without a session.
    pub fn valid_until(&self) -> Micros {
        match self.session {
            Session::None => Micros::ZERO,
            Session::Held { .. } => (self.last_renewal_sent + self.ttl - self.safety_margin())
                .min(self.cache_fresh_until + self.cache_age_max),
        }
    }

    /// Returns whether the controller has authority at `now`. The caller checks before every
    /// command and every response, not once per event loop iteration, because the process may have
    /// been stalled since an earlier check.
    pub fn is_valid_at(&self, now: Micros) -> bool {
        now < self.valid_until()
    }
}
