//! Who should hold which role: orphans that are to be taken, and roles that are to be handed to
//! somebody else. Owns what this controller has given up and what it is about to take. Every
//! change goes through [`Roles::apply`].
//!
//! Roles follow reach: first whether the state service answers, then how many of the role's hosts
//! are reached directly, then home, then load. What is not known speaks neither for a member nor
//! against the one who holds the role. None of this is a matter of safety: the store's guarded
//! writes decide, and a role taken by its owner's word is safe because the owner has stopped
//! acting at that revision for good before it says so.

use jasperhill_wire::{Member, Micros, Revision, mesh::LinkState, record::Role};
use std::collections::{BTreeMap, BTreeSet};

/// An owner's home goes home only after it has been back for so long.
const SETTLED: Micros = Micros::from_secs(4);

/// Somebody else must be better off for so long before a role moves.
const BETTER_FOR: Micros = Micros::from_millis(2_000);
/// One that is not heard may be about to be.
const UNHEARD_FOR: Micros = Micros::from_secs(4);
/// Without the state service for so long, a role is let go if somebody else is answered.
const UNSERVED_FOR: Micros = Micros::from_millis(2_000);
/// An orphan is left for so long to those who reach more of its hosts.
const WORSE_OFF: Micros = Micros::from_millis(600);

/// What the store says of a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOwnership {
    pub owner: Member,
    /// The owner's session when it was written.
    pub lease: u64,
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
    /// How many of the role's hosts it reaches, and surely does not reach.
    pub reachable_hosts: u32,
    pub unreachable_hosts: u32,
    /// The roles that it holds.
    pub load: u32,
}

impl Eligibility {
    /// Whether a role held by `self` is better off with `other`.
    fn is_worse_than(&self, other: &Eligibility, of: u32) -> bool {
        let margin = (of / 10).max(1);
        other.state == LinkState::Up
            && ((other.reachable_hosts > (of - self.unreachable_hosts.min(of)) + margin
                && other.other_link != LinkState::Down)
                || (self.other_link == LinkState::Down && other.other_link == LinkState::Up))
    }
}

/// What this controller sees when it looks around.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// This controller's session.
    pub lease: u64,
    pub ownerships: BTreeMap<Role, RoleOwnership>,
    /// The roles that it acts on.
    pub held: BTreeSet<Role>,
    /// It has authority, so it may take what is free.
    pub may_acquire: bool,
    /// Every member understands roles that follow reach.
    pub reachability_enabled: bool,
    /// Members that have ended again and again and have not lived for long since.
    pub crash_looping: BTreeSet<Member>,
    /// How fit the members are for the roles, and how many hosts each role has.
    pub eligibility: BTreeMap<(Role, Member), Eligibility>,
    pub hosts: BTreeMap<Role, u32>,
    /// No role moves twice within this time for the sake of reach.
    pub damping: Micros,
}

