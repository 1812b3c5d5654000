//! Assignment of roles to controllers: takeover of orphaned roles, and hand-over of roles to
//! members that are better placed.
//!
//! [`Roles`] tracks the roles that this controller has relinquished and the transitions that it has
//! started. Every change goes through [`Roles::apply`].
//!
//! Roles follow reachability. Members are compared first by whether the state service responds to
//! them, then by the number of the role's hosts that they reach directly, then by whether they are
//! the role's preferred owner, then by load. Unknown links count neither in favour of a member nor
//! against the current owner. Safety does not depend on this module: the guarded writes of the
//! store decide on ownership. Taking over a role that its owner reports as relinquished is safe,
//! because the owner has permanently stopped acting at that revision before it reports so.

use jasperhill_wire::{Member, Micros, Revision, mesh::LinkState, record::Role};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// The minimum age of the session of a partition's preferred owner before the partition returns to
/// it.
const PREFERRED_OWNER_SESSION_AGE_MIN: Micros = Micros::from_secs(4);
/// The time for which the same member must be a better owner before a role moves to it.
const CANDIDATE_STABLE_TIME: Micros = Micros::from_millis(2_000);
/// The time for which a role does not move to a member whose links are unknown, because its reports
/// may be about to arrive.
const UNKNOWN_LINKS_GRACE_TIME: Micros = Micros::from_secs(4);
/// The time without the state service after which roles are relinquished if the service responds to
/// another member.
const STORE_UNREACHABLE_TIME: Micros = Micros::from_millis(2_000);
/// The additional delay before taking over an orphaned role if another member is a better owner.
const BETTER_OWNER_EXISTS_DELAY: Micros = Micros::from_millis(600);
/// The takeover delay of a formerly owned role, in milliseconds per rank and held partition.
/// Prevents all members from writing at the same time.
const ORPHANED_ROLE_DELAY_MS: u64 = 150;
/// The takeover delay of a role that was never owned, in seconds per rank. Gives the processes of
/// members of lower rank time to start.
const NEVER_OWNED_ROLE_DELAY_S: u64 = 3;
/// A difference of one in this many hosts of a role, and of at least one host, is ignored when
/// members are compared.
const HOSTS_PER_IGNORED_DIFFERENCE: u32 = 10;

/// Returns the difference in reachable hosts that is ignored for a role with `hosts` hosts.
fn ignored_host_difference(hosts: u32) -> u32 {
    (hosts / HOSTS_PER_IGNORED_DIFFERENCE).max(1)
}

/// The ownership of a role according to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOwnership {
    /// The owner according to the role's record.
    pub owner: Member,
    /// The lease of the owner's session when the record was written.
    pub lease: u64,
    /// The revision of the role's record.
    pub version: Revision,
    /// Whether the owner's session with this lease still exists.
    pub is_session_live: bool,
    /// Whether the owner has reported that it has stopped acting at this version.
    pub relinquished: bool,
}

/// The ability of a member to act on a role, as far as known to this controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eligibility {
    /// The state of the link between the member and the state service.
    pub store_link: LinkState,
    /// The state of the link that the role needs in addition to its hosts: the cloud, for the
    /// leader.
    pub required_link: LinkState,
    /// The number of the role's hosts that the member reaches.
    pub reachable_hosts: u32,
    /// The number of the role's hosts that the member is known not to reach.
    pub unreachable_hosts: u32,
    /// The number of roles that the member holds.
    pub held_role_count: u32,
}

impl Eligibility {
    /// Returns whether `other` is a better owner than `self` for a role with this many hosts.
    fn is_worse_than(&self, other: &Eligibility, hosts: u32) -> bool {
        let reachable_max = hosts - self.unreachable_hosts.min(hosts);
        let reaches_more = other.reachable_hosts > reachable_max + ignored_host_difference(hosts)
            && other.required_link != LinkState::Down;
        let gains_other_link =
            self.required_link == LinkState::Down && other.required_link == LinkState::Up;
        other.store_link == LinkState::Up && (reaches_more || gains_other_link)
    }
}

