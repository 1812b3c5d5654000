//! Whether every member is known to understand what this version writes. Until then nothing is
//! written that an earlier version could not take. Pure; every change goes through
//! [`FeatureGate::apply`], called when the sessions or feature levels in the watch cache change.

use crate::watch_cache::Versioned;
use jasperhill_wire::{
    Member,
    record::{FeatureLevelRecord, SessionRecord},
};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The cluster's feature level, while some members may run an earlier version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeatureGate {
    /// The watch cache is not complete: nothing can be said.
    #[default]
    Unknown,
    /// Every member's session, or its last one, has this level or a higher one; some have no more.
    AtLeast(u32),
}

/// What the store says of the members.
pub struct MemberVersions<'a> {
    /// Whether the watch cache is complete.
    pub synced: bool,
    /// All members.
    pub members: &'a [Member],
    /// The live sessions.
    pub sessions: &'a BTreeMap<Member, Versioned<SessionRecord>>,
    /// What the members' last processes have announced.
    pub levels: &'a BTreeMap<Member, Versioned<FeatureLevelRecord>>,
}

impl MemberVersions<'_> {
    /// A live session speaks for the process that runs; without one, the last that ran. An
    /// earlier version that came back has a session that names no level, which counts as 0.
    fn level_of(&self, member: &Member) -> u32 {
        let session = self.sessions.get(member).map(|entry| entry.value.format);
        let announced = || self.levels.get(member).map(|entry| entry.value.format);
        session.or_else(announced).unwrap_or(0)
    }
}

impl FeatureGate {
    /// The one function that changes it. Whether it has changed.
    pub fn apply(&mut self, versions: &MemberVersions<'_>) -> bool {
        let updated = if versions.synced {
            let levels = versions.members.iter().map(|m| versions.level_of(m));
            Self::AtLeast(levels.min().unwrap_or(0))
        } else {
            Self::Unknown
        };
        std::mem::replace(self, updated) != updated
    }

    /// Whether every member is known to understand what came with this level.
    pub fn supports(self, level: u32) -> bool {
        matches!(self, Self::AtLeast(least) if least >= level)
    }
}
