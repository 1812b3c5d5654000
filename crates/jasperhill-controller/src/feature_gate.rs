//! Feature gate for rolling upgrades. Tracks the feature level that all members are known to
//! support, so that no data is written that an earlier version could not read. Performs no I/O;
//! every change goes through [`FeatureGate::apply`], which is called when the sessions or feature
//! levels in the watch cache change.

use crate::watch_cache::Versioned;
use jasperhill_wire::{
    Member,
    record::{FeatureLevelRecord, SessionRecord},
};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Feature level that all members of the cluster support, some of which may run an earlier version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeatureGate {
    /// The level cannot be determined because the watch cache is not complete.
    #[default]
    Unknown,
    /// Lowest feature level of all members. The level of a member is that of its live session or,
    /// without one, the level it announced last.
    AtLeast(u32),
}

/// Member records from which the feature gate is computed.
pub struct MemberFeatureLevels<'a> {
    /// Whether the watch cache contains all records of the store.
    pub is_synced: bool,
    /// All members of the cluster.
    pub members: &'a [Member],
    /// Live sessions by member.
    pub sessions: &'a BTreeMap<Member, Versioned<SessionRecord>>,
    /// Feature levels announced by the last process of each member.
    pub levels: &'a BTreeMap<Member, Versioned<FeatureLevelRecord>>,
}

impl MemberFeatureLevels<'_> {
    /// Returns the feature level of a member. A live session describes the running process; without
    /// one, the level announced by the last process counts. A member that was downgraded to an
    /// earlier version has a session without a level, which counts as level 0.
    fn level_of(&self, member: &Member) -> u32 {
        let session = self.sessions.get(member).map(|entry| entry.value.format);
        let announced = || self.levels.get(member).map(|entry| entry.value.format);
        session.or_else(announced).unwrap_or(0)
    }
}

impl FeatureGate {
    /// Recomputes the feature level and returns whether it has changed. This is the only function
    /// that changes the gate.
    pub fn apply(&mut self, versions: &MemberFeatureLevels<'_>) -> bool {
        let new_gate = if versions.is_synced {
            let levels = versions
                .members
                .iter()
                .map(|member| versions.level_of(member));
            Self::AtLeast(levels.min().unwrap_or(0))
        } else {
            Self::Unknown
        };
        std::mem::replace(self, new_gate) != new_gate
    }

    /// Returns whether every member is known to support this feature level.
    pub fn supports(self, level: u32) -> bool {
        matches!(self, Self::AtLeast(lowest) if lowest >= level)
    }
}