/// The cluster state on which role decisions are based, as seen by this controller.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The lease of this controller's session.
    pub lease: u64,
    /// Ownerships according to the store; roles that were never owned have no entry.
    pub ownerships: BTreeMap<Role, RoleOwnership>,
    /// Roles that this controller acts on.
    pub held_roles: BTreeSet<Role>,
    /// Whether this controller has authority and so may take over orphaned roles.
    pub may_acquire: bool,
    /// Whether all members support the assignment of roles by reachability.
    pub reachability_enabled: bool,
    /// Members in a crash loop: repeated quick restarts, without a long run since.
    pub crash_looping: BTreeSet<Member>,
    /// The ability of each member to act on each role.
    pub eligibility: BTreeMap<(Role, Member), Eligibility>,
    /// The number of hosts of each role.
    pub host_counts: BTreeMap<Role, u32>,
    /// The minimum time between two moves of a role because of reachability.
    pub min_move_interval: Micros,
}

impl Snapshot {
    /// Returns the eligibility of a member for a role; everything unknown if there is no entry.
    fn eligibility_of(&self, role: Role, member: &Member) -> Eligibility {
        let key = (role, member.clone());
        self.eligibility.get(&key).copied().unwrap_or_default()
    }

    fn hosts_of(&self, role: Role) -> u32 {
        self.host_counts.get(&role).copied().unwrap_or(0)
    }
}

/// An event that changes the assignment of roles.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// The session of a member has this lease, or the member has no session (`None`).
    Session(&'a Member, Option<u64>),
    /// This controller has permanently stopped acting on a role at this revision.
    Relinquished(Role, Revision),
    /// A takeover or hand-over of a role has ended, successfully or not.
    TransitionEnded(Role),
    /// Requests a decision on all roles. Applied at regular intervals and after each change.
    Evaluate(&'a Snapshot),
}

/// A change of a role that the controller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// This controller owns the role at this revision and acts on it.
    Hold(Role, Revision),
    /// This controller does not own the role and stops acting on it.
    Release(Role),
    /// The role has no active owner: this controller takes it over.
    Acquire(Role),
    /// This controller stops acting on the role, then writes the new owner to the store.
    HandOver {
        /// The role.
        role: Role,
        /// The member that becomes the owner of the role.
        to: Member,
        /// Whether to hand over without waiting for outstanding commands: this controller cannot
        /// reach the role's hosts, and the new owner does not assume that any command has
        /// completed.
        urgent: bool,
    },
    /// This controller stops acting on the role, then reports so to its peers. Used when this
    /// controller cannot write to the store and another member can.
    Relinquish(Role),
}

/// The live session of a member.
#[derive(Clone, Copy, Debug)]
struct LiveSession {
    lease: u64,
    /// The time at which this session was first seen.
    since: Micros,
}

/// A better owner for a role of this controller.
#[derive(Clone, Debug)]
struct Candidate {
    member: Member,
    /// The time since which the member has been the better owner.
    since: Micros,
}

/// Decides which roles this controller holds, takes over and hands over. Updated from the
/// controller's watch cache and its periodic role evaluation.
#[derive(Clone, Debug)]
pub struct Roles {
    me: Member,
    members: Vec<Member>,
    /// The number of partitions.
    partition_count: u32,
    /// Roles that this controller has relinquished, with the revision at which it stopped acting.
    relinquished_revisions: BTreeMap<Role, Revision>,
    /// Roles with a takeover or hand-over in progress.
    in_transition: BTreeSet<Role>,
    /// The time since which each orphaned role has had no active owner.
    orphaned_since: BTreeMap<Role, Micros>,
    /// The live sessions of members.
    sessions: BTreeMap<Member, LiveSession>,
    /// The owner of each role at the last evaluation.
    last_owner: BTreeMap<Role, Member>,
    /// The time at which each role last moved away from an owner with a live session.
    last_moved_at: BTreeMap<Role, Micros>,
    /// The better owner, if any, of each role that this controller holds.
    better_owners: BTreeMap<Role, Candidate>,
    /// The time since which the links of each member have been unknown; only members with unknown
    /// links have an entry.
    links_unknown_since: BTreeMap<Member, Micros>,
    /// The time since which the state service has responded to another member but not to this
    /// controller; `None` if that is not the case.
    store_unreachable_since: Option<Micros>,
}

