//! Who should hold which role: orphans that are to be taken, and roles that are to be handed to
//! another member. Owns what this controller has given up and what it is about to take. Every
//! change goes through [`Roles::apply`].
//!
//! Roles follow reach: first whether the state service answers, then how many of the role's hosts
//! are reached directly, then home, then load. What is not known speaks neither for a member nor
//! against the one who holds the role. None of this is a matter of safety: the store's guarded
//! writes decide, and a role taken by its owner's word is safe because the owner has stopped
//! acting at that revision for good before it says so.

use jasperhill_wire::{Member, Micros, Revision, mesh::LinkState, record::Role};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// A partition goes home only after its home has been back for so long.
const HOME_SETTLED: Micros = Micros::from_secs(4);
/// Another member must be better off for so long before a role moves.
const BETTER_FOR: Micros = Micros::from_millis(2_000);
/// A member of which nothing is known may be about to be heard, until this has passed.
const UNHEARD_FOR: Micros = Micros::from_secs(4);
/// Without the state service for so long, a role is relinquished if another member is answered.
const UNSERVED_FOR: Micros = Micros::from_millis(2_000);
/// An orphan is left for so long to those who reach more of its hosts.
const WORSE_OFF_DELAY: Micros = Micros::from_millis(600);
/// An orphan that was owned is left for so long to each member that comes before, so that not all
/// write at once.
const ORPHAN_DELAY_MS: u64 = 150;
/// A role that was never owned is left for so long to each member that comes before: their
/// processes may just be starting.
const UNOWNED_DELAY_S: u64 = 3;
/// One in so many of a role's hosts, and one at least, makes no difference.
const HOSTS_PER_MARGIN: u32 = 10;

/// How many of a role's hosts make no difference between members.
fn margin(hosts: u32) -> u32 {
    (hosts / HOSTS_PER_MARGIN).max(1)
}

/// What the store says of a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOwnership {
    /// The owner by the role's record.
    pub owner: Member,
    /// The owner's session when it was written.
    pub lease: u64,
    /// The revision of the role's record.
    pub version: Revision,
    /// That session is there.
    pub live: bool,
    /// Its owner says that it has stopped acting at this version.
    pub relinquished: bool,
}

/// How well a member could act on a role, as far as is known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eligibility {
    /// The state service answers it.
    pub state: LinkState,
    /// What the role needs beyond hosts: the cloud, for the leader.
    pub other_link: LinkState,
    /// How many of the role's hosts it reaches.
    pub reachable_hosts: u32,
    /// How many of the role's hosts it surely does not reach.
    pub unreachable_hosts: u32,
    /// The roles that it holds.
    pub load: u32,
}

impl Eligibility {
    /// Whether a role with so many hosts that is held by `self` is better off with `other`.
    fn is_worse_than(&self, other: &Eligibility, hosts: u32) -> bool {
        let reached_at_most = hosts - self.unreachable_hosts.min(hosts);
        let reaches_more = other.reachable_hosts > reached_at_most + margin(hosts)
            && other.other_link != LinkState::Down;
        let has_link = self.other_link == LinkState::Down && other.other_link == LinkState::Up;
        other.state == LinkState::Up && (reaches_more || has_link)
    }
}

/// What a decision rests on, as this controller sees it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// This controller's session.
    pub lease: u64,
    /// What the store says of roles; none of a role that was never owned.
    pub ownerships: BTreeMap<Role, RoleOwnership>,
    /// The roles that it acts on.
    pub held: BTreeSet<Role>,
    /// It has authority, so it may take what is free.
    pub may_acquire: bool,
    /// Every member understands roles that follow reach.
    pub reachability_enabled: bool,
    /// Members that have ended again and again and have not lived for long since.
    pub crash_looping: BTreeSet<Member>,
    /// How well the members could act on the roles.
    pub eligibility: BTreeMap<(Role, Member), Eligibility>,
    /// How many hosts each role has.
    pub hosts: BTreeMap<Role, u32>,
    /// No role moves twice within this time for the sake of reach.
    pub damping: Micros,
}

impl Snapshot {
    fn eligibility_of(&self, role: Role, member: &Member) -> Eligibility {
        let key = (role, member.clone());
        self.eligibility.get(&key).copied().unwrap_or_default()
    }

    fn hosts_of(&self, role: Role) -> u32 {
        self.hosts.get(&role).copied().unwrap_or(0)
    }
}

