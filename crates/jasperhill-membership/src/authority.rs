//! Sessions and authority. A controller may act only while its session surely lives and its
//! watch cache is surely recent; both are judged from the *sending* of the requests that showed it.
//! Every change goes through [`Authority::apply`].

use jasperhill_wire::{Micros, Revision};

/// The session of this controller with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Session {
    /// None; nothing may be owned.
    None,
    /// Tied to the session's key, written at `version`.
    Held {
        /// The session's lease in the store.
        lease: u64,
        /// The revision of the session's key.
        version: Revision,
    },
}

/// What changes the authority. All times are of the steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A session was begun; its lease was asked for at `sent`.
    Begun {
        /// The session's lease in the store.
        lease: u64,
        /// The revision of the session's key.
        version: Revision,
        /// When the lease was asked for.
        sent: Micros,
    },
    /// The renewal sent at `sent` succeeded.
    Renewed {
        /// The lease that was renewed.
        lease: u64,
        /// When the renewal was sent.
        sent: Micros,
    },
    /// The state service says that the lease or its key is gone.
    Lost {
        /// The lease that is gone.
        lease: u64,
    },
    /// The watch cache holds everything up to `sent`.
    Fresh {
        /// When the request was sent that showed it.
        sent: Micros,
    },
}

/// Margin for clocks that drift, as a part of the session's time to live ...
const CLOCK_DRIFT_MARGIN: f64 = 0.002;
/// ... and for late timers.
const LATE_TIMERS: Micros = Micros::from_millis(200);

/// Whether this controller may act. Owned by the controller's state; asked before every command
/// and every answer.
#[derive(Clone, Debug)]
pub struct Authority {
    session: Session,
    /// When the last renewal that succeeded was sent.
    renewed: Micros,
    /// The watch cache holds everything up to this time.
    fresh: Micros,
    /// The session's time to live.
    ttl: Micros,
    /// How old the watch cache may be.
    age_max: Micros,
}

impl Authority {
    /// Without a session. `ttl`: how long a session outlives its last renewal; `age_max`: how old
    /// the watch cache may be.
    pub fn new(ttl: Micros, age_max: Micros) -> Self {
        Self {
            session: Session::None,
            renewed: Micros::ZERO,
            fresh: Micros::ZERO,
            ttl,
            age_max,
        }
    }

    /// The session, alive or not.
    pub fn session(&self) -> Session {
        self.session
    }

    /// How long a session outlives its last renewal.
    pub fn ttl(&self) -> Micros {
        self.ttl
    }

    /// The time up to which the watch cache holds everything.
    pub fn fresh(&self) -> Micros {
        self.fresh
    }

    /// The one function that changes the authority.
    pub fn apply(&mut self, input: Input) {
        match input {
            Input::Begun {
                lease,
                version,
                sent,
            } => {
                self.session = Session::Held { lease, version };
                self.renewed = sent;
            }
            Input::Renewed { lease, sent } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.renewed = self.renewed.max(sent);
                }
            }
            Input::Lost { lease } => {
                if matches!(self.session, Session::Held { lease: held, .. } if held == lease) {
                    self.session = Session::None;
                }
            }
            Input::Fresh { sent } => self.fresh = self.fresh.max(sent),
        }
    }

    fn margin(&self) -> Micros {
        self.ttl.scale(CLOCK_DRIFT_MARGIN) + LATE_TIMERS
    }

    /// When the authority ends, unless something extends it.
    pub fn until(&self) -> Micros {
        match self.session {
            Session::None => Micros::ZERO,
            Session::Held { .. } => {
                (self.renewed + self.ttl - self.margin()).min(self.fresh + self.age_max)
            }
        }
    }

    /// Whether there is authority at `now`. Asked again before every command and every answer, not
    /// once per round: a process may have been stalled in between.
    pub fn holds(&self, now: Micros) -> bool {
        now < self.until()
    }
}
