//! Attribution of task failures to hosts or to jobs.
//!
//! A host is blamed for tasks that fail on it and succeed elsewhere, a job for failures on hosts
//! that run other jobs successfully. A job that fails wherever it runs was submitted with a
//! mistake: it backs off, which means that it runs one task at a time after increasing delays until
//! its user cancels it, and its failures do not count against hosts. Every change goes through
//! [`FailureHistory::apply`].

use jasperhill_wire::{HostId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Number of hosts with failures, and without a success, after which a job backs off. A host that
/// has recently run other jobs successfully counts twice.
const BACKOFF_WEIGHT: u32 = 3;
/// Delay before the first retry of a job that backs off.
const INITIAL_BACKOFF: Micros = Micros::from_secs(4);
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Multiple of the longest run of a failed task after which, plus [`OUTLIVED_MARGIN`], a running
/// task shows that the job no longer fails for the same reason.
const OUTLIVED_FACTOR: u64 = 3;
/// Time added to the multiple of the longest failed run; see [`OUTLIVED_FACTOR`].
const OUTLIVED_MARGIN: Micros = Micros::from_secs(10);
/// Number of hosts on which a job that backs off must have failed until it is retried on the same
/// hosts again. Until then the hosts may be at fault, so that the job needs another one.
const HOSTS_TO_TRY: usize = 4;
/// Maximum number of hosts remembered for a job that backs off.
const MAX_HOSTS: usize = 256;

/// Failure state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureHistory {
    /// A task of the job has completed, so that later failures are not the job's fault.
    Proven,
    /// No failures are held against the job.
    Clean,
    /// Tasks have failed on these hosts, each with its weight, and none has completed since.
    Failing(BTreeMap<HostId, u32>),
    /// Failures are attributed to the job, which retries one task at a time. Its failures do not
    /// count against the hosts as long as it backs off.
    BackingOff {
        /// Number of retries that have failed since the job began to back off.
        level: u32,
        /// Earliest time of the next retry.
        next: Micros,
        /// Longest run time of a failed task.
        ran: Micros,
        /// Hosts against which the job's failures do not count.
        hosts: BTreeSet<HostId>,
    },
}

/// Event that changes a job's failure history.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A task failed.
    Failed {
        /// Host on which the task failed.
        host: &'a HostId,
        /// Whether the host has recently run tasks of other jobs successfully.
        serves: bool,
        /// Run time of the task.
        ran: Micros,
    },
    /// A task completed.
    Succeeded,
    /// A task is still running after this run time.
    RunningFor(Micros),
}

impl FailureHistory {
    /// Restores the history from the number of failed retries in a job's record.
    pub fn from_record(failed_attempts: u32, now: Micros) -> Self {
        match failed_attempts.checked_sub(1) {
            None => Self::Clean,
            // The job backs off further, so that only one task is retried after a takeover.
            Some(level) => Self::BackingOff {
                level: level.min(MAX_DOUBLINGS),
                next: now + Self::backoff(level),
                ran: Micros::ZERO,
                hosts: BTreeSet::new(),
            },
        }
    }

    /// Returns the number of failed retries to write to the job's record; 0 if the job does not
    /// back off.
    pub fn failed_attempts(&self) -> u32 {
        match self {
            Self::BackingOff { level, .. } => level + 1,
            _ => 0,
        }
    }

    /// Returns whether the job backs off, running one task at a time after increasing delays.
    pub fn is_backing_off(&self) -> bool {
        matches!(self, Self::BackingOff { .. })
    }

    /// Returns whether the job should not run on this host because a task failed on it.
    pub fn avoids(&self, host: &HostId) -> bool {
        matches!(self, Self::Failing(hosts) if hosts.contains_key(host))
    }

    /// Returns whether the job backs off, has failed on this host and has not been tried on enough
    /// others.
    pub fn needs_other_host_than(&self, host: &HostId) -> bool {
        matches!(self, Self::BackingOff { hosts, .. }
            if hosts.len() < HOSTS_TO_TRY && hosts.contains(host))
    }

    /// Returns whether there are hosts on which the job should not run again.
    pub fn avoids_any(&self) -> bool {
        matches!(self, Self::Failing(_))
    }

    /// Returns whether the job may start a task now.
    pub fn may_retry(&self, now: Micros) -> bool {
        !matches!(self, Self::BackingOff { next, .. } if now < *next)
    }

    /// Returns the delay before the next retry.
    fn backoff(level: u32) -> Micros {
        Micros(INITIAL_BACKOFF.0 << level.min(MAX_DOUBLINGS))
    }

    /// Applies an event. Nothing else changes the history.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) {
        match (input, &mut *self) {
            (Input::Succeeded, _) => *self = Self::Proven,
            (Input::Failed { .. }, Self::Proven) => {}
            (Input::RunningFor(elapsed), Self::BackingOff { ran, .. }) => {
                if elapsed >= Micros(ran.0.saturating_mul(OUTLIVED_FACTOR)) + OUTLIVED_MARGIN {
                    *self = Self::Clean;
                }
            }
            (Input::RunningFor(_), _) => {}
            (
                Input::Failed { ran, host, .. },
                Self::BackingOff {
                    level,
                    next,
                    ran: longest_run,
                    hosts,
                },
            ) => {
                if hosts.len() < MAX_HOSTS {
                    hosts.insert(host.clone());
                }
                *longest_run = (*longest_run).max(ran);
                // Tasks that started before the delay fail during it; all of them count as one
                // failed retry.
                if now >= *next {
                    *level = (*level + 1).min(MAX_DOUBLINGS);
                    *next = now + Self::backoff(*level);
                }
            }
            (Input::Failed { host, serves, ran }, Self::Clean | Self::Failing(_)) => {
                let mut hosts = match std::mem::replace(self, Self::Clean) {
                    Self::Failing(hosts) => hosts,
                    _ => BTreeMap::new(),
                };
                let weight = hosts.entry(host.clone()).or_default();
                *weight = (*weight).max(1 + u32::from(serves));
                *self = if hosts.values().sum::<u32>() >= BACKOFF_WEIGHT {
                    Self::BackingOff {
                        level: 0,
                        next: now + Self::backoff(0),
                        ran,
                        hosts: hosts.into_keys().collect(),
                    }
                } else {
                    Self::Failing(hosts)
                };
            }
        }
    }
}

#[cfg(test)]
mod tests;
