//! One link, in one direction, as this controller sees it: up, doubtful or down, by what gets
//! through and what does not. Every change goes through [`LinkHealth::apply`].
//!
//! A single machine that hangs must not look like a cut, and a link that loses a part must not
//! look whole for the part that it carries: a link goes down when several counterparts in a row
//! are not reached for a while, or when more fails than gets through; it comes up once things
//! have got through for a while without a failure.

use jasperhill_wire::{Micros, mesh::LinkState};
use std::collections::BTreeSet;

/// Counterparts in a row that must fail, as far as there are so many.
const COUNTERPARTS: usize = 3;
/// Failures in a row at least.
const STREAK: u32 = 2;
/// Counterparts remembered.
const FAILED_MAX: usize = 8;
/// Over this time what was seen loses its weight.
const MEMORY_S: f64 = 4.0;
/// What failed in a cut is forgiven no more often than this.
const FORGIVE_AGAIN: Micros = Micros::from_secs(20);
/// Failures of this weight that outweigh what got through make a link limp.
const LIMP: f64 = 4.0;

/// What is known without asking, or was asked for where nothing else speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Something got through, in time to be of use.
    Success,
    /// Something did not. `by` tells the counterparts apart; there are `of` of them.
    Failure { by: u64, of: usize },
    /// Nobody is there that could speak: nothing is known any more.
    NoCounterpart,
}

/// How soon a link is believed to be down, and up again.
#[derive(Clone, Copy, Debug)]
pub struct Thresholds {
    pub down: Micros,
    pub up: Micros,
}

#[derive(Clone, Debug)]
pub struct LinkHealth {
    reach: LinkState,
    patience: Thresholds,
    /// Failures since something last got through: when they began, how many, of whom.
    failing: Option<Micros>,
    streak: u32,
    failed: BTreeSet<u64>,
    /// Since when things get through again.
    rising: Option<Micros>,
    /// What got through and what did not, fading.
    good: f64,
    bad: f64,
    /// When what failed was last forgiven.
    forgiven: Option<Micros>,
    fed: Micros,
}

impl LinkHealth {
    pub fn new(patience: Thresholds) -> Self {
        Self {
            reach: LinkState::Unknown,
            patience,
            failing: None,
            streak: 0,
            failed: BTreeSet::new(),
            rising: None,
            good: 0.0,
            bad: 0.0,
            forgiven: None,
            fed: Micros::ZERO,
        }
    }

    pub fn reach(&self) -> LinkState {
        self.reach
    }
    /// When it was last heard of.
    pub fn fed(&self) -> Micros {
        self.fed
    }

    /// The one function that changes it. True if it stands otherwise now.
    pub fn apply(&mut self, evidence: Observation, now: Micros) -> bool {
        let passed = (now - self.fed).as_secs_f64();
        let fade = (-passed / MEMORY_S).exp();
        self.good *= fade;
        self.bad *= fade;
        self.fed = now;
        let to = match evidence {
            Observation::Success => {
                self.good += 1.0;
                // A cut that is over leaves nothing behind: what failed in it does not speak
                // against the link. But not again and again, or a limp link would look whole.
                if self.reach == LinkState::Down
                    && self.streak >= STREAK
                    && self.forgiven.is_none_or(|t| now - t >= FORGIVE_AGAIN)
                {
                    self.forgiven = Some(now);
                    self.bad = 0.0;
                }
                self.failing = None;
                self.streak = 0;
                self.failed.clear();
                let rising = *self.rising.get_or_insert(now);
                let steady = self.bad * 2.0 <= self.good;
                match self.reach {
                    LinkState::Down if steady && now - rising >= self.patience.up => LinkState::Up,
                    LinkState::Down => LinkState::Down,
                    // Guards against a limp link that is up after each thing that gets through.
                    _ if self.is_limp() => LinkState::Down,
                    LinkState::Suspect if self.bad > self.good => LinkState::Suspect,
                    _ => LinkState::Up,
                }
            }
            Observation::Failure { by, of } => {
                self.bad += 1.0;
                self.rising = None;
                self.streak = self.streak.saturating_add(1);
                if self.failed.len() < FAILED_MAX {
                    self.failed.insert(by);
                }
                let since = *self.failing.get_or_insert(now);
                let silent = self.failed.len() >= of.clamp(1, COUNTERPARTS)
                    && self.streak >= STREAK
                    && now - since >= self.patience.down;
                match self.reach {
                    LinkState::Down => LinkState::Down,
                    _ if silent || self.is_limp() => LinkState::Down,
                    _ => LinkState::Suspect,
                }
            }
            Observation::NoCounterpart => {
                *self = Self::new(self.patience);
                self.fed = now;
                LinkState::Unknown
            }
        };
        std::mem::replace(&mut self.reach, to) != to
    }