/// What changes the roles.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A member has a session with this lease, or has none.
    Session(&'a Member, Option<u64>),
    /// Acting on a role at this revision has ended for good.
    Relinquished(Role, Revision),
    /// A takeover or a hand-over is over, whatever became of it.
    TransitionOver(Role),
    /// Time to decide. Comes at regular intervals and after each change.
    Evaluate(&'a Snapshot),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It is this controller's: act on it.
    Hold(Role, Revision),
    /// It is not: stop acting on it.
    Release(Role),
    /// Nobody's: take it.
    Acquire(Role),
    /// Stop acting, then write this owner.
    HandOver {
        /// The role.
        role: Role,
        /// Its new owner.
        to: Member,
        /// Its hosts are not reached from here, so what is outstanding there can't be waited for;
        /// the next owner takes nothing for settled anyway.
        urgent: bool,
    },
    /// Stop acting, then say so: this controller can't write, and another member can.
    Relinquish(Role),
}

/// A member's session.
#[derive(Clone, Copy, Debug)]
struct LiveSession {
    lease: u64,
    /// Since when the member has had it.
    since: Micros,
}

/// The member that a role would go to.
#[derive(Clone, Debug)]
struct Candidate {
    member: Member,
    /// Since when it has been better off.
    since: Micros,
}

/// Who should hold which role. Owned by the controller's membership state, fed by its watch cache
/// and its loop over roles.
#[derive(Clone, Debug)]
pub struct Roles {
    me: Member,
    members: Vec<Member>,
    /// The number of partitions.
    size: u32,
    /// Ownerships given up on purpose, by the revision that is no longer acted on.
    given_up: BTreeMap<Role, Revision>,
    /// Roles with a takeover or a hand-over under way.
    in_transition: BTreeSet<Role>,
    /// Since when a role has been without an owner.
    orphaned: BTreeMap<Role, Micros>,
    /// The members' sessions.
    sessions: BTreeMap<Member, LiveSession>,
    /// Who owned a role when it was last evaluated.
    last_owner: BTreeMap<Role, Member>,
    /// When a role last went from one live owner to another.
    last_move: BTreeMap<Role, Micros>,
    /// Who is better off with a role of this controller.
    candidates: BTreeMap<Role, Candidate>,
    /// Since when nothing is known of a member.
    unknown: BTreeMap<Member, Micros>,
    /// Since when the state service has not answered this controller but another member.
    unserved: Option<Micros>,
}

impl Roles {
    /// `members` in the order that all agree on; this controller is one of them. `size`: the
    /// number of partitions.
    pub fn new(me: Member, members: Vec<Member>, size: u32) -> Self {
        Self {
            me,
            members,
            size,
            given_up: BTreeMap::new(),
            in_transition: BTreeSet::new(),
            orphaned: BTreeMap::new(),
            sessions: BTreeMap::new(),
            last_owner: BTreeMap::new(),
            last_move: BTreeMap::new(),
            candidates: BTreeMap::new(),
            unknown: BTreeMap::new(),
            unserved: None,
        }
    }

    /// The roles that this controller has stopped acting on, at which revisions.
    pub fn relinquished(&self) -> impl Iterator<Item = (Role, Revision)> + '_ {
        self.given_up
            .iter()
            .map(|(role, version)| (*role, *version))
    }

    /// The controller that a role falls to by default.
    pub fn home(&self, role: Role) -> &Member {
        let n = match role {
            Role::Partition(p) => p as usize % self.members.len(),
            Role::Leader => 0,
        };
        &self.members[n]
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Transition> {
        match input {
            // Guards against roles that go home to a process which has just begun anew, again and
            // again: it has been there for as long as its newest session.
            Input::Session(member, Some(lease)) => {
                let known = self.sessions.get(member);
                if known.is_none_or(|session| session.lease != lease) {
                    let session = LiveSession { lease, since: now };
                    self.sessions.insert(member.clone(), session);
                }
            }
            Input::Session(member, None) => {
                self.sessions.remove(member);
            }
            Input::Relinquished(role, version) => {
                self.given_up.insert(role, version);
            }
            Input::TransitionOver(role) => {
                self.in_transition.remove(&role);
            }
            Input::Evaluate(snapshot) => return self.evaluate(snapshot, now),
        }
        Vec::new()
    }

    fn evaluate(&mut self, snapshot: &Snapshot, now: Micros) -> Vec<Transition> {
        self.note_moves(snapshot, now);
        self.note_unknown(snapshot, now);
        let relinquish = self.should_relinquish(snapshot, now);
        let mut transitions = Vec::new();
        let partitions = (0..self.size).map(Role::Partition);
        for role in partitions.chain([Role::Leader]) {
            let ownership = snapshot.ownerships.get(&role);
            let mine = ownership.filter(|o| o.owner == self.me && o.lease == snapshot.lease);
            match mine {
                Some(mine) if self.given_up.get(&role) != Some(&mine.version) => {
                    self.orphaned.remove(&role);
                    transitions.push(Transition::Hold(role, mine.version));
                    if snapshot.held.contains(&role) {
                        transitions.extend(self.leave(role, relinquish, snapshot, now));
                    }
                }
                _ => {
                    self.candidates.remove(&role);
                    transitions.push(Transition::Release(role));
                    let owned_elsewhere =
                        mine.is_none() && ownership.is_some_and(|o| o.live && !o.relinquished);
                    if owned_elsewhere {
                        self.orphaned.remove(&role);
                    } else {
                        transitions.extend(self.acquire(role, snapshot, now));
                    }
                }
            }
        }
        transitions
    }

    /// How a role that this controller acts on goes elsewhere, if it should.
    fn leave(
        &mut self,
        role: Role,
        relinquish: bool,
        snapshot: &Snapshot,
        now: Micros,
    ) -> Option<Transition> {
        if relinquish {
            return Some(Transition::Relinquish(role));
        }
        let hand_over = self.hand_over(role, snapshot, now)?;
        let begins = self.in_transition.insert(role);
        begins.then_some(hand_over)
    }

    /// The takeover of an orphan, once those who come before have had their time.
    fn acquire(&mut self, role: Role, snapshot: &Snapshot, now: Micros) -> Option<Transition> {
        let own_store_link = snapshot.eligibility_of(role, &self.me).state;
        // Guards against a write that is executed without an answer: the word that was given
        // names a version, and would be worth nothing once the store shows another.
        if snapshot.reachability_enabled && own_store_link == LinkState::Down {
            return None;
        }
        // Guards against a role that one takes who ends again before it can serve it.
        if self.defers_to_others(snapshot) {
            return None;
        }
        let since = *self.orphaned.entry(role).or_insert(now);
        let due = now - since >= self.takeover_delay(role, snapshot) && snapshot.may_acquire;
        (due && self.in_transition.insert(role)).then_some(Transition::Acquire(role))
    }

    /// This controller leaves roles to the others, since some of them live on and it does not.
    fn defers_to_others(&self, snapshot: &Snapshot) -> bool {
        let lives_on =
            |m: &Member| !snapshot.crash_looping.contains(m) && self.sessions.contains_key(m);
        snapshot.crash_looping.contains(&self.me) && self.members.iter().any(lives_on)
    }

    /// Notes when a role goes from one owner to another whose session goes on.
    fn note_moves(&mut self, snapshot: &Snapshot, now: Micros) {
        for (role, ownership) in &snapshot.ownerships {
            let owner = &ownership.owner;
            let last = self.last_owner.insert(*role, owner.clone());
            let from = last.filter(|from| from != owner);
            if from.is_some_and(|from| self.sessions.contains_key(&from)) {
                self.last_move.insert(*role, now);
            }
        }
    }

    /// Notes since when nothing is known of a member's links.
    fn note_unknown(&mut self, snapshot: &Snapshot, now: Micros) {
        for member in &self.members {
            let store_link = snapshot.eligibility_of(Role::Leader, member).state;
            if store_link == LinkState::Unknown {
                self.unknown.entry(member.clone()).or_insert(now);
            } else {
                self.unknown.remove(member);
            }
        }
    }

    /// This controller can't write and another member with a session can, for a while already.
    fn should_relinquish(&mut self, snapshot: &Snapshot, now: Micros) -> bool {
        let store_link = |m: &Member| snapshot.eligibility_of(Role::Leader, m).state;
        let is_served = |m: &Member| {
            *m != self.me && self.sessions.contains_key(m) && store_link(m) == LinkState::Up
        };
        let unserved = snapshot.reachability_enabled
            && store_link(&self.me) == LinkState::Down
            && self.members.iter().any(is_served);
        if !unserved {
            self.unserved = None;
            return false;
        }
        now - *self.unserved.get_or_insert(now) >= UNSERVED_FOR
    }

    /// How long an orphan is left to those who come before.
    fn takeover_delay(&self, role: Role, snapshot: &Snapshot) -> Micros {
        let n = self.members.len();
        let index = |m: &Member| self.members.iter().position(|x| x == m).unwrap_or(0);
        let rank = ((index(&self.me) + n - index(self.home(role))) % n) as u64;
        if !snapshot.ownerships.contains_key(&role) {
            return Micros::from_secs(UNOWNED_DELAY_S * rank);
        }
        // The least loaded survivor first, after those who reach more.
        let is_partition = |r: &&Role| matches!(r, Role::Partition(_));
        let load = snapshot.held.iter().filter(is_partition).count() as u64;
        let delay = Micros::from_millis(ORPHAN_DELAY_MS * (rank + load));
        if self.better_member(role, snapshot).is_some() {
            delay + WORSE_OFF_DELAY
        } else {
            delay
        }
    }

    /// The member with a session that is best off with a role, if this controller is worse off.
    fn better_member(&self, role: Role, snapshot: &Snapshot) -> Option<Member> {
        let mine = snapshot.eligibility_of(role, &self.me);
        let hosts = snapshot.hosts_of(role);
        let is_better = |m: &&Member| {
            snapshot.reachability_enabled
                && !snapshot.crash_looping.contains(*m)
                && **m != self.me
                && self.sessions.contains_key(*m)
                && mine.is_worse_than(&snapshot.eligibility_of(role, m), hosts)
        };
        let home = self.home(role);
        let best = self.members.iter().filter(is_better).max_by_key(|m| {
            let eligibility = snapshot.eligibility_of(role, m);
            (
                eligibility.reachable_hosts,
                *m == home,
                Reverse(eligibility.load),
            )
        });
        best.or_else(|| self.unheard_member(role, snapshot))
            .cloned()
    }

    /// Where this controller reaches none of a role's hosts, a member with a session of which
    /// nothing is known can't be worse off. Guards against partitions that stay with an owner
    /// without workers while controllers don't hear one another.
    fn unheard_member(&self, role: Role, snapshot: &Snapshot) -> Option<&Member> {
        let mine = snapshot.eligibility_of(role, &self.me);
        let hosts = snapshot.hosts_of(role);
        let cut_off = snapshot.reachability_enabled && hosts > 0 && mine.unreachable_hosts >= hosts;
        if !cut_off {
            return None;
        }
        let is_unheard = |m: &&Member| {
            **m != self.me
                && self.sessions.contains_key(*m)
                && snapshot.eligibility_of(role, m).state == LinkState::Unknown
        };
        let load = |m: &&Member| snapshot.eligibility_of(role, m).load;
        self.members.iter().filter(is_unheard).min_by_key(load)
    }

    /// The hand-over of a role to who should hold it instead of this controller: whoever reaches
    /// clearly more, or for a partition its home once that is back and no worse off.
    fn hand_over(&mut self, role: Role, snapshot: &Snapshot, now: Micros) -> Option<Transition> {
        let moved = self.last_move.get(&role);
        let damped =
            snapshot.reachability_enabled && moved.is_some_and(|at| now - *at < snapshot.damping);
        if let Some(to) = self.better_member(role, snapshot) {
            let due = self.is_candidate_due(role, &to, now) && !damped;
            let urgent = true;
            return due.then_some(Transition::HandOver { role, to, urgent });
        }
        self.candidates.remove(&role);
        let goes_home = !damped && self.may_go_home(role, snapshot, now);
        goes_home.then(|| Transition::HandOver {
            role,
            to: self.home(role).clone(),
            urgent: false,
        })
    }

    /// Whether a member has been better off with a role for long enough.
    fn is_candidate_due(&mut self, role: Role, member: &Member, now: Micros) -> bool {
        let new = || Candidate {
            member: member.clone(),
            since: now,
        };
        let candidate = self.candidates.entry(role).or_insert_with(new);
        if candidate.member != *member {
            *candidate = new();
        }
        let unknown_since = self.unknown.get(member);
        // Guards against roles that go back and forth with a link that flaps. A member that has
        // not been heard for long already is not about to be.
        now - candidate.since >= BETTER_FOR
            && unknown_since.is_none_or(|at| now - *at >= UNHEARD_FOR)
    }

    /// Whether a role of this controller may go home. Guards against a role that goes home to
    /// one who is worse off, or has ended and whose session has not.
    fn may_go_home(&self, role: Role, snapshot: &Snapshot, now: Micros) -> bool {
        let home = self.home(role);
        let session = self.sessions.get(home);
        let settled = session.is_some_and(|session| now - session.since > HOME_SETTLED);
        let is_partition = matches!(role, Role::Partition(_));
        if !is_partition || *home == self.me || !settled || snapshot.crash_looping.contains(home) {
            return false;
        }
        let there = snapshot.eligibility_of(role, home);
        let worse = there.state != LinkState::Up
            || there.unreachable_hosts > margin(snapshot.hosts_of(role));
        !snapshot.reachability_enabled || !worse
    }
}

#[cfg(test)]
mod tests;
