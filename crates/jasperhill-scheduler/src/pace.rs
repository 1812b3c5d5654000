//! Slow machines, recognised while their tasks still run. Workers report states and no progress,
//! so that all there is to go by is how long a task has been running, against what the job's
//! other tasks took, or else against its estimate.
//!
//! One long task says little: run times vary, and estimates are wrong by half. What convicts a
//! machine is several tasks that overrun there while nothing has ended in time, weighed by how
//! often tasks of their classes overrun anywhere. Tasks of one job count once unless others of
//! the job have ended elsewhere: it may be the job that is long. Owns the moments at which tasks
//! overrun, the classes' shares of overruns, and what follows for the machine.

use jasperhill_wire::{Attempt, HostId, Micros, Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// A task overruns when it has been running for so many times as long as expected.
pub(crate) const OVER: f64 = 2.0;
/// What ends within so many times of the expected time ends in time.
pub(crate) const IN_TIME: f64 = 1.5;
/// Nothing has ended in time on the machine for this part of a task's expected time.
pub(crate) const QUIET: f64 = 0.75;
/// The log of the odds that convict.
pub(crate) const SLOW_LOG_ODDS: f64 = 5.0;
/// Of a slow machine's tasks, so many overrun.
pub(crate) const SLOW_OVERRUNS: f64 = 0.9;
/// The share of overruns of a class that is not known, and its bounds.
pub(crate) const TAIL_FIRST: f64 = 0.15;
const TAIL_LEAST: f64 = 0.03;
const TAIL_MOST: f64 = 0.6;
/// How fast shares are learned.
pub(crate) const LEARNS: f64 = 0.03;
/// Ended tasks of a job that say how long its others take, and the hosts they must be from.
const SIBLINGS: u32 = 3;
const SIBLING_HOSTS: usize = 2;
/// No more than this part of the machines is taken for slow at a time: beyond, it is the
/// expectation that is wrong.
pub(crate) const SLOW_PART: usize = 8;
/// A task that runs for less is not looked at.
pub(crate) const LEAST: Micros = Micros::from_secs(4);
/// The slowest that a machine is taken for.
pub(crate) const SLOWEST: f64 = 5.0;

/// How long the ended tasks of a job ran.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingRunTimes {
    ended: u32,
    seconds: f64,
    /// A few of the hosts.
    hosts: BTreeSet<HostId>,
}

impl SiblingRunTimes {
    /// A task of the job has ended on this host after so long.
    pub fn note(&mut self, host: &HostId, ran: Micros) {
        self.ended += 1;
        self.seconds += ran.as_secs_f64();
        if self.hosts.len() < 8 {
            self.hosts.insert(host.clone());
        }
    }

    /// What they took, if there are enough of them, seen from this host.
    pub fn elapsed(&self, here: &HostId) -> Option<Micros> {
        let elsewhere = self.hosts.iter().filter(|h| *h != here).count();
        (self.ended >= SIBLINGS && self.hosts.len() >= SIBLING_HOSTS && elsewhere > 0)
            .then(|| Micros::from_secs_f64(self.seconds / f64::from(self.ended)))
    }
}

/// Whether a machine keeps pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Pace {
    /// It keeps pace, as far as is known.
    #[default]
    Steady,
    /// Takes so many times as long.
    Slow {
        /// How many times as long its tasks take.
        times: f64,
    },
}

/// What changes the pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The odds, as a logarithm, that it is slow, and how slow it then is.
    Weighed {
        /// The logarithm of the odds that it is slow.
        odds: f64,
        /// How many times as long its tasks take, if so.
        times: f64,
    },
    /// A task that began after the verdict ended in time.
    EndedInTime,
}

impl Pace {
    /// The one function that changes it. True if it has been convicted now.
    pub fn apply(&mut self, input: Input) -> bool {
        match (&mut *self, input) {
            (Self::Steady, Input::Weighed { odds, times }) if odds >= SLOW_LOG_ODDS => {
                *self = Self::Slow {
                    times: times.clamp(1.0, SLOWEST),
                };
                true
            }
            (Self::Slow { .. }, Input::EndedInTime) => {
                *self = Self::Steady;
                false
            }
            (_, Input::Weighed { .. } | Input::EndedInTime) => false,
        }
    }

    /// It is taken for slow.
    pub fn is_slow(&self) -> bool {
        matches!(self, Self::Slow { .. })
    }
}

/// When tasks overrun, and how often tasks of a class do.
#[derive(Debug, Default)]
pub(crate) struct OverrunWatch {
    /// When which attempt of a task on which host is overdue.
    pub due: BTreeSet<(Micros, HostId, TaskId, Attempt)>,
    /// The share of a class's tasks that overrun anywhere, smoothed.
    pub tails: BTreeMap<Name, f64>,
}

impl OverrunWatch {
    /// The share of this class's tasks that overrun, within bounds.
    pub fn tail(&self, class: &Name) -> f64 {
        let tail = self.tails.get(class).copied().unwrap_or(TAIL_FIRST);
        tail.clamp(TAIL_LEAST, TAIL_MOST)
    }
}

#[cfg(test)]
mod tests;
