//! What production has lost and may be losing. Owns the count of it, from the loss until every
//! replica runs again, and the room that is kept for replicas on hosts that have gone silent:
//! these may not start elsewhere before the lease has lapsed, and what starts on the free room
//! meanwhile would stand in their way.

use jasperhill_wire::{HostId, Micros, Resources, TaskId};
use std::collections::BTreeSet;

/// How production stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recovery {
    /// Every replica that ran runs.
    #[default]
    Complete,
    /// Some replicas are lost, since a moment. `overtaken`: replicas that found no room while
    /// lesser work that started meanwhile was where they could have been.
    Incomplete {
        /// When the first was lost.
        since: Micros,
        /// How many were lost.
        lost: u32,
        /// How many found no room because of lesser work started since.
        overtaken: u32,
    },
}

/// What changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// What runs is not known.
    TakenOver,
    /// A replica is gone that nobody stopped.
    Lost,
    /// A replica found no room because of lesser work that started meanwhile.
    Overtaken,
    /// So many replicas that ran are not running.
    Missing(u32),
}

/// Production is whole again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovered {
    /// Since the first loss.
    pub after: Micros,
    /// Replicas that were lost.
    pub lost: u32,
    /// Replicas that found no room because of lesser work started since.
    pub overtaken: u32,
}

impl Recovery {
    /// The one function that changes it.
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

    /// Some replica that ran is not running.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, Self::Incomplete { .. })
    }
}

/// Room on a host that is kept for a replica that may be lost.
#[derive(Clone, Debug)]
pub(crate) struct ReservedCapacity {
    /// Where.
    pub host: HostId,
    /// How much.
    pub each: Resources,
}

/// What is kept, and what waits.
#[derive(Debug, Default)]
pub(crate) struct ReplicaRecovery {
    /// Capacity that lesser work does not get.
    pub reserved: Vec<ReservedCapacity>,
    /// When the choice is made anew.
    pub until: Micros,
    /// Replicas that have found no room because of lesser work started since.
    pub overtaken: BTreeSet<TaskId>,
}

#[cfg(test)]
mod tests;
