//! Runs of a process that follow one another quickly: crash loops. A controller that ends again and
//! again would take its roles back each time and serve them never, while others could; so after a
//! few quick restarts it leaves its roles to them, for a back-off that grows with each one. Pure; every change goes
//! through [`RestartHistory::apply`].
//!
//! Nothing here is a matter of safety: a role that is left names a session that is gone, and
//! whoever takes it does so by a guarded write at a new revision, as any orphan is taken.

use jasperhill_wire::Micros;

/// A run that ends within this time, by the time of day, was followed by a quick restart.
const QUICK_RUN: Micros = Micros::from_secs(10);
/// How long a process must run to be stable once it has restarted quickly often enough ...
const BACKOFF_BASE: Micros = Micros::from_secs(4);
/// ... for each quick restart more ...
const BACKOFF_STEP: Micros = Micros::from_secs(2);
/// ... and at most.
const BACKOFF_MAX: Micros = Micros::from_secs(30);
/// Quick restarts are counted no further.
const QUICK_RESTARTS_MAX: u32 = 100;

/// What a session's record tells of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessRun {
    /// The time of day at which it began.
    pub started: Micros,
    /// The quick restarts just before it.
    pub quick_restarts: u32,
}

impl ProcessRun {
    /// How long its process has to run to be stable. `threshold`: quick restarts that make a
    /// crash loop; 0: any number is fine.
    pub fn backoff(&self, threshold: u32) -> Micros {
        if threshold == 0 || self.quick_restarts < threshold {
            return Micros::ZERO;
        }
        let more = u64::from(self.quick_restarts - threshold);
        (BACKOFF_BASE + Micros(BACKOFF_STEP.0.saturating_mul(more))).min(BACKOFF_MAX)
    }

    /// Whether it has restarted quickly that often and has not run for long since. `wall`: the
    /// time of day, which may be off by a second or so; that is all that can go wrong here.
    pub fn is_crash_looping(&self, threshold: u32, wall: Micros) -> bool {
        wall - self.started < self.backoff(threshold)
    }
}

/// Whether this process may have roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no session yet.
    NotStarted,
    /// It has restarted quickly again and again, and leaves its roles to others.
    CrashLooping {
        /// When the back-off is over, by the steady clock.
        until: Micros,
    },
    /// It may have any role.
    Stable,
}

/// What changes the phase.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// The process is about to begin a session.
    SessionStarting {
        /// What the record of its previous session says, if that is there.
        former: Option<ProcessRun>,
        /// The time of day.
        wall: Micros,
    },
    /// Time has passed.
    Tick,
}

/// Whether this process is in a crash loop. Owned by the controller's membership state; fed where
/// a session begins and whenever roles are evaluated.
#[derive(Clone, Debug)]
pub struct RestartHistory {
    /// Quick restarts that make a crash loop; 0: never.
    threshold: u32,
    phase: Phase,
    /// What the record of this process's session says.
    current: ProcessRun,
    /// When this process began, by the steady clock.
    since: Micros,
}

impl RestartHistory {
    /// That of a process that begins at `now`, by the steady clock. `threshold`: quick restarts
    /// that make a crash loop; 0: never.
    pub fn new(threshold: u32, now: Micros) -> Self {
        Self {
            threshold,
            phase: Phase::NotStarted,
            current: ProcessRun::default(),
            since: now,
        }
    }

    /// Whether this process may have roles.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What the record of this process's session is to say.
    pub fn current(&self) -> ProcessRun {
        self.current
    }

    /// Quick restarts that make a crash loop; 0: never.
    pub fn threshold(&self) -> u32 {
        self.threshold
    }

    /// Whether this process may be counted on to run on: it knows from its session's start that it
    /// has not just restarted quickly, or has run for longer than a quick run. `now`: by the steady
    /// clock.
    pub fn is_settled(&self, now: Micros) -> bool {
        let is_first_run = self.phase != Phase::NotStarted && self.current.quick_restarts == 0;
        is_first_run || now - self.since >= QUICK_RUN
    }

    /// The one function that changes it. `now`: by the steady clock. Returns the phase.
    pub fn apply(&mut self, input: Input, now: Micros) -> Phase {
        match (self.phase, input) {
            (Phase::NotStarted, Input::SessionStarting { former, wall }) => {
                let was_quick =
                    |run: &ProcessRun| wall - run.started < QUICK_RUN + run.backoff(self.threshold);
                let quick = former
                    .filter(was_quick)
                    .map_or(0, |run| run.quick_restarts + 1);
                self.current = ProcessRun {
                    started: wall,
                    quick_restarts: quick.min(QUICK_RESTARTS_MAX),
                };
                let until = self.since + self.current.backoff(self.threshold);
                self.phase = if now < until {
                    Phase::CrashLooping { until }
                } else {
                    Phase::Stable
                };
            }
            // The same process begins a session anew: it has run on.
            (Phase::CrashLooping { until }, _) if now >= until => self.phase = Phase::Stable,
            (Phase::NotStarted | Phase::CrashLooping { .. } | Phase::Stable, _) => {}
        }
        self.phase
    }
}