impl Roles {
    /// Creates the state of controller `me`. `members` includes `me` and has the same order on all
    /// controllers; `partition_count` is the number of partitions.
    pub fn new(me: Member, members: Vec<Member>, partition_count: u32) -> Self {
        Self {
            me,
            members,
            partition_count,
            relinquished_revisions: BTreeMap::new(),
            in_transition: BTreeSet::new(),
            orphaned_since: BTreeMap::new(),
            sessions: BTreeMap::new(),
            last_owner: BTreeMap::new(),
            last_moved_at: BTreeMap::new(),
            better_owners: BTreeMap::new(),
            links_unknown_since: BTreeMap::new(),
            store_unreachable_since: None,
        }
    }

    /// Returns the roles that this controller has relinquished, with their revisions.
    pub fn relinquished(&self) -> impl Iterator<Item = (Role, Revision)> + '_ {
        self.relinquished_revisions
            .iter()
            .map(|(role, version)| (*role, *version))
    }

    /// Returns the preferred owner of a role, a fixed assignment by the order of members.
    pub fn preferred_owner(&self, role: Role) -> &Member {
        let index = match role {
            Role::Partition(partition) => partition as usize % self.members.len(),
            Role::Leader => 0,
        };
        &self.members[index]
    }

    /// Applies one input and returns the role changes to carry out. No other function changes this
    /// state.
    pub fn apply(&mut self, input: Input<'_>, now: Micros) -> Vec<Transition> {
        match input {
            // The age of a member counts from its newest session. Otherwise roles would return to a
            // preferred owner that keeps restarting.
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
                self.relinquished_revisions.insert(role, version);
            }
            Input::TransitionEnded(role) => {
                self.in_transition.remove(&role);
            }
            Input::Evaluate(snapshot) => return self.evaluate(snapshot, now),
        }
        Vec::new()
    }

    /// Decides on every role from the snapshot.
    fn evaluate(&mut self, snapshot: &Snapshot, now: Micros) -> Vec<Transition> {
        self.record_moves(snapshot, now);
        self.record_unknown_links(snapshot, now);
        let must_relinquish = self.should_relinquish(snapshot, now);
        let mut transitions = Vec::new();
        let partitions = (0..self.partition_count).map(Role::Partition);
        for role in partitions.chain([Role::Leader]) {
            let ownership = snapshot.ownerships.get(&role);
            let own_ownership =
                ownership.filter(|o| o.owner == self.me && o.lease == snapshot.lease);
            match own_ownership {
                Some(own) if self.relinquished_revisions.get(&role) != Some(&own.version) => {
                    self.orphaned_since.remove(&role);
                    transitions.push(Transition::Hold(role, own.version));
                    if snapshot.held_roles.contains(&role) {
                        transitions.extend(self.move_away(role, must_relinquish, snapshot, now));
                    }
                }
                _ => {
                    self.better_owners.remove(&role);
                    transitions.push(Transition::Release(role));
                    let owned_elsewhere = own_ownership.is_none()
                        && ownership.is_some_and(|o| o.is_session_live && !o.relinquished);
                    if owned_elsewhere {
                        self.orphaned_since.remove(&role);
                    } else {
                        transitions.extend(self.take_over(role, snapshot, now));
                    }
                }
            }
        }
        transitions
    }

    /// Returns the transition by which a role that this controller acts on moves to another member,
    /// if it should move.
    fn move_away(
        &mut self,
        role: Role,
        must_relinquish: bool,
        snapshot: &Snapshot,
        now: Micros,
    ) -> Option<Transition> {
        if must_relinquish {
            return Some(Transition::Relinquish(role));
        }
        let hand_over = self.hand_over(role, snapshot, now)?;
        let is_new_transition = self.in_transition.insert(role);
        is_new_transition.then_some(hand_over)
    }

    /// Returns the takeover of an orphaned role once the takeover delay of this controller is over.
    fn take_over(&mut self, role: Role, snapshot: &Snapshot, now: Micros) -> Option<Transition> {
        let own_store_link = snapshot.eligibility_of(role, &self.me).store_link;
        // While the store does not respond to this controller, a takeover write could be executed
        // without its response arriving. This controller's report of a relinquished role names a
        // version, and is void once the store has a newer version of the role.
        if snapshot.reachability_enabled && own_store_link == LinkState::Down {
            return None;
        }
        // A crash-looping controller would end again before it could serve the role.
        if self.defers_to_others(snapshot) {
            return None;
        }
        let orphaned_since = *self.orphaned_since.entry(role).or_insert(now);
        let is_due =
            now - orphaned_since >= self.takeover_delay(role, snapshot) && snapshot.may_acquire;
        (is_due && self.in_transition.insert(role)).then_some(Transition::Acquire(role))
    }

    /// Returns whether this controller leaves orphaned roles to other members: it is in a crash
    /// loop and a member with a session is not.
    fn defers_to_others(&self, snapshot: &Snapshot) -> bool {
        let is_running =
            |m: &Member| !snapshot.crash_looping.contains(m) && self.sessions.contains_key(m);
        snapshot.crash_looping.contains(&self.me) && self.members.iter().any(is_running)
    }

    /// Records the time at which a role moved away from an owner whose session is still alive.
    fn record_moves(&mut self, snapshot: &Snapshot, now: Micros) {
        for (role, ownership) in &snapshot.ownerships {
            let owner = &ownership.owner;
            let previous_owner = self.last_owner.insert(*role, owner.clone());
            let moved_from = previous_owner.filter(|previous| previous != owner);
            if moved_from.is_some_and(|previous| self.sessions.contains_key(&previous)) {
                self.last_moved_at.insert(*role, now);
            }
        }
    }

    /// Records since when the links of each member have been unknown.
    fn record_unknown_links(&mut self, snapshot: &Snapshot, now: Micros) {
        for member in &self.members {
            let store_link = snapshot.eligibility_of(Role::Leader, member).store_link;
            if store_link == LinkState::Unknown {
                self.links_unknown_since
                    .entry(member.clone())
                    .or_insert(now);
            } else {
                self.links_unknown_since.remove(member);
            }
        }
    }

    /// Returns whether, for at least [`STORE_UNREACHABLE_TIME`], the state service has not
    /// responded to this controller but has responded to another member with a session.
    fn should_relinquish(&mut self, snapshot: &Snapshot, now: Micros) -> bool {
        let store_link = |m: &Member| snapshot.eligibility_of(Role::Leader, m).store_link;
        let is_served_by_store = |m: &Member| {
            *m != self.me && self.sessions.contains_key(m) && store_link(m) == LinkState::Up
        };
        let only_others_served = snapshot.reachability_enabled
            && store_link(&self.me) == LinkState::Down
            && self.members.iter().any(is_served_by_store);
        if !only_others_served {
            self.store_unreachable_since = None;
            return false;
        }
        now - *self.store_unreachable_since.get_or_insert(now) >= STORE_UNREACHABLE_TIME
    }

    /// Returns how long this controller waits before taking over an orphaned role. The delay grows
    /// with the rank of this controller, which counts from the role's preferred owner in member
    /// order.
    fn takeover_delay(&self, role: Role, snapshot: &Snapshot) -> Micros {
        let member_count = self.members.len();
        let index = |m: &Member| self.members.iter().position(|x| x == m).unwrap_or(0);
        let rank = ((index(&self.me) + member_count - index(self.preferred_owner(role)))
            % member_count) as u64;
        if !snapshot.ownerships.contains_key(&role) {
            return Micros::from_secs(NEVER_OWNED_ROLE_DELAY_S * rank);
        }
        // Less loaded members take over earlier; better owners take over before this controller.
        let is_partition = |r: &&Role| matches!(r, Role::Partition(_));
        let load = snapshot.held_roles.iter().filter(is_partition).count() as u64;
        let delay = Micros::from_millis(ORPHANED_ROLE_DELAY_MS * (rank + load));
        if self.better_owner(role, snapshot).is_some() {
            delay + BETTER_OWNER_EXISTS_DELAY
        } else {
            delay
        }
    }

    /// Returns the best owner of a role among members with a session, if it is a better owner than
    /// this controller.
    fn better_owner(&self, role: Role, snapshot: &Snapshot) -> Option<Member> {
        let own_eligibility = snapshot.eligibility_of(role, &self.me);
        let hosts = snapshot.hosts_of(role);
        let is_better = |m: &&Member| {
            snapshot.reachability_enabled
                && !snapshot.crash_looping.contains(*m)
                && **m != self.me
                && self.sessions.contains_key(*m)
                && own_eligibility.is_worse_than(&snapshot.eligibility_of(role, m), hosts)
        };
        let preferred_owner = self.preferred_owner(role);
        let best_owner = self.members.iter().filter(is_better).max_by_key(|m| {
            let eligibility = snapshot.eligibility_of(role, m);
            (
                eligibility.reachable_hosts,
                *m == preferred_owner,
                Reverse(eligibility.held_role_count),
            )
        });
        best_owner
            .or_else(|| self.member_with_unknown_links(role, snapshot))
            .cloned()
    }

    /// Returns the least loaded member with a session and unknown links if this controller reaches
    /// none of a role's hosts: such a member cannot be a worse owner. Otherwise partitions would
    /// stay with an owner that reaches no workers while controllers cannot communicate with one
    /// another.
    fn member_with_unknown_links(&self, role: Role, snapshot: &Snapshot) -> Option<&Member> {
        let own_eligibility = snapshot.eligibility_of(role, &self.me);
        let hosts = snapshot.hosts_of(role);
        let is_cut_off = snapshot.reachability_enabled
            && hosts > 0
            && own_eligibility.unreachable_hosts >= hosts;
        if !is_cut_off {
            return None;
        }
        let has_unknown_links = |m: &&Member| {
            **m != self.me
                && self.sessions.contains_key(*m)
                && snapshot.eligibility_of(role, m).store_link == LinkState::Unknown
        };
        let load = |m: &&Member| snapshot.eligibility_of(role, m).held_role_count;
        self.members
            .iter()
            .filter(has_unknown_links)
            .min_by_key(load)
    }

    /// Returns the hand-over of a role to a better owner: a member that reaches clearly more hosts,
    /// or for a partition its preferred owner once that is back and no worse an owner.
    fn hand_over(&mut self, role: Role, snapshot: &Snapshot, now: Micros) -> Option<Transition> {
        let last_moved = self.last_moved_at.get(&role);
        let is_damped = snapshot.reachability_enabled
            && last_moved.is_some_and(|at| now - *at < snapshot.min_move_interval);
        if let Some(to) = self.better_owner(role, snapshot) {
            let is_due = self.is_candidate_due(role, &to, now) && !is_damped;
            let urgent = true;
            return is_due.then_some(Transition::HandOver { role, to, urgent });
        }
        self.better_owners.remove(&role);
        let is_return_due = !is_damped && self.may_return_to_preferred_owner(role, snapshot, now);
        is_return_due.then(|| Transition::HandOver {
            role,
            to: self.preferred_owner(role).clone(),
            urgent: false,
        })
    }

    /// Returns whether a member has been the better owner of a role for long enough to move the
    /// role.
    fn is_candidate_due(&mut self, role: Role, member: &Member, now: Micros) -> bool {
        let new_candidate = || Candidate {
            member: member.clone(),
            since: now,
        };
        let candidate = self.better_owners.entry(role).or_insert_with(new_candidate);
        if candidate.member != *member {
            *candidate = new_candidate();
        }
        let member_unknown_since = self.links_unknown_since.get(member);
        // The waiting time prevents roles from moving back and forth with a flapping link. For a
        // member with unknown links it is longer, because reports of the member may be about to
        // arrive.
        now - candidate.since >= CANDIDATE_STABLE_TIME
            && member_unknown_since.is_none_or(|at| now - *at >= UNKNOWN_LINKS_GRACE_TIME)
    }

    /// Returns whether a role of this controller may move to its preferred owner. Prevents a role
    /// from moving to a worse owner, or to a process that has ended while its session has not
    /// expired.
    fn may_return_to_preferred_owner(&self, role: Role, snapshot: &Snapshot, now: Micros) -> bool {
        let preferred_owner = self.preferred_owner(role);
        let session = self.sessions.get(preferred_owner);
        let session_old_enough =
            session.is_some_and(|session| now - session.since > PREFERRED_OWNER_SESSION_AGE_MIN);
        let is_partition = matches!(role, Role::Partition(_));
        if !is_partition
            || *preferred_owner == self.me
            || !session_old_enough
            || snapshot.crash_looping.contains(preferred_owner)
        {
            return false;
        }
        let preferred_owner_eligibility = snapshot.eligibility_of(role, preferred_owner);
        let is_worse = preferred_owner_eligibility.store_link != LinkState::Up
            || preferred_owner_eligibility.unreachable_hosts
                > ignored_host_difference(snapshot.hosts_of(role));
        !snapshot.reachability_enabled || !is_worse
    }
}

#[cfg(test)]
mod tests;
