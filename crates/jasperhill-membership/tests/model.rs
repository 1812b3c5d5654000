//! Exhaustive model check of the ownership of one role among members whose links to the store fail
//! and recover.
//!
//! The model covers every order of reads, writes, delayed and lost writes, reports of relinquished
//! ownership, expired sessions and process restarts, up to a few changes of the role. A
//! breadth-first search (`pathfinding`) checks that two members never act with authority at the
//! same time, and that from every state that failures lead to, a member can act once the failures
//! are over. Each guard is shown to be necessary by a search without it.
//!
//! The model follows `control::roles` and `control::store`. Time is modelled only by one rule: a
//! session ends in the store no sooner than the authority of its member (`authority_ends_in_time`).

use pathfinding::prelude::{bfs, bfs_reach};
use std::collections::HashSet;

/// The number of members.
const MEMBERS: usize = 2;
/// The highest version of the role before failures end.
const VERSIONS_MAX: u8 = 3;
/// The most sessions that may begin before failures end (count).
const SESSIONS_MAX: u8 = 3;
/// The most writes in flight (count).
const WRITES_IN_FLIGHT_MAX: usize = 1;
/// One in this many reached states is checked for recovery.
const CHECKED_STATE_STRIDE: usize = 97;
/// The additional versions, and sessions, that are allowed once failures have ended (count).
const EXTRA_AFTER_HEALING: u8 = 3;

/// Returns the limit on versions or sessions, extended once failures have ended.
fn limit(base: u8, healed: bool) -> u8 {
    if healed {
        base + EXTRA_AFTER_HEALING
    } else {
        base
    }
}

/// The guard that a search leaves out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OmittedGuard {
    /// No guard is left out.
    Nothing,
    /// Left out: the owner stops acting before it reports that it has relinquished the role.
    StopBeforeReport,
    /// Left out: the owner stops acting before it writes the next owner.
    StopBeforeHandOver,
    /// Left out: a member remembers the version at which it has relinquished the role.
    RelinquishedMemory,
    /// Left out: a write is guarded by the version of the role on which it was decided.
    VersionGuard,
    /// Left out: a new session of the owner rewrites its roles, which gives them a new version.
    NewSessionVersion,
    /// Left out: the authority of a member ends before its session does.
    AuthorityMargin,
    /// Left out: a member owns only roles that name its current session.
    OwnSession,
}

/// The record of the role in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RoleRecord {
    owner: usize,
    lease: u8,
    version: u8,
}

/// A guarded write of the role's record that is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Write {
    /// The version of the role on which the write was decided.
    version: u8,
    /// A member and its session, which must be unchanged for the write to succeed.
    session: (usize, u8),
    /// The new owner and its session, which must exist for the write to succeed.
    to: (usize, u8),
}

/// The state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    /// Whether the link to the store is up.
    link_up: bool,
    /// The session that the member assumes to have; 0 for none.
    session: u8,
    /// Whether the member has authority.
    authority: bool,
    /// The role's record and the sessions in the member's watch cache; `None` before the first
    /// read.
    cached: Option<(RoleRecord, [u8; MEMBERS])>,
    /// The version of the role that the member acts on; 0 for none.
    acting_version: u8,
    /// The version at which the member has relinquished the role; 0 for none.
    relinquished_version: u8,
}

const RESTARTED_MEMBER: Member = Member {
    link_up: true,
    session: 0,
    authority: false,
    cached: None,
    acting_version: 0,
    relinquished_version: 0,
};

/// The state of the store, the members and the messages in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    role_record: RoleRecord,
    /// The session of each member in the store; 0 for none.
    sessions: [u8; MEMBERS],
    /// The number of sessions begun so far.
    sessions_begun: u8,
    members: [Member; MEMBERS],
    writes: Vec<Write>,
    /// Reports of relinquished ownership, by member and version. Every member may receive a report
    /// at any later time.
    relinquish_reports: Vec<(usize, u8)>,
}

impl ModelState {
    fn new() -> Self {
        let role_record = RoleRecord {
            owner: 0,
            lease: 1,
            version: 1,
        };
        let mut members = [RESTARTED_MEMBER, RESTARTED_MEMBER];
        for (i, m) in members.iter_mut().enumerate() {
            m.session = 1 + i as u8;
            m.authority = true;
        }
        Self {
            role_record,
            sessions: [1, 2],
            sessions_begun: 2,
            members,
            writes: Vec::new(),
            relinquish_reports: Vec::new(),
        }
    }

    /// Returns the number of members that act on the role with authority.
    fn acting_members(&self) -> usize {
        let is_acting = |m: &&Member| m.acting_version != 0 && m.authority;
        self.members.iter().filter(is_acting).count()
    }