    fn is_limp(&self) -> bool {
        self.bad >= LIMP && self.bad > self.good
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const PATIENCE: Thresholds = Thresholds {
        down: Micros::from_secs(1),
        up: Micros::from_secs(2),
    };

    fn fail(by: u64) -> Observation {
        Observation::Failure { by, of: 100 }
    }

    /// Guards against a link that is taken for down for seconds after a long cut.
    #[test]
    fn after_a_cut_it_is_up_with_the_first_thing_that_gets_through() {
        let at = Micros::from_millis;
        let mut link = LinkHealth::new(Thresholds {
            up: Micros::ZERO,
            ..PATIENCE
        });
        let mut now = 1_000;
        let cut = |link: &mut LinkHealth, now: &mut u64| {
            for _ in 0..20 {
                *now += 900;
                link.apply(fail(*now), at(*now));
            }
            assert_eq!(link.reach(), LinkState::Down);
        };
        cut(&mut link, &mut now);
        link.apply(Observation::Success, at(now + 100));
        assert_eq!(link.reach(), LinkState::Up);
        // One that flaps has to show more.
        for by in 0..4 {
            now += 900;
            link.apply(fail(by), at(now));
        }
        assert_eq!(link.reach(), LinkState::Down);
        link.apply(Observation::Success, at(now + 100));
        assert_eq!(link.reach(), LinkState::Down);
    }

    #[test]
    fn one_machine_that_hangs_is_no_cut_and_several_are() {
        let at = Micros::from_millis;
        let mut link = LinkHealth::new(PATIENCE);
        link.apply(Observation::Success, at(1_000));
        assert_eq!(link.reach(), LinkState::Up);
        for n in 0..3 {
            link.apply(fail(7), at(2_000 + 500 * n));
        }
        assert_eq!(link.reach(), LinkState::Suspect);
        link.apply(fail(8), at(3_400));
        link.apply(fail(9), at(3_500));
        assert_eq!(link.reach(), LinkState::Down);
        // It is not up with the first thing that gets through, but soon.
        link.apply(Observation::Success, at(9_000));
        assert_eq!(link.reach(), LinkState::Down);
        link.apply(fail(7), at(10_000));
        link.apply(Observation::Success, at(11_000));
        link.apply(Observation::Success, at(12_500));
        assert_eq!(link.reach(), LinkState::Down);
        for n in 0..4 {
            link.apply(Observation::Success, at(13_000 + 200 * n));
        }
        assert_eq!(link.reach(), LinkState::Up);
    }

    /// Guards against a lossy link that counts as up because something gets through at times.
    #[test]
    fn a_limp_link_is_down_for_what_it_cannot_do() {
        let mut link = LinkHealth::new(PATIENCE);
        for n in 0..40 {
            let fine = n % 3 == 0;
            let evidence = if fine { Observation::Success } else { fail(n) };
            link.apply(evidence, Micros::from_millis(300 * n));
        }
        assert_eq!(link.reach(), LinkState::Down);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(9),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// However it came about: what only fails is down in the end, what only carries is up,
        /// and between down and up lies at least the time that it must have been steady.
        #[test]
        fn it_settles_where_the_evidence_points(
            steps in proptest::collection::vec((any::<bool>(), 0u64..6, 10u64..900), 1..80),
            fine in any::<bool>(),
        ) {
            let mut link = LinkHealth::new(PATIENCE);
            let (mut now, mut broke) = (Micros::from_secs(10), Micros::ZERO);
            for (good, by, gap) in steps {
                now += Micros::from_millis(gap);
                let before = link.reach();
                link.apply(if good { Observation::Success } else { fail(by) }, now);
                if !good {
                    broke = now;
                }
                if before == LinkState::Down && link.reach() == LinkState::Up {
                    prop_assert!(now - broke >= PATIENCE.up);
                }
            }
            for by in 0..30 {
                now += Micros::from_millis(400);
                link.apply(if fine { Observation::Success } else { fail(by) }, now);
            }
            prop_assert_eq!(link.reach(), if fine { LinkState::Up } else { LinkState::Down });
        }
    }
}
