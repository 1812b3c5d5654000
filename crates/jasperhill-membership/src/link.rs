//! Health of one network link in one direction, as observed by this controller.
//!
//! [`LinkHealth`] classifies a link as up, suspect or down from the successes and failures of
//! messages. Every change goes through [`LinkHealth::apply`].
//!
//! A single machine that hangs must not count as a network partition, and a lossy link must not
//! count as healthy because some messages get through. A link therefore goes down when several
//! counterparts in a row have been unreachable for some time, or when failures outweigh successes.
//! It comes up again after messages have got through for some time without a failure.

use jasperhill_wire::{Micros, mesh::LinkState};
use std::collections::BTreeSet;

/// The number of different counterparts, or all if there are fewer, that must fail without a
/// success in between before a link is down: one machine that hangs is no network partition.
const FAILED_COUNTERPARTS_MIN: usize = 3;
/// The number of consecutive failures before a link is down: a single failure happens on any link.
const FAILURES_MIN: u32 = 2;
/// The most failed counterparts that are tracked (count); must exceed [`FAILED_COUNTERPARTS_MIN`].
const FAILED_COUNTERPARTS_MAX: usize = 8;
/// The time within which the weight of an observation decays to 1/e, in seconds.
const DECAY_TIME_S: f64 = 4.0;
/// The minimum time between two resets of the failure weight at the end of an outage. Without this
/// minimum a flapping link would count as healthy.
const FAILURE_RESET_INTERVAL: Micros = Micros::from_secs(20);
/// The failure weight from which on a link is lossy if failures also outweigh successes.
const LOSSY_FAILURE_WEIGHT: f64 = 4.0;
/// The minimum ratio of success weight to failure weight at which a link comes up again.
const RECOVERY_WEIGHT_RATIO: f64 = 2.0;

/// An observation of a link: from regular traffic, or from a probe where there is no traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A message got through within its time limit.
    Success,
    /// A message did not get through within its time limit.
    Failure {
        /// Identifies the counterpart that was not reached.
        counterpart: u64,
        /// The number of counterparts on the link.
        counterpart_count: usize,
    },
    /// There is no counterpart to observe: the state of the link becomes unknown.
    NoCounterpart,
}

/// The durations after which a link counts as down, and as up again.
#[derive(Clone, Copy, Debug)]
pub struct Thresholds {
    /// The time without a success after which the link is down.
    pub down: Micros,
    /// The time without a failure after which a link that is down is up again.
    pub up: Micros,
}

/// The health of one link. Owned and updated by [`Reachability`](crate::Reachability).
#[derive(Clone, Debug)]
pub struct LinkHealth {
    state: LinkState,
    thresholds: Thresholds,
    /// The time of the first failure since the last success; `None` after a success.
    failing_since: Option<Micros>,
    /// The number of failures since the last success.
    failures: u32,
    /// Counterparts that were not reached since the last success.
    failed_counterparts: BTreeSet<u64>,
    /// The time of the first success since the last failure; `None` after a failure.
    succeeding_since: Option<Micros>,
    /// The exponentially decaying weight of successes.
    success_weight: f64,
    /// The exponentially decaying weight of failures.
    failure_weight: f64,
    /// The time of the last reset of `failure_weight` at the end of an outage.
    last_failure_reset: Option<Micros>,
    last_observation: Micros,
}

impl LinkHealth {
    /// Creates the health of a link without observations, whose state is unknown.
    pub fn new(thresholds: Thresholds) -> Self {
        Self {
            state: LinkState::Unknown,
            thresholds,
            failing_since: None,
            failures: 0,
            failed_counterparts: BTreeSet::new(),
            succeeding_since: None,
            success_weight: 0.0,
            failure_weight: 0.0,
            last_failure_reset: None,
            last_observation: Micros::ZERO,
        }
    }

    /// Returns the current state of the link.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Returns the time of the last observation; zero if there was none.
    pub fn last_observation(&self) -> Micros {
        self.last_observation
    }

    /// Applies one observation and returns whether the state changed. No other function changes the
    /// health of the link.
    pub fn apply(&mut self, observation: Observation, now: Micros) -> bool {
        let elapsed_s = (now - self.last_observation).as_secs_f64();
        let decay = (-elapsed_s / DECAY_TIME_S).exp();
        self.success_weight *= decay;
        self.failure_weight *= decay;
        self.last_observation = now;
        let state = match observation {
            Observation::Success => self.after_success(now),
            Observation::Failure {
                counterpart,
                counterpart_count,
            } => self.after_failure(counterpart, counterpart_count, now),
            Observation::NoCounterpart => {
                *self = Self::new(self.thresholds);
                self.last_observation = now;
                LinkState::Unknown
            }
        };
        std::mem::replace(&mut self.state, state) != state
    }

    /// Records a success and returns the new state.
    fn after_success(&mut self, now: Micros) -> LinkState {
        self.success_weight += 1.0;
        // The failures of an outage that is over do not count against the link. The reset is
        // limited by [`FAILURE_RESET_INTERVAL`], because otherwise a lossy link would count as
        // healthy.
        if self.state == LinkState::Down
            && self.failures >= FAILURES_MIN
            && self
                .last_failure_reset
                .is_none_or(|at| now - at >= FAILURE_RESET_INTERVAL)
        {
            self.last_failure_reset = Some(now);
            self.failure_weight = 0.0;
        }
        self.failing_since = None;
        self.failures = 0;
        self.failed_counterparts.clear();
        let succeeding_since = *self.succeeding_since.get_or_insert(now);
        let is_stable = self.failure_weight * RECOVERY_WEIGHT_RATIO <= self.success_weight;
        match self.state {
            LinkState::Down if is_stable && now - succeeding_since >= self.thresholds.up => {
                LinkState::Up
            }
            LinkState::Down => LinkState::Down,
            // Without this check a lossy link would be up after each success.
            _ if self.is_lossy() => LinkState::Down,
            LinkState::Suspect if self.failure_weight > self.success_weight => LinkState::Suspect,
            _ => LinkState::Up,
        }
    }

    /// Records a failure to reach `counterpart` out of `counterpart_count` counterparts; returns
    /// the new state.
    fn after_failure(
        &mut self,
        counterpart: u64,
        counterpart_count: usize,
        now: Micros,
    ) -> LinkState {
        self.failure_weight += 1.0;
        self.succeeding_since = None;
        self.failures = self.failures.saturating_add(1);
        if self.failed_counterparts.len() < FAILED_COUNTERPARTS_MAX {
            self.failed_counterparts.insert(counterpart);
        }
        let failing_since = *self.failing_since.get_or_insert(now);
        let is_cut_off = self.failed_counterparts.len()
            >= counterpart_count.clamp(1, FAILED_COUNTERPARTS_MIN)
            && self.failures >= FAILURES_MIN
            && now - failing_since >= self.thresholds.down;
        match self.state {
            LinkState::Down => LinkState::Down,
            _ if is_cut_off || self.is_lossy() => LinkState::Down,
            _ => LinkState::Suspect,
        }
    }

    /// Returns whether failures are significant and outweigh successes.
    fn is_lossy(&self) -> bool {
        self.failure_weight >= LOSSY_FAILURE_WEIGHT && self.failure_weight > self.success_weight
    }
}
