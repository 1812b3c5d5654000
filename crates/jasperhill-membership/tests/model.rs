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
fn extended_limit(base: u8, healed: bool) -> u8 {
    if healed {
        base + EXTRA_AFTER_HEALING
    } else {
        base
    }
}

/// The guard that a search omits.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OmittedGuard {
    /// Omits no guard.
    Nothing,
    /// Omits the guard that the owner stops acting before it reports the role as relinquished.
    StopBeforeReport,
    /// Omits the guard that the owner stops acting before it writes the next owner.
    StopBeforeHandOver,
    /// Omits the guard that a member remembers the version at which it has relinquished the role.
    RelinquishedMemory,
    /// Omits the guard that a write succeeds only at the role's version on which it was decided.
    VersionGuard,
    /// Omits the guard that a new session of the owner rewrites its roles, which gives the roles a
    /// new version.
    NewSessionVersion,
    /// Omits the guard that the authority of a member ends before its session does.
    AuthorityMargin,
    /// Omits the guard that a member owns only roles that name its current session.
    OwnSession,
}

/// The record of the role in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RoleRecord {
    /// The index of the owner.
    owner: usize,
    /// The owner's session when the record was written.
    lease: u8,
    /// The version, which grows with each write.
    version: u8,
}

/// A guarded write of the role's record that is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Write {
    /// The version of the role on which the write was decided.
    version: u8,
    /// A member and its session, which must be unchanged for the write to succeed.
    guarded_session: (usize, u8),
    /// The new owner and its session, which must exist for the write to succeed.
    new_owner: (usize, u8),
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

/// A member whose process has just started.
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
    /// The role's record in the store.
    role_record: RoleRecord,
    /// The session of each member in the store; 0 for none.
    sessions: [u8; MEMBERS],
    /// The number of sessions begun so far.
    sessions_begun: u8,
    members: [Member; MEMBERS],
    /// Writes in flight.
    writes: Vec<Write>,
    /// Reports of relinquished ownership, by member and version. Every member may receive a report
    /// at any later time.
    relinquish_reports: Vec<(usize, u8)>,
}

impl ModelState {
    /// Returns the initial state: both members have sessions and authority, member 0 owns the role.
    fn new() -> Self {
        let role_record = RoleRecord {
            owner: 0,
            lease: 1,
            version: 1,
        };
        let mut members = [RESTARTED_MEMBER, RESTARTED_MEMBER];
        for (i, member) in members.iter_mut().enumerate() {
            member.session = 1 + i as u8;
            member.authority = true;
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
        let is_acting = |member: &&Member| member.acting_version != 0 && member.authority;
        self.members.iter().filter(is_acting).count()
    }

    /// Returns a changed copy in canonical form: messages are sorted, so that equal states compare
    /// equal.
    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
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
        let (guarded_member, session) = write.guarded_session;
        let new_owner_session_exists = self.sessions[write.new_owner.0] == write.new_owner.1;
        if version_matches
            && new_owner_session_exists
            && self.sessions[guarded_member] == session
            && self.role_record.version < extended_limit(VERSIONS_MAX, healed)
        {
            self.role_record = RoleRecord {
                owner: write.new_owner.0,
                lease: write.new_owner.1,
                version: self.role_record.version + 1,
            };
        }
    }

    /// Adds all successor states by an event at one member. `healed`: whether failures have ended.
    fn member_steps(
        &self,
        i: usize,
        healed: bool,
        omitted: OmittedGuard,
        successors: &mut Vec<Self>,
    ) {
        self.fault_steps(i, healed, successors);
        if self.members[i].link_up {
            self.session_steps(i, healed, omitted, successors);
        }
        self.role_steps(i, healed, omitted, successors);
        if self.writes.len() < WRITES_IN_FLIGHT_MAX {
            self.write_steps(i, healed, omitted, successors);
        }
    }