impl Snapshot {
    fn fit(&self, role: Role, member: &Member) -> Eligibility {
        let key = (role, member.clone());
        self.eligibility.get(&key).copied().unwrap_or_default()
    }
    fn of(&self, role: Role) -> u32 {
        self.hosts.get(&role).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A member has a session with this lease, or has none.
    Session(&'a Member, Option<u64>),
    /// Acting on a role at this revision has ended for good.
    Relinquished(Role, Revision),
    /// What a step began is over, whatever became of it.
    TransitionOver(Role),
    /// Time to look around.
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
    /// `urgent`: its hosts are not reached from here, so what is outstanding there can't be
    /// waited for; the next owner takes nothing for settled anyway.
    HandOver {
        role: Role,
        to: Member,
        urgent: bool,
    },
    /// Stop acting, then say so: this controller can't write, and somebody else can.
    Relinquish(Role),
}

#[derive(Clone, Debug)]
pub struct Roles {
    me: Member,
    members: Vec<Member>,
    size: u32,
    /// Ownerships given up on purpose, by the revision that is no longer acted on.
    given_up: BTreeMap<Role, Revision>,
    /// Roles with a takeover or a hand-over under way.
    moving: BTreeSet<Role>,
    /// Since when a role has been without an owner.
    orphaned: BTreeMap<Role, Micros>,
    /// A member's session, and since when it has had it.
    alive: BTreeMap<Member, (u64, Micros)>,
    /// Who owned a role when it was last looked at, and when it last went from one live owner to
    /// another.
    seen: BTreeMap<Role, (Member, u64)>,
    moved: BTreeMap<Role, Micros>,
    /// Since when somebody else is better off with a role of this controller, and who.
    wished: BTreeMap<Role, (Member, Micros)>,
    /// Since when nothing is known of a member.
    unknown: BTreeMap<Member, Micros>,
    /// Since when the state service has not answered this controller but somebody else.
    unserved: Option<Micros>,
}

impl Roles {
    /// `members` in the order that all agree on; this controller is one of them.
    pub fn new(me: Member, members: Vec<Member>, size: u32) -> Self {
        Self {
            me,
            members,
            size,
            given_up: BTreeMap::new(),
            moving: BTreeSet::new(),
            orphaned: BTreeMap::new(),
            alive: BTreeMap::new(),
            seen: BTreeMap::new(),
            moved: BTreeMap::new(),
            wished: BTreeMap::new(),
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
                let was = self.alive.get(member);
                if was.is_none_or(|(l, _)| *l != lease) {
                    self.alive.insert(member.clone(), (lease, now));
                }
            }
            Input::Session(member, None) => {
                self.alive.remove(member);
            }
            Input::Relinquished(role, version) => {
                self.given_up.insert(role, version);
            }
            Input::TransitionOver(role) => {
                self.moving.remove(&role);
            }
            Input::Evaluate(facts) => return self.look(facts, now),
        }
        Vec::new()
    }

    fn look(&mut self, facts: &Snapshot, now: Micros) -> Vec<Transition> {
        let mut steps = Vec::new();
        let roles = (0..self.size)
            .map(Role::Partition)
            .chain([Role::Leader])
            .collect::<Vec<_>>();
        self.note_moves(facts, now);
        self.note_unknown(facts, now);
        let lets_go = self.lets_go(facts, now);
        for role in roles {
            let seat = facts.ownerships.get(&role);
            let mine = seat.is_some_and(|s| s.owner == self.me && s.lease == facts.lease);
            let version = seat.map(|s| s.version);
            if mine && self.given_up.get(&role) != version.as_ref() {
                self.orphaned.remove(&role);
                steps.extend(version.map(|v| Transition::Hold(role, v)));
                if !facts.held.contains(&role) {
                    continue;
                }
                if lets_go {
                    steps.push(Transition::Relinquish(role));
                } else if let Some((to, urgent)) = self.better(role, facts, now)
                    && self.moving.insert(role)
                {
                    steps.push(Transition::HandOver { role, to, urgent });
                }
                continue;
            }
            self.wished.remove(&role);
            steps.push(Transition::Release(role));
            if !mine && seat.is_some_and(|s| s.live && !s.relinquished) {
                self.orphaned.remove(&role);
                continue;
            }
            // Guards against a write that is executed without an answer: the word that was given
            // names a version, and would be worth nothing once the store shows another.
            if facts.reachability_enabled && facts.fit(role, &self.me).state == LinkState::Down {
                continue;
            }
            // Guards against a role that one takes who ends again before it can serve it.
            if self.leaves(facts) {
                continue;
            }
            let since = *self.orphaned.entry(role).or_insert(now);
            if now - since >= self.patience(role, seat.is_some(), facts)
                && facts.may_acquire
                && self.moving.insert(role)
            {
                steps.push(Transition::Acquire(role));
            }
        }
        steps
    }

    /// This controller leaves roles to the others, since some of them live on and it does not.
    fn leaves(&self, facts: &Snapshot) -> bool {
        let steady = |m: &&Member| !facts.crash_looping.contains(*m) && self.alive.contains_key(*m);
        facts.crash_looping.contains(&self.me) && self.members.iter().any(|m| steady(&m))
    }

    /// Notes when a role goes from one owner to another whose session goes on.
    fn note_moves(&mut self, facts: &Snapshot, now: Micros) {
        for (role, seat) in &facts.ownerships {
            let (owner, lease) = (&seat.owner, seat.lease);
            let last = self.seen.insert(*role, (owner.clone(), lease));
            let from = last.filter(|(from, _)| from != owner);
            if from.is_some_and(|(from, _)| self.alive.contains_key(&from)) {
                self.moved.insert(*role, now);
            }
        }
    }

    /// Notes since when nothing is known of how a member stands.
    fn note_unknown(&mut self, facts: &Snapshot, now: Micros) {
        for member in &self.members {
            if facts.fit(Role::Leader, member).state == LinkState::Unknown {
                self.unknown.entry(member.clone()).or_insert(now);
            } else {
                self.unknown.remove(member);
            }
        }
    }

    /// This controller can't write and somebody else with a session can, for a while already.
    fn lets_go(&mut self, facts: &Snapshot, now: Micros) -> bool {
        let served = |m: &Member| facts.fit(Role::Leader, m).state;
        let others = || self.members.iter().filter(|m| **m != self.me);
        let unserved = facts.reachability_enabled
            && served(&self.me) == LinkState::Down
            && others().any(|m| self.alive.contains_key(m) && served(m) == LinkState::Up);
        if !unserved {
            self.unserved = None;
            return false;
        }
        now - *self.unserved.get_or_insert(now) >= UNSERVED_FOR
    }

    /// How long an orphan is left to those who come before.
    fn patience(&self, role: Role, was_owned: bool, facts: &Snapshot) -> Micros {
        let n = self.members.len();
        let place = |m: &Member| self.members.iter().position(|x| x == m).unwrap_or(0);
        let mut rank = ((place(&self.me) + n - place(self.home(role))) % n) as u64;
        if was_owned {
            // The least loaded survivor first, after those who reach more.
            let partition = |r: &&Role| matches!(r, Role::Partition(_));
            rank += facts.held.iter().filter(partition).count() as u64;
            let wait = Micros::from_millis(150 * rank);
            if self.fitter(role, facts).is_some() {
                wait + WORSE_OFF
            } else {
                wait
            }
        } else {
            Micros::from_secs(3 * rank)
        }
    }

    /// The member with a session that is best off with a role, if this controller is worse off.
    fn fitter(&self, role: Role, facts: &Snapshot) -> Option<Member> {
        let mine = facts.fit(role, &self.me);
        let of = facts.of(role);
        let fitter = |m: &&Member| {
            facts.reachability_enabled
                && !facts.crash_looping.contains(*m)
                && **m != self.me
                && self.alive.contains_key(*m)
                && mine.is_worse_than(&facts.fit(role, m), of)
        };
        let home = self.home(role);
        let best = self.members.iter().filter(fitter).max_by_key(|m| {
            let fit = facts.fit(role, m);
            (fit.reachable_hosts, *m == home, std::cmp::Reverse(fit.load))
        });
        best.or_else(|| self.unheard(role, facts)).cloned()
    }

    /// Where this controller reaches none of a role's hosts, one with a session that is not heard
    /// can't be worse off. Guards against partitions that stay with an owner without workers while
    /// controllers don't hear one another.
    fn unheard(&self, role: Role, facts: &Snapshot) -> Option<&Member> {
        let (mine, of) = (facts.fit(role, &self.me), facts.of(role));
        let cut_off = facts.reachability_enabled && of > 0 && mine.unreachable_hosts >= of;
        let unheard = |m: &&Member| {
            cut_off
                && **m != self.me
                && self.alive.contains_key(*m)
                && facts.fit(role, m).state == LinkState::Unknown
        };
        let load = |m: &&Member| facts.fit(role, m).load;
        self.members.iter().filter(unheard).min_by_key(load)
    }

    /// Who should hold a role instead of this controller: whoever reaches clearly more, or for a
    /// partition its home once that is back and no worse off.
    fn better(&mut self, role: Role, facts: &Snapshot, now: Micros) -> Option<(Member, bool)> {
        let moved = self.moved.get(&role);
        let damped = facts.reachability_enabled && moved.is_some_and(|t| now - *t < facts.damping);
        if let Some(to) = self.fitter(role, facts) {
            let (who, since) = self.wished.entry(role).or_insert((to.clone(), now));
            if *who != to {
                (*who, *since) = (to.clone(), now);
            }
            // Guards against roles that go back and forth with a link that flaps.
            let unheard = self.unknown.get(&to);
            // One that has not been heard for long already is not about to be.
            let due = now - *since >= BETTER_FOR
                && unheard.is_none_or(|t| now - *t >= UNHEARD_FOR)
                && !damped;
            return due.then_some((to, true));
        }
        self.wished.remove(&role);
        let home = self.home(role);
        let settled = self
            .alive
            .get(home)
            .is_some_and(|(_, t)| now - *t > SETTLED);
        let partition = matches!(role, Role::Partition(_));
        let restless = facts.crash_looping.contains(home);
        if !partition || home == &self.me || !settled || damped || restless {
            return None;
        }
        let there = facts.fit(role, home);
        let worse =
            there.state != LinkState::Up || there.unreachable_hosts > (facts.of(role) / 10).max(1);
        // Guards against a role that goes home to one who is worse off, or has ended and whose
        // session has not.
        (!facts.reachability_enabled || !worse).then(|| (home.clone(), false))
    }
}

#[cfg(test)]
mod tests;
