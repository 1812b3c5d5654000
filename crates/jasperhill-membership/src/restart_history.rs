//! Lives of a process that follow one another quickly. A controller that ends again and again would
//! take its roles back each time and serve them never, while others could; so after a few quick
//! ends it leaves its roles to them, until it has lived for a while. Pure; every change goes
//! through [`RestartHistory::apply`].
//!
//! Nothing here is a matter of safety: a role that is left names a session that is gone, and
//! whoever takes it does so by a guarded write at a new revision, as any orphan is taken.

use jasperhill_wire::Micros;

/// A life that ends within this time, by the time of day, was a quick one.
const SOON: Micros = Micros::from_secs(10);
/// How long one must live after quick lives to be steady, and for each one more.
const REST: Micros = Micros::from_secs(4);
const REST_MORE: Micros = Micros::from_secs(2);
const REST_MAX: Micros = Micros::from_secs(30);
/// Counted no further.
const QUICK_MAX: u32 = 100;

/// What a session's record tells of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessRun {
    /// The time of day at which it began.
    pub started: Micros,
    /// The quick lives just before it.
    pub quick_restarts: u32,
}

impl ProcessRun {
    /// How long its process has to live to be steady.
    pub fn backoff(&self, after: u32) -> Micros {
        if after == 0 || self.quick_restarts < after {
            return Micros::ZERO;
        }
        let more = u64::from(self.quick_restarts - after);
        (REST + Micros(REST_MORE.0.saturating_mul(more))).min(REST_MAX)
    }

    /// Whether it has ended quickly that often and has not lived for long since. The time of day
    /// may be off by a second or so, which is all that can go wrong here.
    pub fn is_crash_looping(&self, after: u32, wall: Micros) -> bool {
        wall - self.started < self.backoff(after)
    }
}

/// How this process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no session yet.
    NotStarted,
    /// It has ended quickly again and again, and leaves its roles until then.
    CrashLooping { until: Micros },
    /// It may have any role.
    Stable,
}

#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// It is about to begin a session; what the record of its former life says, if that is there.
    SessionStarting {
        former: Option<ProcessRun>,
        /// The time of day.
        wall: Micros,
    },
    /// Time has passed.
    Tick,
}

#[derive(Clone, Debug)]
pub struct RestartHistory {
    /// After so many quick lives; 0: never.
    after: u32,
    phase: Phase,
    /// What this life's record says.
    mine: ProcessRun,
    /// When this process began, by the steady clock.
    since: Micros,
}

impl RestartHistory {
    pub fn new(after: u32, now: Micros) -> Self {
        Self {
            after,
            phase: Phase::NotStarted,
            mine: ProcessRun::default(),
            since: now,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What the record of this process's session is to say.
    pub fn current(&self) -> ProcessRun {
        self.mine
    }

    pub fn threshold(&self) -> u32 {
        self.after
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input, now: Micros) -> Phase {
        match (self.phase, input) {
            (Phase::NotStarted, Input::SessionStarting { former, wall }) => {
                let soon = |f: &ProcessRun| wall - f.started < SOON + f.backoff(self.after);
                let quick = former.filter(soon).map_or(0, |f| f.quick_restarts + 1);
                self.mine = ProcessRun {
                    started: wall,
                    quick_restarts: quick.min(QUICK_MAX),
                };
                let until = self.since + self.mine.backoff(self.after);
                self.phase = if now < until {
                    Phase::CrashLooping { until }
                } else {
                    Phase::Stable
                };
            }
            // The same process begins a session anew: it has lived on.
            (Phase::CrashLooping { until }, _) if now >= until => self.phase = Phase::Stable,
            (Phase::NotStarted | Phase::CrashLooping { .. } | Phase::Stable, _) => {}
        }
        self.phase
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: Micros = Micros::from_secs(1_700_000_000);

    /// Lives of these lengths, one after the other: how each one stood when it began.
    fn lives(lengths: &[u64]) -> Vec<Phase> {
        let (mut wall, mut former) = (DAY, None);
        let mut phases = Vec::new();
        for ms in lengths {
            let mut lives = RestartHistory::new(3, Micros::from_secs(3_600));
            phases.push(lives.apply(
                Input::SessionStarting { former, wall },
                Micros::from_secs(3_600),
            ));
            former = Some(lives.current());
            wall += Micros::from_millis(*ms);
        }
        phases
    }

    #[test]
    fn one_or_two_quick_ends_are_no_habit_and_more_are() {
        let phases = lives(&[1_000, 1_000, 1_000, 1_000, 300, 300]);
        assert_eq!(phases[..3], [Phase::Stable; 3]);
        let until = |s: u64| Phase::CrashLooping {
            until: Micros::from_secs(3_600 + s),
        };
        assert_eq!(phases[3..], [until(4), until(6), until(8)]);
    }

    #[test]
    fn one_that_has_lived_for_long_starts_from_nothing() {
        let phases = lives(&[1_000, 1_000, 1_000, 120_000, 1_000, 1_000]);
        assert!(matches!(phases[3], Phase::CrashLooping { .. }));
        assert_eq!(phases[4..], [Phase::Stable; 2]);
    }

    #[test]
    fn it_is_steady_once_it_has_lived_for_a_while() {
        let now = Micros::from_secs(3_600);
        let former = Some(ProcessRun {
            started: DAY,
            quick_restarts: 5,
        });
        let mut lives = RestartHistory::new(3, now);
        let wall = DAY + Micros::from_secs(1);
        lives.apply(Input::SessionStarting { former, wall }, now);
        assert!(
            lives
                .current()
                .is_crash_looping(3, wall + Micros::from_secs(9))
        );
        assert!(
            !lives
                .current()
                .is_crash_looping(3, wall + Micros::from_secs(10))
        );
        let later = |s: u64| now + Micros::from_secs(s);
        assert!(matches!(
            lives.apply(Input::Tick, later(9)),
            Phase::CrashLooping { .. }
        ));
        assert_eq!(lives.apply(Input::Tick, later(10)), Phase::Stable);
        // A session that is begun anew by the same process changes nothing.
        let again = Input::SessionStarting { former, wall };
        assert_eq!(lives.apply(again, later(11)), Phase::Stable);
        assert_eq!(RestartHistory::new(0, now).apply(again, now), Phase::Stable);
    }
}