    /// Returns a changed copy in canonical form: messages are sorted, so that equal states compare
    /// equal.
    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.writes.sort();
        next.relinquish_reports.sort();
        next.relinquish_reports.dedup();
        next
    }

    /// Applies a write that reaches the store, possibly late; without effect if a guard fails.
    fn apply(&mut self, write: &Write, healed: bool, omitted: OmittedGuard) {
        let version_matches =
            omitted == OmittedGuard::VersionGuard || write.version == self.role_record.version;
        let (of, session) = write.session;
        let new_owner_session_exists = self.sessions[write.to.0] == write.to.1;
        if version_matches
            && new_owner_session_exists
            && self.sessions[of] == session
            && self.role_record.version < limit(VERSIONS_MAX, healed)
        {
            self.role_record = RoleRecord {
                owner: write.to.0,
                lease: write.to.1,
                version: self.role_record.version + 1,
            };
        }
    }

    /// Adds all successor states by an event at one member. `healed`: whether failures have ended.
    fn steps_of(&self, i: usize, healed: bool, omitted: OmittedGuard, out: &mut Vec<Self>) {
        self.fault_steps(i, healed, out);
        if self.members[i].link_up {
            self.session_steps(i, healed, omitted, out);
        }
        self.role_steps(i, healed, omitted, out);
        if self.writes.len() < WRITES_IN_FLIGHT_MAX {
            self.write_steps(i, healed, omitted, out);
        }
    }

    /// Adds failures and recoveries of a member's link, process and authority.
    fn fault_steps(&self, i: usize, healed: bool, out: &mut Vec<Self>) {
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        if !healed {
            step(&|w| w.members[i].link_up = !w.members[i].link_up);
            // The process restarts and loses all its state.
            step(&|w| w.members[i] = RESTARTED_MEMBER);
            step(&|w| w.members[i].authority = false);
        } else if !self.members[i].link_up {
            step(&|w| w.members[i].link_up = true);
        }
    }

    /// Adds the actions of a member that use its link to the store: it reads the state, and its
    /// session begins, is renewed or is found to have ended.
    fn session_steps(&self, i: usize, healed: bool, omitted: OmittedGuard, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        step(&|w| w.members[i].cached = Some((w.role_record, w.sessions)));
        if m.session != 0 && self.sessions[i] == m.session {
            step(&|w| w.members[i].authority = true);
        } else if m.session != 0 {
            step(&|w| {
                let m = &mut w.members[i];
                (m.session, m.authority, m.acting_version) = (0, false, 0);
            });
        } else if self.sessions_begun < limit(SESSIONS_MAX, healed) {
            // One transaction begins the session and rewrites the member's own roles. A
            // crash-looping member leaves its roles to other members instead.
            let begin = |w: &mut Self, answered: bool, leaves_roles: bool| {
                w.sessions_begun += 1;
                w.sessions[i] = w.sessions_begun;
                if w.role_record.owner == i && !leaves_roles {
                    w.role_record.lease = w.sessions_begun;
                    if omitted != OmittedGuard::NewSessionVersion {
                        w.role_record.version += 1;
                    }
                }
                if answered {
                    (w.members[i].session, w.members[i].authority) = (w.sessions_begun, true);
                }
            };
            step(&|w| begin(w, true, false));
            step(&|w| begin(w, true, true));
            if !healed {
                step(&|w| begin(w, false, false));
            }
        }
    }

    /// Returns the version that a member remembers as relinquished when it relinquishes the role.
    fn remembered_version(&self, i: usize, omitted: OmittedGuard) -> u8 {
        if omitted == OmittedGuard::RelinquishedMemory {
            0
        } else {
            self.members[i].acting_version
        }
    }

    /// Adds the actions of a member on the role: it starts or stops acting, or relinquishes the
    /// role and reports so.
    fn role_steps(&self, i: usize, healed: bool, omitted: OmittedGuard, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let Some((role_record, _)) = m.cached else {
            return;
        };
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        let names_own_session =
            role_record.lease == m.session || omitted == OmittedGuard::OwnSession;
        let is_own_role = role_record.owner == i && names_own_session && m.session != 0;
        if is_own_role && m.relinquished_version != role_record.version {
            step(&|w| w.members[i].acting_version = role_record.version);
        }
        if m.acting_version != 0 && !(is_own_role && m.acting_version == role_record.version) {
            step(&|w| w.members[i].acting_version = 0);
        }
        let remembered_version = self.remembered_version(i, omitted);
        if m.acting_version != 0 && !m.link_up && !healed {
            step(&|w| {
                w.relinquish_reports.push((i, w.members[i].acting_version));
                w.members[i].relinquished_version = remembered_version;
                if omitted != OmittedGuard::StopBeforeReport {
                    w.members[i].acting_version = 0;
                }
            });
        }
    }

    /// Adds the writes of a member: it hands over the role it acts on, or takes over an orphaned
    /// role.
    fn write_steps(&self, i: usize, healed: bool, omitted: OmittedGuard, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let Some((role_record, sessions)) = m.cached else {
            return;
        };
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        let remembered_version = self.remembered_version(i, omitted);
        let write = |session, to| Write {
            version: role_record.version,
            session,
            to,
        };
        let j = 1 - i;
        if m.acting_version != 0
            && m.acting_version == role_record.version
            && sessions[j] != 0
            && !healed
        {
            step(&|w| {
                w.writes.push(write((j, sessions[j]), (j, sessions[j])));
                w.members[i].relinquished_version = remembered_version;
                if omitted != OmittedGuard::StopBeforeHandOver {
                    w.members[i].acting_version = 0;
                }
            });
        }
        if !m.authority || m.session == 0 || !m.link_up {
            return;
        }
        let me = (i, m.session);
        if role_record.owner == i {
            if m.relinquished_version == role_record.version || role_record.lease != m.session {
                step(&|w| w.writes.push(write(me, me)));
            }
        } else if sessions[j] != role_record.lease {
            step(&|w| w.writes.push(write((j, sessions[j]), me)));
        } else if self.relinquish_reports.contains(&(j, role_record.version)) {
            step(&|w| w.writes.push(write(me, me)));
        }
    }

    /// Returns all successor states.
    fn steps(&self, healed: bool, omitted: OmittedGuard) -> Vec<Self> {
        let mut out = Vec::new();
        for (n, write) in self.writes.iter().enumerate() {
            out.push(self.with(|w| {
                w.writes.remove(n);
                w.apply(write, healed, omitted);
            }));
            if !healed {
                out.push(self.with(|w| {
                    w.writes.remove(n);
                }));
            }
        }
        for i in 0..MEMBERS {
            let m = &self.members[i];
            let authority_over = !(m.session == self.sessions[i] && m.authority);
            if self.sessions[i] != 0 && (authority_over || omitted == OmittedGuard::AuthorityMargin)
            {
                let is_renewed = m.session == self.sessions[i] && m.link_up;
                // Once failures have ended, a session that is renewed does not end.
                if !(healed && is_renewed) {
                    out.push(self.with(|w| w.sessions[i] = 0));
                }
            }
            self.steps_of(i, healed, omitted, &mut out);
        }
        out.retain(|w| w != self);
        out
    }
}

