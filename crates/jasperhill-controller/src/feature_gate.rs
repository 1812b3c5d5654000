//! Whether every member is known to understand what this version writes. Until then nothing is
//! written that an earlier version could not take. Every change goes through [`FeatureGate::apply`].

use jasperhill_wire::{
    Member,
    record::{FeatureLevelRecord, SessionRecord},
};
use std::collections::BTreeMap;

use crate::watch_cache::Versioned;

/// Where the deployment stands between two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeatureGate {
    /// The watch cache is not whole: nothing can be said.
    #[default]
    Unknown,
    /// Every member's session, or its last one, understood this format; some no more than it.
    AtLeast(u32),
}

/// What the store says of the members.
pub struct MemberVersions<'a> {
    pub synced: bool,
    pub members: &'a [Member],
    pub sessions: &'a BTreeMap<Member, Versioned<SessionRecord>>,
    pub formats: &'a BTreeMap<Member, Versioned<FeatureLevelRecord>>,
}

impl FeatureGate {
    /// The one function that changes it. True if it has changed.
    pub fn apply(&mut self, seen: &MemberVersions<'_>) -> bool {
        // A live session speaks for the process that runs; without one, the last that ran. An
        // earlier version that came back has a session that says nothing, which counts as old.
        let understands = |m: &Member| {
            let session = seen.sessions.get(m).map(|k| k.value.format);
            let last = || seen.formats.get(m).map(|k| k.value.format);
            session.or_else(last).unwrap_or(0)
        };
        let to = if seen.synced {
            Self::AtLeast(seen.members.iter().map(understands).min().unwrap_or(0))
        } else {
            Self::Unknown
        };
        std::mem::replace(self, to) != to
    }

    /// Every member is known to understand what came with this format.
    pub fn supports(self, format: u32) -> bool {
        matches!(self, Self::AtLeast(least) if least >= format)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use jasperhill_wire::Revision;

    fn kept<T>(value: T) -> Versioned<T> {
        Versioned {
            value,
            version: Revision(1),
        }
    }

    /// Absent means old; a session of an earlier version outweighs what its member once knew.
    #[test]
    fn it_is_complete_only_while_every_member_is_known_to_be_new() {
        let members: Vec<Member> = ["a", "b"].map(Member::new).to_vec();
        let (mut sessions, mut formats) = (BTreeMap::new(), BTreeMap::new());
        let mut upgrade = FeatureGate::default();
        let session = |format| {
            kept(SessionRecord {
                lease: 1,
                format,
                process_started: jasperhill_wire::Micros::ZERO,
                quick_restarts: 0,
            })
        };
        let mut look = |sessions: &_, formats: &_, synced| {
            upgrade.apply(&MemberVersions {
                synced,
                members: &members,
                sessions,
                formats,
            });
            upgrade
        };
        assert_eq!(look(&sessions, &formats, false), FeatureGate::Unknown);
        sessions.insert("a".into(), session(1));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(0));
        sessions.insert("b".into(), session(0));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(0));
        sessions.insert("b".into(), session(1));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(1));
        // Its session ends: what it last was counts, if it said so.
        sessions.remove(&Member::new("b"));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(0));
        formats.insert("b".into(), kept(FeatureLevelRecord { format: 1 }));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(1));
        sessions.insert("b".into(), session(0));
        assert_eq!(look(&sessions, &formats, true), FeatureGate::AtLeast(0));
    }
}
