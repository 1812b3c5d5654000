//! Detection of slow machines while their tasks are still running.
//!
//! Workers report task states but no progress. The only evidence is how long a task has been
//! running, compared with the run times of the job's other tasks or, without these, with its
//! estimate.
//!
//! A single long task is weak evidence because run times vary and estimates are off by half. A
//! machine is judged slow when several tasks overrun on it while no task has ended in time there,
//! weighted by how often tasks of the same classes overrun on any machine. Tasks of one job count
//! once unless other tasks of the job have ended on other hosts, because the job itself may be
//! long.
//!
//! `OverrunWatch` holds the times at which tasks overrun and the overrun shares of classes,
//! [`Pace`] the verdict on a machine.

use jasperhill_wire::{Attempt, HostId, Micros, Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Multiple of the expected run time after which a task overruns.
pub(crate) const OVERRUN_FACTOR: f64 = 2.0;
/// Multiple of the expected run time within which a task ends in time.
pub(crate) const IN_TIME_FACTOR: f64 = 1.5;
/// Fraction of a task's expected run time during which no task may have ended in time on the
/// machine if the task's overrun is to count as evidence.
pub(crate) const QUIET_FRACTION: f64 = 0.75;
/// Natural logarithm of the odds at which a machine is judged slow.
pub(crate) const SLOW_LOG_ODDS: f64 = 5.0;
/// Fraction of the tasks on a slow machine that overrun.
pub(crate) const SLOW_HOST_OVERRUN_SHARE: f64 = 0.9;
/// Initial overrun share of a class without data.
pub(crate) const INITIAL_OVERRUN_SHARE: f64 = 0.15;
/// Lower bound of a class's overrun share.
const MIN_OVERRUN_SHARE: f64 = 0.03;
/// Upper bound of a class's overrun share.
const MAX_OVERRUN_SHARE: f64 = 0.6;
/// Smoothing factor with which one ended task changes its class's overrun share.
pub(crate) const OVERRUN_SHARE_SMOOTHING: f64 = 0.03;
/// Minimum number of ended tasks of a job for predicting the run time of its other tasks.
const MIN_SIBLINGS: u32 = 3;
/// Minimum number of hosts on which a job's tasks must have ended for predicting the run time of
/// its other tasks.
const MIN_SIBLING_HOSTS: usize = 2;
/// Divisor of the number of machines that gives the maximum judged slow at a time: one in eight. If
/// more appear to be slow, the expected run times are wrong.
pub(crate) const SLOW_HOSTS_DIVISOR: usize = 8;
/// Minimum expected run time, which shorter expectations are raised to.
pub(crate) const MIN_EXPECTED_RUN_TIME: Micros = Micros::from_secs(4);
/// Maximum slowdown factor that a machine is judged to have.
pub(crate) const MAX_SLOWDOWN: f64 = 5.0;

/// Run times of the ended tasks of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingRunTimes {
    /// Number of the job's tasks that have ended.
    ended_tasks: u32,
    /// Sum of the run times of ended tasks, in seconds.
    total_seconds: f64,
    /// Hosts on which tasks of the job have ended; at most 8 are kept.
    hosts: BTreeSet<HostId>,
}

impl SiblingRunTimes {
    /// Records that a task of the job ended on this host after running for `ran`.
    pub fn record(&mut self, host: &HostId, ran: Micros) {
        self.ended_tasks += 1;
        self.total_seconds += ran.as_secs_f64();
        if self.hosts.len() < 8 {
            self.hosts.insert(host.clone());
        }
    }

    /// Returns the mean run time of the ended tasks; `None` if they are too few, or if none of them
    /// ended on another host than `host`.
    pub fn mean_run_time(&self, host: &HostId) -> Option<Micros> {
        let elsewhere = self.hosts.iter().filter(|h| *h != host).count();
        (self.ended_tasks >= MIN_SIBLINGS && self.hosts.len() >= MIN_SIBLING_HOSTS && elsewhere > 0)
            .then(|| Micros::from_secs_f64(self.total_seconds / f64::from(self.ended_tasks)))
    }
}

/// Verdict on the speed of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Pace {
    /// The machine is not known to be slow.
    #[default]
    Steady,
    /// The machine is judged slow.
    Slow {
        /// Factor by which tasks on the machine take longer than expected.
        slowdown: f64,
    },
}

/// Event that changes the verdict on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The evidence from the running tasks has been evaluated.
    Evaluated {
        /// Natural logarithm of the odds that the machine is slow.
        log_odds: f64,
        /// Factor by which tasks on the machine take longer than expected if the machine is slow.
        slowdown: f64,
    },
    /// A task that started after the machine was judged slow ended in time.
    EndedInTime,
}

impl Pace {
    /// Applies an event; nothing else changes the verdict. Returns whether the machine has just
    /// been judged slow.
    pub fn apply(&mut self, input: Input) -> bool {
        match (&mut *self, input) {
            (Self::Steady, Input::Evaluated { log_odds, slowdown })
                if log_odds >= SLOW_LOG_ODDS =>
            {
                *self = Self::Slow {
                    slowdown: slowdown.clamp(1.0, MAX_SLOWDOWN),
                };
                true
            }
            (Self::Slow { .. }, Input::EndedInTime) => {
                *self = Self::Steady;
                false
            }
            (_, Input::Evaluated { .. } | Input::EndedInTime) => false,
        }
    }

    /// Returns whether the machine is judged slow.
    pub fn is_slow(&self) -> bool {
        matches!(self, Self::Slow { .. })
    }
}

/// Times at which running tasks overrun, and the overrun share of each class.
#[derive(Debug, Default)]
pub(crate) struct OverrunWatch {
    /// Time at which a task attempt on a host overruns, earliest first.
    pub due: BTreeSet<(Micros, HostId, TaskId, Attempt)>,
    /// Smoothed fraction of a class's tasks that overrun on any machine.
    pub overrun_shares: BTreeMap<Name, f64>,
}

impl OverrunWatch {
    /// Returns the fraction of this class's tasks that overrun, limited to its lower and upper
    /// bound.
    pub fn overrun_share(&self, class: &Name) -> f64 {
        let share = self
            .overrun_shares
            .get(class)
            .copied()
            .unwrap_or(INITIAL_OVERRUN_SHARE);
        share.clamp(MIN_OVERRUN_SHARE, MAX_OVERRUN_SHARE)
    }
}

#[cfg(test)]
mod tests;