fn path_to_two_acting_members(omitted: OmittedGuard) -> Option<Vec<ModelState>> {
    bfs(
        &ModelState::new(),
        |w| w.steps(false, omitted),
        |w| w.acting_members() > 1,
    )
}

/// Two members never act on the role with authority at the same time.
#[test]
fn two_members_never_act_at_same_time() {
    assert!(path_to_two_acting_members(OmittedGuard::Nothing).is_none());
}

/// Without any one of the guards, two members can act on the role at the same time.
#[test]
fn two_members_act_if_any_guard_is_omitted() {
    for (name, omitted) in [
        ("stop before the report", OmittedGuard::StopBeforeReport),
        (
            "stop before the hand-over",
            OmittedGuard::StopBeforeHandOver,
        ),
        (
            "memory of relinquished versions",
            OmittedGuard::RelinquishedMemory,
        ),
        ("version guard of writes", OmittedGuard::VersionGuard),
        (
            "new version with a new session",
            OmittedGuard::NewSessionVersion,
        ),
        (
            "safety margin of the authority",
            OmittedGuard::AuthorityMargin,
        ),
        ("own session in the role record", OmittedGuard::OwnSession),
    ] {
        let path = path_to_two_acting_members(omitted);
        assert!(path.is_some(), "not needed: {name}");
    }
}

/// Once failures have ended, a member can act again from every state that failures lead to: there
/// is no deadlock. Checks one in [`CHECKED_STATE_STRIDE`] of the reached states.
#[test]
fn a_member_can_act_once_failures_have_ended() {
    let mut recoverable: HashSet<ModelState> = HashSet::new();
    let mut states_reached = 0usize;
    for state in bfs_reach(ModelState::new(), |w| w.steps(false, OmittedGuard::Nothing)) {
        states_reached += 1;
        if !states_reached.is_multiple_of(CHECKED_STATE_STRIDE) {
            continue;
        }
        if recoverable.contains(&state) {
            continue;
        }
        let path = bfs(
            &state,
            |w| w.steps(true, OmittedGuard::Nothing),
            |w| w.acting_members() == 1 || recoverable.contains(w),
        );
        assert!(path.is_some(), "no member can act again: {state:?}");
        recoverable.extend(path.into_iter().flatten());
    }
    assert!(states_reached > 100_000, "{states_reached}");
    println!("{states_reached} states");
}
