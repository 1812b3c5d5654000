//! Recovery of lost production replicas.
//!
//! [`Recovery`] counts lost replicas from the first loss until every replica runs again.
//! `ReplicaRecovery` holds the capacity reserved for replicas on hosts that have stopped sending
//! heartbeats. These replicas may not start elsewhere before the host's lease has expired, and
//! lower-priority work that started on the free capacity in the meantime would block them.

use jasperhill_wire::{HostId, Micros, Resources, TaskId};
use std::collections::BTreeSet;

/// Whether all production replicas are running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recovery {
    /// Every replica that has been running is running.
    #[default]
    Complete,
    /// At least one replica that has been running is not running.
    Incomplete {
        /// Time of the first loss.
        since: Micros,
        /// Number of replicas lost.
        lost: u32,
        /// Number of replicas that did not fit because lower-priority work started after the loss
        /// occupied the capacity.
        overtaken: u32,
    },
}

/// Event that changes the recovery state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The partition was taken over, and it is not known which replicas are running.
    TakenOver,
    /// A replica ended without having been stopped.
    Lost,
    /// A replica did not fit because of lower-priority work that started after the loss.
    Overtaken,
    /// This number of replicas that have been running are not running.
    Missing(u32),
}

/// Summary of a completed recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Time from the first loss to the recovery.
    pub after: Micros,
    /// Number of replicas lost.
    pub lost: u32,
    /// Number of replicas that did not fit because of lower-priority work started after the loss.
    pub overtaken: u32,
}

impl Recovery {
    /// Applies an event; nothing else changes the state. Returns a summary when the recovery
    /// completes.
    pub fn apply(&mut self, input: Input, now: Micros) -> Option<Recovered> {
        match (&mut *self, input) {
            (Self::Complete, Input::TakenOver | Input::Lost) => {
                *self = Self::Incomplete {
                    since: now,
                    lost: u32::from(input == Input::Lost),
                    overtaken: 0,
                };
            }
            (Self::Incomplete { lost, .. }, Input::Lost) => *lost = lost.saturating_add(1),
            (Self::Incomplete { overtaken, .. }, Input::Overtaken) => {
                *overtaken = overtaken.saturating_add(1);
            }
            (
                Self::Incomplete {
                    since,
                    lost,
                    overtaken,
                },
                Input::Missing(0),
            ) => {
                let recovered = Recovered {
                    after: now - *since,
                    lost: *lost,
                    overtaken: *overtaken,
                };
                *self = Self::Complete;
                return Some(recovered);
            }
            (Self::Incomplete { .. }, Input::TakenOver | Input::Missing(_))
            | (Self::Complete, Input::Overtaken | Input::Missing(_)) => {}
        }
        None
    }

    /// Returns whether a replica that has been running is not running.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, Self::Incomplete { .. })
    }
}

/// Capacity of a host reserved for a replica that may be lost.
#[derive(Clone, Debug)]
pub(crate) struct ReservedCapacity {
    /// Host on which the capacity is reserved.
    pub host: HostId,
    /// Resources of the replica.
    pub resources: Resources,
}

/// Reserved capacity and blocked replicas of a partition.
#[derive(Debug, Default)]
pub(crate) struct ReplicaRecovery {
    /// Capacity that lower-priority work may not use.
    pub reserved: Vec<ReservedCapacity>,
    /// Time at which the reserved capacity is chosen again.
    pub until: Micros,
    /// Replicas that did not fit because of lower-priority work started after the loss.
    pub overtaken: BTreeSet<TaskId>,
}

#[cfg(test)]
mod tests;
