//! Whose fault a failure is. A host is blamed for what fails there and succeeds elsewhere; a job
//! for failures on hosts that serve others. A job that fails wherever it runs was submitted with
//! a mistake: it is *suspect*, tries one task at a time after growing pauses until its user
//! cancels it, and its failures are not held against hosts. Every change goes through
//! [`FailureHistory::apply`].

use jasperhill_wire::{HostId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// What makes a job suspect: failures on this many hosts without a success, where one that has
/// served others lately counts double.
const PROOF: u32 = 3;
/// The first pause of a suspect job, and how often it doubles.
const PAUSE: Micros = Micros::from_secs(4);
const DOUBLINGS: u32 = 4;
/// A try that has run for so many times as long as those that failed, and a bit more, did not
/// fail for the same reason.
const OUTLIVES: u64 = 3;
const OUTLIVES_BY: Micros = Micros::from_secs(10);
/// Hosts remembered.
const HOSTS_MAX: usize = 256;

/// What a job's failures say of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureHistory {
    /// A task of it has completed: whatever fails now is not the job's fault.
    Proven,
    /// Nothing speaks against it yet.
    Clean,
    /// It has failed on these hosts, each with its weight, and succeeded nowhere since.
    Failing(BTreeMap<HostId, u32>),
    /// Its failures are its own. `level` counts the tries, the next one not before `next`;
    /// `ran` is the longest that a failed task had run. `hosts` are absolved of its failures
    /// for as long as it is suspect.
    BackingOff {
        /// How many tries have failed since it backs off.
        level: u32,
        /// The next try is not before this.
        next: Micros,
        /// The longest that a failed task had run.
        ran: Micros,
        /// Hosts that are excused for its failures.
        hosts: BTreeSet<HostId>,
    },
}

/// What changes the history.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A task failed there after running for so long. `serves`: the host has served others.
    Failed {
        /// Where it failed.
        host: &'a HostId,
        /// The host has served other jobs lately.
        serves: bool,
        /// How long it had run.
        ran: Micros,
    },
    /// A task has completed.
    Succeeded,
    /// A task has been running for so long.
    RunningFor(Micros),
}

impl FailureHistory {
    /// As a record says: so many tries that failed, or none.
    pub fn from_record(failing: u32, now: Micros) -> Self {
        match failing.checked_sub(1) {
            None => Self::Clean,
            // One try, so that little is repeated after a takeover.
            Some(level) => Self::BackingOff {
                level: level.min(DOUBLINGS),
                next: now + Self::pause(level),
                ran: Micros::ZERO,
                hosts: BTreeSet::new(),
            },
        }
    }

    /// What the record says.
    pub fn failed_attempts(&self) -> u32 {
        match self {
            Self::BackingOff { level, .. } => level + 1,
            _ => 0,
        }
    }

    /// Its failures are its own: it tries one task at a time, after growing pauses.
    pub fn is_backing_off(&self) -> bool {
        matches!(self, Self::BackingOff { .. })
    }

    /// It should not go there again.
    pub fn avoids(&self, host: &HostId) -> bool {
        matches!(self, Self::Failing(hosts) if hosts.contains_key(host))
    }

    /// There are hosts that it should not go to again.
    pub fn avoids_any(&self) -> bool {
        matches!(self, Self::Failing(_))
    }

    /// It may try now.
    pub fn may_retry(&self, now: Micros) -> bool {
        !matches!(self, Self::BackingOff { next, .. } if now < *next)
    }

    fn pause(level: u32) -> Micros {
        Micros(PAUSE.0 << level.min(DOUBLINGS))
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) {
        match (input, &mut *self) {
            (Input::Succeeded, _) => *self = Self::Proven,
            (Input::Failed { .. }, Self::Proven) => {}
            (Input::RunningFor(time), Self::BackingOff { ran, .. }) => {
                if time >= Micros(ran.0.saturating_mul(OUTLIVES)) + OUTLIVES_BY {
                    *self = Self::Clean;
                }
            }
            (Input::RunningFor(_), _) => {}
            (
                Input::Failed { ran, host, .. },
                Self::BackingOff {
                    level,
                    next,
                    ran: most,
                    hosts,
                },
            ) => {
                if hosts.len() < HOSTS_MAX {
                    hosts.insert(host.clone());
                }
                *most = (*most).max(ran);
                // What started before the pause fails after it began: one wave, one level.
                if now >= *next {
                    *level = (*level + 1).min(DOUBLINGS);
                    *next = now + Self::pause(*level);
                }
            }
            (Input::Failed { host, serves, ran }, Self::Clean | Self::Failing(_)) => {
                let mut hosts = match std::mem::replace(self, Self::Clean) {
                    Self::Failing(hosts) => hosts,
                    _ => BTreeMap::new(),
                };
                let weight = hosts.entry(host.clone()).or_default();
                *weight = (*weight).max(1 + u32::from(serves));
                *self = if hosts.values().sum::<u32>() >= PROOF {
                    Self::BackingOff {
                        level: 0,
                        next: now + Self::pause(0),
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
