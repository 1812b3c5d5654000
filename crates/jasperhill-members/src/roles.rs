//! Who should hold which role: orphans that are to be taken, and roles that are to be handed to
//! somebody else. Owns what this controller has given up and what it is about to take. Every
//! change goes through [`Roles::apply`].

use jasperhill_wire::{Member, Micros, Revision, record::Role};
use std::collections::{BTreeMap, BTreeSet};

/// An owner's home goes home only after it has been back for so long.
const SETTLED: Micros = Micros::from_secs(4);

/// What the store says of a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    pub owner: Member,
    /// The owner's session when it was written.
    pub lease: u64,
    pub version: Revision,
    /// That session is there.
    pub live: bool,
}

/// What this controller sees when it looks around.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// This controller's session.
    pub lease: u64,
    pub seats: BTreeMap<Role, Seat>,
    /// The roles that it acts on.
    pub held: BTreeSet<Role>,
    /// It has authority, so it may take what is free.
    pub may_take: bool,
}

#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A member has a session, or has none.
    Session(&'a Member, bool),
    /// Acting on a role at this revision has ended for good.
    GivenUp(Role, Revision),
    /// What a step began is over, whatever became of it.
    Settled(Role),
    /// Time to look around.
    Look(&'a Facts),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is this controller's: act on it.
    Hold(Role, Revision),
    /// It is not: stop acting on it.
    Release(Role),
    /// Nobody's: take it.
    Take(Role),
    /// Stop acting, then write this owner.
    HandOver(Role, Member),
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
    /// Since when a member has had a session.
    alive: BTreeMap<Member, Micros>,
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
        }
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
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Step> {
        match input {
            Input::Session(member, true) => {
                self.alive.entry(member.clone()).or_insert(now);
            }
            Input::Session(member, false) => {
                self.alive.remove(member);
            }
            Input::GivenUp(role, version) => {
                self.given_up.insert(role, version);
            }
            Input::Settled(role) => {
                self.moving.remove(&role);
            }
            Input::Look(facts) => return self.look(facts, now),
        }
        Vec::new()
    }

    fn look(&mut self, facts: &Facts, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let roles = (0..self.size)
            .map(Role::Partition)
            .chain([Role::Leader])
            .collect::<Vec<_>>();
        for role in roles {
            let seat = facts.seats.get(&role);
            let mine = seat.is_some_and(|s| s.owner == self.me && s.lease == facts.lease);
            let version = seat.map(|s| s.version);
            if mine && self.given_up.get(&role) != version.as_ref() {
                self.orphaned.remove(&role);
                steps.extend(version.map(|v| Step::Hold(role, v)));
                if let Some(to) = self.better(role, facts, now)
                    && self.moving.insert(role)
                {
                    steps.push(Step::HandOver(role, to));
                }
                continue;
            }
            steps.push(Step::Release(role));
            if !mine && seat.is_some_and(|s| s.live) {
                self.orphaned.remove(&role);
                continue;
            }
            let since = *self.orphaned.entry(role).or_insert(now);
            if now - since >= self.patience(role, seat.is_some(), facts)
                && facts.may_take
                && self.moving.insert(role)
            {
                steps.push(Step::Take(role));
            }
        }
        steps
    }

    /// How long an orphan is left to those who come before.
    fn patience(&self, role: Role, was_owned: bool, facts: &Facts) -> Micros {
        let n = self.members.len();
        let place = |m: &Member| self.members.iter().position(|x| x == m).unwrap_or(0);
        let mut rank = ((place(&self.me) + n - place(self.home(role))) % n) as u64;
        if was_owned {
            // The least loaded survivor first.
            let partition = |r: &&Role| matches!(r, Role::Partition(_));
            rank += facts.held.iter().filter(partition).count() as u64;
            Micros::from_millis(150 * rank)
        } else {
            Micros::from_secs(3 * rank)
        }
    }

    /// Who should hold a role instead of this controller: a partition whose home is back goes
    /// home.
    fn better(&self, role: Role, facts: &Facts, now: Micros) -> Option<Member> {
        let home = self.home(role);
        let settled = self.alive.get(home).is_some_and(|t| now - *t > SETTLED);
        let partition = matches!(role, Role::Partition(_));
        (partition && home != &self.me && settled && facts.held.contains(&role))
            .then(|| home.clone())
    }
}
