//! Lives of a process that follow one another quickly. A controller that ends again and again would
//! take its roles back each time and serve them never, while others could; so after a few quick
//! ends it leaves its roles to them, until it has lived for a while. Pure; every change goes
//! through [`Lives::apply`].
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
pub struct Former {
    /// The time of day at which it began.
    pub began: Micros,
    /// The quick lives just before it.
    pub quick: u32,
}

impl Former {
    /// How long its process has to live to be steady.
    pub fn rest(&self, after: u32) -> Micros {
        if after == 0 || self.quick < after {
            return Micros::ZERO;
        }
        let more = u64::from(self.quick - after);
        (REST + Micros(REST_MORE.0.saturating_mul(more))).min(REST_MAX)
    }

    /// Whether it has ended quickly that often and has not lived for long since. The time of day
    /// may be off by a second or so, which is all that can go wrong here.
    pub fn is_restless(&self, after: u32, wall: Micros) -> bool {
        wall - self.began < self.rest(after)
    }
}

/// How this process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no session yet.
    Unborn,
    /// It has ended quickly again and again, and leaves its roles until then.
    Restless { until: Micros },
    /// It may have any role.
    Steady,
}

#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// It is about to begin a session; what the record of its former life says, if that is there.
    Begins {
        former: Option<Former>,
        /// The time of day.
        wall: Micros,
    },
    /// Time has passed.
    Tick,
}

#[derive(Clone, Debug)]
pub struct Lives {
    /// After so many quick lives; 0: never.
    after: u32,
    phase: Phase,
    /// What this life's record says.
    mine: Former,
    /// When this process began, by the steady clock.
    since: Micros,
}

impl Lives {
    pub fn new(after: u32, now: Micros) -> Self {
        Self {
            after,
            phase: Phase::Unborn,
            mine: Former::default(),
            since: now,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What the record of this process's session is to say.
    pub fn mine(&self) -> Former {
        self.mine
    }

    pub fn after(&self) -> u32 {
        self.after
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input, now: Micros) -> Phase {
        match (self.phase, input) {
            (Phase::Unborn, Input::Begins { former, wall }) => {
                let soon = |f: &Former| wall - f.began < SOON + f.rest(self.after);
                let quick = former.filter(soon).map_or(0, |f| f.quick + 1);
                self.mine = Former {
                    began: wall,
                    quick: quick.min(QUICK_MAX),
                };
                let until = self.since + self.mine.rest(self.after);
                self.phase = if now < until {
                    Phase::Restless { until }
                } else {
                    Phase::Steady
                };
            }
            // The same process begins a session anew: it has lived on.
            (Phase::Restless { until }, _) if now >= until => self.phase = Phase::Steady,
            (Phase::Unborn | Phase::Restless { .. } | Phase::Steady, _) => {}
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
            let mut lives = Lives::new(3, Micros::from_secs(3_600));
            phases.push(lives.apply(Input::Begins { former, wall }, Micros::from_secs(3_600)));
            former = Some(lives.mine());
            wall += Micros::from_millis(*ms);
        }
        phases
    }

    #[test]
    fn one_or_two_quick_ends_are_no_habit_and_more_are() {
        let phases = lives(&[1_000, 1_000, 1_000, 1_000, 300, 300]);
        assert_eq!(phases[..3], [Phase::Steady; 3]);
        let until = |s: u64| Phase::Restless {
            until: Micros::from_secs(3_600 + s),
        };
        assert_eq!(phases[3..], [until(4), until(6), until(8)]);
    }

    #[test]
    fn one_that_has_lived_for_long_starts_from_nothing() {
        let phases = lives(&[1_000, 1_000, 1_000, 120_000, 1_000, 1_000]);
        assert!(matches!(phases[3], Phase::Restless { .. }));
        assert_eq!(phases[4..], [Phase::Steady; 2]);
    }

    #[test]
    fn it_is_steady_once_it_has_lived_for_a_while() {
        let now = Micros::from_secs(3_600);
        let former = Some(Former {
            began: DAY,
            quick: 5,
        });
        let mut lives = Lives::new(3, now);
        let wall = DAY + Micros::from_secs(1);
        lives.apply(Input::Begins { former, wall }, now);
        assert!(lives.mine().is_restless(3, wall + Micros::from_secs(9)));
        assert!(!lives.mine().is_restless(3, wall + Micros::from_secs(10)));
        let later = |s: u64| now + Micros::from_secs(s);
        assert!(matches!(
            lives.apply(Input::Tick, later(9)),
            Phase::Restless { .. }
        ));
        assert_eq!(lives.apply(Input::Tick, later(10)), Phase::Steady);
        // A session that is begun anew by the same process changes nothing.
        let again = Input::Begins { former, wall };
        assert_eq!(lives.apply(again, later(11)), Phase::Steady);
        assert_eq!(Lives::new(0, now).apply(again, now), Phase::Steady);
    }
}