    /// Adds failures and recoveries of a member's link, process and authority.
    fn fault_steps(&self, i: usize, healed: bool, successors: &mut Vec<Self>) {
        let mut add_successor =
            |change: &dyn Fn(&mut Self)| successors.push(self.with_change(change));
        if !healed {
            add_successor(&|state| state.members[i].link_up = !state.members[i].link_up);
            // The process restarts and loses all its state.
            add_successor(&|state| state.members[i] = RESTARTED_MEMBER);
            add_successor(&|state| state.members[i].authority = false);
        } else if !self.members[i].link_up {
            add_successor(&|state| state.members[i].link_up = true);
        }
    }

    /// Adds the actions of a member that use its link to the store: it reads the state, and its
    /// session begins, is renewed or is found to have ended.
    fn session_steps(
        &self,
        i: usize,
        healed: bool,
        omitted: OmittedGuard,
        successors: &mut Vec<Self>,
    ) {
        let member = &self.members[i];
        let mut add_successor =
            |change: &dyn Fn(&mut Self)| successors.push(self.with_change(change));
        add_successor(&|state| state.members[i].cached = Some((state.role_record, state.sessions)));
        if member.session != 0 && self.sessions[i] == member.session {
            add_successor(&|state| state.members[i].authority = true);
        } else if member.session != 0 {
            add_successor(&|state| {
                let member = &mut state.members[i];
                (member.session, member.authority, member.acting_version) = (0, false, 0);
            });
        } else if self.sessions_begun < extended_limit(SESSIONS_MAX, healed) {
            // One transaction begins the session and rewrites the member's own roles. A
            // crash-looping member leaves its roles to other members instead.
            let begin_session = |state: &mut Self, response_received: bool, leaves_roles: bool| {
                state.sessions_begun += 1;
                state.sessions[i] = state.sessions_begun;
                if state.role_record.owner == i && !leaves_roles {
                    state.role_record.lease = state.sessions_begun;
                    if omitted != OmittedGuard::NewSessionVersion {
                        state.role_record.version += 1;
                    }
                }
                if response_received {
                    (state.members[i].session, state.members[i].authority) =
                        (state.sessions_begun, true);
                }
            };
            add_successor(&|state| begin_session(state, true, false));
            add_successor(&|state| begin_session(state, true, true));
            if !healed {
                add_successor(&|state| begin_session(state, false, false));
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
    fn role_steps(
        &self,
        i: usize,
        healed: bool,
        omitted: OmittedGuard,
        successors: &mut Vec<Self>,
    ) {
        let member = &self.members[i];
        let Some((role_record, _)) = member.cached else {
            return;
        };
        let mut add_successor =
            |change: &dyn Fn(&mut Self)| successors.push(self.with_change(change));
        let names_own_session =
            role_record.lease == member.session || omitted == OmittedGuard::OwnSession;
        let is_own_role = role_record.owner == i && names_own_session && member.session != 0;
        if is_own_role && member.relinquished_version != role_record.version {
            add_successor(&|state| state.members[i].acting_version = role_record.version);
        }
        if member.acting_version != 0
            && !(is_own_role && member.acting_version == role_record.version)
        {
            add_successor(&|state| state.members[i].acting_version = 0);
        }
        let remembered_version = self.remembered_version(i, omitted);
        if member.acting_version != 0 && !member.link_up && !healed {
            add_successor(&|state| {
                state
                    .relinquish_reports
                    .push((i, state.members[i].acting_version));
                state.members[i].relinquished_version = remembered_version;
                if omitted != OmittedGuard::StopBeforeReport {
                    state.members[i].acting_version = 0;
                }
            });
        }
    }

    /// Adds the writes of a member: it hands over the role it acts on, or takes over an orphaned
    /// role.
    fn write_steps(
        &self,
        i: usize,
        healed: bool,
        omitted: OmittedGuard,
        successors: &mut Vec<Self>,
    ) {
        let member = &self.members[i];
        let Some((role_record, sessions)) = member.cached else {
            return;
        };
        let mut add_successor =
            |change: &dyn Fn(&mut Self)| successors.push(self.with_change(change));
        let remembered_version = self.remembered_version(i, omitted);
        let write = |guarded_session, new_owner| Write {
            version: role_record.version,
            guarded_session,
            new_owner,
        };
        let other = 1 - i;
        if member.acting_version != 0
            && member.acting_version == role_record.version
            && sessions[other] != 0
            && !healed
        {
            add_successor(&|state| {
                state
                    .writes
                    .push(write((other, sessions[other]), (other, sessions[other])));
                state.members[i].relinquished_version = remembered_version;
                if omitted != OmittedGuard::StopBeforeHandOver {
                    state.members[i].acting_version = 0;
                }
            });
        }
        if !member.authority || member.session == 0 || !member.link_up {
            return;
        }
        let me = (i, member.session);
        if role_record.owner == i {
            if member.relinquished_version == role_record.version
                || role_record.lease != member.session
            {
                add_successor(&|state| state.writes.push(write(me, me)));
            }
        } else if sessions[other] != role_record.lease {
            add_successor(&|state| state.writes.push(write((other, sessions[other]), me)));
        } else if self
            .relinquish_reports
            .contains(&(other, role_record.version))
        {
            add_successor(&|state| state.writes.push(write(me, me)));
        }
    }

    /// Returns all successor states.
    fn steps(&self, healed: bool, omitted: OmittedGuard) -> Vec<Self> {
        let mut successors = Vec::new();
        for (write_index, write) in self.writes.iter().enumerate() {
            successors.push(self.with_change(|state| {
                state.writes.remove(write_index);
                state.apply(write, healed, omitted);
            }));
            if !healed {
                successors.push(self.with_change(|state| {
                    state.writes.remove(write_index);
                }));
            }
        }
        for i in 0..MEMBERS {
            let member = &self.members[i];
            let authority_ended = !(member.session == self.sessions[i] && member.authority);
            if self.sessions[i] != 0
                && (authority_ended || omitted == OmittedGuard::AuthorityMargin)
            {
                let is_renewed = member.session == self.sessions[i] && member.link_up;
                // Once failures have ended, a session that is renewed does not end.
                if !(healed && is_renewed) {
                    successors.push(self.with_change(|state| state.sessions[i] = 0));
                }
            }
            self.member_steps(i, healed, omitted, &mut successors);
        }
        successors.retain(|state| state != self);
        successors
    }
}

/// Returns the shortest path to a state in which two members act; `None` if there is none.
fn path_to_two_acting_members(omitted: OmittedGuard) -> Option<Vec<ModelState>> {
    bfs(
        &ModelState::new(),
        |state| state.steps(false, omitted),
        |state| state.acting_members() > 1,
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
    for (guard_name, omitted) in [
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
        assert!(path.is_some(), "not needed: {guard_name}");
    }
}

/// Once failures have ended, a member can act again from every state that failures lead to: there
/// is no deadlock. Checks one in [`CHECKED_STATE_STRIDE`] of the reached states.
#[test]
fn a_member_can_act_once_failures_have_ended() {
    let mut recoverable: HashSet<ModelState> = HashSet::new();
    let mut states_reached = 0usize;
    for state in bfs_reach(ModelState::new(), |state| {
        state.steps(false, OmittedGuard::Nothing)
    }) {
        states_reached += 1;
        if !states_reached.is_multiple_of(CHECKED_STATE_STRIDE) {
            continue;
        }
        if recoverable.contains(&state) {
            continue;
        }
        let path = bfs(
            &state,
            |state| state.steps(true, OmittedGuard::Nothing),
            |state| state.acting_members() == 1 || recoverable.contains(state),
        );
        assert!(path.is_some(), "no member can act again: {state:?}");
        recoverable.extend(path.into_iter().flatten());
    }
    assert!(states_reached > 100_000, "{states_reached}");
    println!("{states_reached} states");
}
