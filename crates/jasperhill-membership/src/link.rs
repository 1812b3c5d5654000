//! One link, in one direction, as this controller sees it: up, suspect or down, by what gets
//! through and what does not. Every change goes through [`LinkHealth::apply`].
//!
//! A single machine that hangs must not look like a cut, and a lossy link must not look whole for
//! the part that it carries: a link goes down when several counterparts in a row are not reached
//! for a while, or when more fails than gets through; it comes up once things have got through for
//! a while without a failure.

use jasperhill_wire::{Micros, mesh::LinkState};
use std::collections::BTreeSet;

/// Counterparts in a row that must fail, as far as there are so many: one machine that hangs is
/// no cut.
const FAILED_COUNTERPARTS_MIN: usize = 3;
/// Failures in a row at least: a single one happens on any link.
const FAILURES_MIN: u32 = 2;
/// Counterparts that failed are remembered up to this number; more than have to fail.
const FAILED_COUNTERPARTS_MAX: usize = 8;
/// The weight of an observation falls to 1/e within this time, in seconds.
const MEMORY_S: f64 = 4.0;
/// What failed in a cut is forgiven no more often than this: a link that flaps is not whole.
const FORGIVE_INTERVAL: Micros = Micros::from_secs(20);
/// Failures of this weight that outweigh the successes make a link lossy.
const LOSSY_WEIGHT: f64 = 4.0;
/// A link comes up only if its successes weigh so many times as much as its failures.
const STEADY_RATIO: f64 = 2.0;

/// What is known without asking, or was asked for where nothing else speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Something got through, in time to be of use.
    Success,
    /// Something did not.
    Failure {
        /// Tells the counterparts apart.
        by: u64,
        /// How many counterparts there are.
        of: usize,
    },
    /// Nobody is there that could speak: nothing is known any more.
    NoCounterpart,
}

/// How soon a link is believed to be down, and up again.
#[derive(Clone, Copy, Debug)]
pub struct Thresholds {
    /// Failures must go on for so long before the link is down.
    pub down: Micros,
    /// Successes must go on for so long before it is up again.
    pub up: Micros,
}

/// The health of a link. Owned by [`Reachability`](crate::Reachability), which feeds it.
#[derive(Clone, Debug)]
pub struct LinkHealth {
    state: LinkState,
    thresholds: Thresholds,
    /// Since when nothing has got through.
    failing_since: Option<Micros>,
    /// Failures since something last got through.
    failures: u32,
    /// The counterparts of these failures.
    failed: BTreeSet<u64>,
    /// Since when nothing has failed.
    succeeding_since: Option<Micros>,
    /// The weight of what got through, fading.
    success_weight: f64,
    /// The weight of what did not, fading.
    failure_weight: f64,
    /// When what failed was last forgiven.
    forgiven: Option<Micros>,
    last_observation: Micros,
}

impl LinkHealth {
    /// That of a link of which nothing is known.
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            state: LinkState::Unknown,
            thresholds,
            failing_since: None,
            failures: 0,
            failed: BTreeSet::new(),
            succeeding_since: None,
            success_weight: 0.0,
            failure_weight: 0.0,
            forgiven: None,
            last_observation: Micros::ZERO,
        }
    }

    /// The state that the link is believed to be in.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// When the last observation came.
    pub fn last_observation(&self) -> Micros {
        self.last_observation
    }

    /// The one function that changes it. True if the state is another one now.
    pub fn apply(&mut self, observation: Observation, now: Micros) -> bool {
        let passed = (now - self.last_observation).as_secs_f64();
        let fade = (-passed / MEMORY_S).exp();
        self.success_weight *= fade;
        self.failure_weight *= fade;
        self.last_observation = now;
        let state = match observation {
            Observation::Success => self.after_success(now),
            Observation::Failure { by, of } => self.after_failure(by, of, now),
            Observation::NoCounterpart => {
                *self = Self::new(self.thresholds);
                self.last_observation = now;
                LinkState::Unknown
            }
        };
        std::mem::replace(&mut self.state, state) != state
    }

    fn after_success(&mut self, now: Micros) -> LinkState {
        self.success_weight += 1.0;
        // A cut that is over leaves nothing behind: what failed in it does not speak against
        // the link. But not again and again, or a lossy link would look whole.
        if self.state == LinkState::Down
            && self.failures >= FAILURES_MIN
            && self.forgiven.is_none_or(|at| now - at >= FORGIVE_INTERVAL)
        {
            self.forgiven = Some(now);
            self.failure_weight = 0.0;
        }
        self.failing_since = None;
        self.failures = 0;
        self.failed.clear();
        let since = *self.succeeding_since.get_or_insert(now);
        let steady = self.failure_weight * STEADY_RATIO <= self.success_weight;
        match self.state {
            LinkState::Down if steady && now - since >= self.thresholds.up => LinkState::Up,
            LinkState::Down => LinkState::Down,
            // Guards against a lossy link that is up after each thing that gets through.
            _ if self.is_lossy() => LinkState::Down,
            LinkState::Suspect if self.failure_weight > self.success_weight => LinkState::Suspect,
            _ => LinkState::Up,
        }
    }

    fn after_failure(&mut self, by: u64, of: usize, now: Micros) -> LinkState {
        self.failure_weight += 1.0;
        self.succeeding_since = None;
        self.failures = self.failures.saturating_add(1);
        if self.failed.len() < FAILED_COUNTERPARTS_MAX {
            self.failed.insert(by);
        }
        let since = *self.failing_since.get_or_insert(now);
        let cut = self.failed.len() >= of.clamp(1, FAILED_COUNTERPARTS_MIN)
            && self.failures >= FAILURES_MIN
            && now - since >= self.thresholds.down;
        match self.state {
            LinkState::Down => LinkState::Down,
            _ if cut || self.is_lossy() => LinkState::Down,
            _ => LinkState::Suspect,
        }
    }

    fn is_lossy(&self) -> bool {
        self.failure_weight >= LOSSY_WEIGHT && self.failure_weight > self.success_weight
    }
}
