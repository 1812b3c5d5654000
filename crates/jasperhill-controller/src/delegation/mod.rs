//! Keeping hosts alive for an owner that they can't reach, when two zones are apart and no
//! controller reaches both: a controller beside them answers their reports, with the owner's
//! leave. Owns what this controller asks for, and what it has granted.
//!
//! The delegate writes the hosts that come to it into its *ask*. The owner, if it has not heard
//! them itself, first counts their leases as renewed until the end of the grant, and then
//! writes the *grant*, which names the ask. The delegate may answer, with the owner's token and
//! no new work, until `Settings::delegation_time` after it *sent* that ask; the owner counts from when
//! it *saw* the ask, which is later. So no host is taken for lapsed that could still be kept,
//! whatever is delivered late. A takeover counts from its own beginning, since every grant in
//! the store then belongs to an ask sent before.

pub mod state;

use crate::{
    shared::{Shared, observation_of, to_duration},
    state::State,
    store::{WriteOutcome, WritePriority, guard, put, put_with_lease},
};
use jasperhill_http::Response;
use jasperhill_membership::{authority::Session, reachability::LinkId};
use jasperhill_scheduler::HostInput;
use jasperhill_wire::{
    FencingToken, HostId, Member, Micros, Revision,
    mesh::LinkState,
    record::{
        DelegationGrantRecord, DelegationRequestRecord, Role, delegation_grant_key,
        delegation_part, delegation_request_key, role_key, session_key,
    },
    store::Change,
    worker::{Command, Heartbeat, TaskPhase, TaskStatus, commands_body},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// What this controller keeps for others.
#[derive(Default)]
pub(crate) struct DelegationRequests {
    /// Hosts that came here because they can't reach their owner, when they last did, and in
    /// which part of the asks they are.
    hosts: BTreeMap<HostId, (Micros, u32)>,
    /// The parts: no value holds all hosts of a large zone.
    parts: BTreeMap<u32, Part>,
    /// When the asks were sent, by number.
    sent: BTreeMap<u64, Micros>,
    number: u64,
    /// When another controller last failed to answer, if it has not answered since.
    unreached: BTreeMap<Member, Micros>,
}

/// One part of the asks.
#[derive(Default)]
struct Part {
    hosts: usize,
    changed: bool,
    written: bool,
    last: Micros,
}

impl DelegationRequests {
    /// Counts a host in, in the first part that has room for `most`. `None` if none has;
    /// otherwise whether it is new.
    fn join(&mut self, host: &HostId, most: usize, now: Micros) -> Option<bool> {
        if let Some((at, _)) = self.hosts.get_mut(host) {
            *at = now;
            return Some(false);
        }
        let free = |n: &u32| self.parts.get(n).is_none_or(|p| p.hosts < most);
        let n = (0..PARTS_MAX).find(free)?;
        let part = self.parts.entry(n).or_default();
        part.hosts += 1;
        part.changed = true;
        self.hosts.insert(host.clone(), (now, n));
        Some(true)
    }

    /// Leaves out hosts that came last before this moment.
    fn leave(&mut self, gone: Micros, now: Micros) {
        let parts = &mut self.parts;
        self.hosts.retain(|_, (at, n)| {
            let stays = now - *at < gone;
            if !stays && let Some(part) = parts.get_mut(n) {
                part.hosts -= 1;
                part.changed = true;
            }
            stays
        });
    }

    /// The parts to be written now, with the numbers of their asks and their hosts.
    fn due(&mut self, again: Micros, now: Micros) -> Vec<(u32, u64, Vec<HostId>)> {
        let mut due = Vec::new();
        for (n, part) in &mut self.parts {
            let wanted = if part.hosts == 0 {
                part.written
            } else {
                part.changed || now - part.last >= again
            };
            if wanted {
                part.changed = false;
                part.last = now;
                self.number += 1;
                // Before the write: the grant's time runs from here.
                self.sent.insert(self.number, now);
                let here = self.hosts.iter().filter(|(_, (_, m))| m == n);
                let hosts = here.map(|(id, _)| id.clone()).collect();
                due.push((*n, self.number, hosts));
            }
        }
        while self.sent.len() > SENT_MAX {
            self.sent.pop_first();
        }
        due
    }
}

/// What this controller has granted, by partition and delegate: the ask answered, and when.
pub(crate) type DelegationGrants = BTreeMap<(u32, Member), (u64, Micros)>;

/// Asks remembered: several of each part.
const SENT_MAX: usize = 32 * PARTS_MAX as usize;
/// Parts of this controller's asks.
const PARTS_MAX: u32 = 64;
/// Hosts that fit an ask whatever their names, as a part of a value's bytes.
const HOST_BYTES: usize = 40;
/// How long a report may wait for the grant; the worker waits four seconds.
const GRANT_WAIT: Duration = Duration::from_millis(2_200);
/// Hosts that join soon after one another are asked for together.
const ASK_PAUSE: Micros = Micros::from_millis(150);
/// An answer of another controller, or its absence, counts for so long.
const UNREACHED_FOR: Micros = Micros::from_secs(8);

impl Shared {
    /// Notes whether another controller answers.
    pub fn record_peer_contact(&self, to: std::net::SocketAddr, answered: bool, short: bool) {
        let Some(peer) = self.settings.peers.iter().find(|p| p.address == to) else {
            return;
        };
        // What took too long there is no fault of the link: that is judged by short questions.
        if answered || short {
            self.observe_link(LinkId::Peer(peer.member.clone()), observation_of(answered));
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let unreached = &mut state.delegation.requests.unreached;
        if answered {
            unreached.remove(&peer.member);
        } else {
            unreached.insert(peer.member.clone(), now);
        }
    }

    /// That member has answered lately, or has not been asked.
    pub fn reaches_peer(&self, member: &Member) -> bool {
        !self.is_unreached(&self.state.borrow(), member, self.now())
    }

    fn is_unreached(&self, state: &State, member: &Member, now: Micros) -> bool {
        if self.uses_reachability(state) {
            // Guards against one lost message that is taken for a cut.
            return state
                .membership
                .reachability
                .own_link(&LinkId::Peer(member.clone()))
                == LinkState::Down;
        }
        let at = state.delegation.requests.unreached.get(member);
        at.is_some_and(|t| now - *t < UNREACHED_FOR)
    }

    /// This worker can't reach its owner, as far as can be told from here: it is beside this
    /// controller, the owner is elsewhere and does not answer, and no third zone has a
    /// controller that could pass reports on.
    pub fn is_cut_off(&self, zone: &str, owner: &Member) -> bool {
        let state = self.state.borrow();
        let here = self.settings.site.as_str();
        let Some(peer) = self.settings.peers.iter().find(|p| &p.member == owner) else {
            return false;
        };
        let Some(there) = peer.site.as_ref() else {
            return false;
        };
        let third = self
            .settings
            .peers
            .iter()
            .filter_map(|p| p.site.as_ref())
            .any(|s| s.as_str() != here && s != there);
        zone == here
            && there.as_str() != here
            && !third
            && self.is_unreached(&state, owner, self.now())
    }

    /// Answers a report for the owner if that has given, or soon gives, its leave.
    pub async fn answer_as_delegate(self: &Rc<Self>, report: &Heartbeat) -> Option<Response> {
        let begin = {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let most = self.settings.value_bytes.saturating_sub(256) / HOST_BYTES;
            if report.host.as_str().len() > HOST_BYTES / 2 {
                return None;
            }
            state.delegation.requests.join(&report.host, most, now)?
        };
        if begin {
            self.wake.delegation_requests.notify_one();
        }
        let granted = timeout(GRANT_WAIT, async {
            loop {
                let news = self.wake.grants_changed.notified();
                if let Some(answer) = self.delegate_response(report) {
                    return answer;
                }
                news.await;
            }
        });
        granted.await.ok()
    }

    /// The answer for the owner: it renews the lease and stops what is cancelled. `None`
    /// without a grant that still holds.
    fn delegate_response(&self, report: &Heartbeat) -> Option<Response> {
        let now = self.now();
        let state = self.state.borrow();
        let Session::Held { lease, .. } = state.authority.session() else {
            return None;
        };
        // The bound on cancellations: whoever keeps a host knows what is to be stopped there.
        let known = state.authority.fresh();
        if !state.authority.holds(now) || now >= self.settings.bounds.delegate_until(known) {
            return None;
        }
        // Guards against a bare renewal for a task of a job that is not known here: it may be
        // cancelled as well as just accepted.
        let unknown = |t: &TaskStatus| {
            !matches!(t.phase, TaskPhase::Exited(_)) && state.cache.job(&t.task.job).is_none()
        };
        if report.tasks.iter().any(unknown) {
            return None;
        }
        let kept = state.cache.hosts.get(&report.host)?;
        let p = kept.value.partition()?;
        let (_, part) = *state.delegation.requests.hosts.get(&report.host)?;
        let me = delegation_part(&self.settings.member, part);
        let grant = state.cache.delegation_grants.get(&(p, me))?;
        let token = *grant.value.hosts.get(&report.host)?;
        if grant.value.lease != lease {
            return None;
        }
        let sent = *state.delegation.requests.sent.get(&grant.value.number)?;
        let margin = Micros::from_millis(200) + self.settings.delegation_time().scale(0.002);
        if now + margin >= sent + self.settings.delegation_time() {
            return None;
        }
        let orders: Vec<Command> = report
            .tasks
            .iter()
            .filter(|t| state.cache.final_phase(&t.task.job).is_some())
            .map(|t| Command::Stop(t.task.clone(), t.attempt, Micros::ZERO))
            .collect();
        Some(Response::new(200, commands_body(token, None, &orders)))
    }

    /// Writes the asks when they change, and again and again while there is something to keep.
    pub async fn delegation_request_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(
                Duration::from_millis(500),
                self.wake.delegation_requests.notified(),
            )
            .await;
            let now = self.now();
            let prepared = {
                let mut guarded = self.state.borrow_mut();
                let state = &mut *guarded;
                let gone = self.settings.heartbeat_interval.scale(2.5) + Micros::from_secs(5);
                state.delegation.requests.leave(gone, now);
                match state.authority.session() {
                    Session::Held { lease, version } => {
                        let again = self.settings.delegation_time().scale(0.25);
                        Some((lease, version, state.delegation.requests.due(again, now)))
                    }
                    Session::None => None,
                }
            };
            let Some((lease, version, due)) = prepared else {
                continue;
            };
            if due.is_empty() {
                continue;
            }
            for (part, number, hosts) in due {
                self.clone().spawn(self.clone().write_delegation_request(
                    (lease, version),
                    part,
                    number,
                    hosts,
                ));
            }
            self.ping_unreached();
            sleep(to_duration(ASK_PAUSE)).await;
        }
    }

    async fn write_delegation_request(
        self: Rc<Self>,
        (lease, version): (u64, Revision),
        part: u32,
        number: u64,
        hosts: Vec<HostId>,
    ) {
        let me = &self.settings.member;
        let key = delegation_request_key(&delegation_part(me, part));
        let empty = hosts.is_empty();
        let change = if empty {
            Change::Delete { key }
        } else {
            let record = DelegationRequestRecord {
                number,
                lease,
                hosts,
            };
            put_with_lease(key, &record, lease)
        };
        let guards = vec![guard(session_key(me), version)];
        let limit = Micros::from_secs(1);
        let done = self
            .write(WritePriority::Accept, guards, vec![change], limit)
            .await;
        if let Some(part) = self
            .state
            .borrow_mut()
            .delegation
            .requests
            .parts
            .get_mut(&part)
        {
            part.written = !empty || !matches!(done, WriteOutcome::Committed(_));
        }
    }

    /// Asks those that did not answer whether they do now, so that hosts go home in time.
    fn ping_unreached(self: &Rc<Self>) {
        let unreached: Vec<Member> = {
            let state = self.state.borrow();
            state
                .delegation
                .requests
                .unreached
                .keys()
                .cloned()
                .collect()
        };
        for member in unreached {
            let Some(address) = self.address_of(&member) else {
                continue;
            };
            let inner = self.clone();
            self.clone().spawn(async move {
                let ask = jasperhill_wire::mesh::MeshRequest::IsStoreReachable;
                inner.mesh_call(address, ask, Micros::from_secs(1)).await;
            });
        }
    }

    /// Answers asks, and removes grants that are over.
    pub async fn delegation_grant_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(
                Duration::from_secs(1),
                self.wake.delegation_grants.notified(),
            )
            .await;
            let (asked, wanted) = {
                let mut state = self.state.borrow_mut();
                (
                    std::mem::take(&mut state.delegation.changed_requests),
                    std::mem::take(&mut state.proposals.received),
                )
            };
            for id in wanted {
                self.clone().spawn(self.clone().decide_proposal(id));
            }
            for keeper in asked {
                self.consider_delegation_request(&keeper);
            }
            self.remove_expired_grants();
        }
    }

    /// Grants what a delegate asks for, as far as the hosts are this controller's and have not
    /// been heard here.
    fn consider_delegation_request(self: &Rc<Self>, keeper: &Member) {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let Some(ask) = state
            .cache
            .delegation_requests
            .get(keeper)
            .map(|k| k.value.clone())
        else {
            return;
        };
        let me = self.settings.member.as_str();
        // Its own asks, whatever the part.
        let rest = keeper.as_str().strip_prefix(me);
        let own = rest.is_some_and(|r| r.is_empty() || r.starts_with('/'));
        if own || !state.authority.holds(now) {
            return;
        }
        let until = now + self.settings.delegation_time();
        let bounds = self.settings.bounds;
        let quiet = self.settings.heartbeat_interval.scale(1.25) + Micros::from_millis(500);
        let mut grants = Vec::new();
        for (p, partition) in &mut state.scheduling.partitions {
            let silent: BTreeMap<HostId, FencingToken> = ask
                .hosts
                .iter()
                .filter_map(|id| partition.hosts.get(id))
                .filter(|h| {
                    h.fencing != jasperhill_scheduler::FencingState::Lapsed
                        && now - h.last_heard > quiet
                })
                // The delegate renews under this token until then, whatever is on its way.
                .filter(|h| {
                    h.in_flight_known_as_of()
                        .is_none_or(|known| until <= bounds.until(known))
                })
                .map(|h| (h.id.clone(), h.token))
                .collect();
            if silent.is_empty() {
                continue;
            }
            for id in silent.keys() {
                // Before the grant can be seen by anybody.
                partition.apply(id, HostInput::LeaseDelegated(until), now);
            }
            state
                .delegation
                .grants
                .insert((*p, keeper.clone()), (ask.number, now));
            grants.push((*p, partition.since, silent));
        }
        drop(guarded);
        for (p, since, hosts) in grants {
            tracing::debug!(partition = p, %keeper, hosts = hosts.len(), "hosts are kept by another");
            let record = DelegationGrantRecord {
                number: ask.number,
                lease: ask.lease,
                hosts,
            };
            let change = put(delegation_grant_key(p, keeper), &record);
            self.write_delegation_grant(p, since, change);
        }
    }

    fn write_delegation_grant(self: &Rc<Self>, p: u32, since: Revision, change: Change) {
        let inner = self.clone();
        self.clone().spawn(async move {
            let guards = vec![guard(role_key(Role::Partition(p)), since)];
            let limit = Micros::from_secs(1);
            inner
                .write(WritePriority::Accept, guards, vec![change], limit)
                .await;
        });
    }

    /// Removes grants that nobody can use any more.
    fn remove_expired_grants(self: &Rc<Self>) {
        let now = self.now();
        let mut over = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            if !state.authority.holds(now) {
                return;
            }
            for (p, partition) in &state.scheduling.partitions {
                for (q, keeper) in state.cache.delegation_grants.keys() {
                    if q != p {
                        continue;
                    }
                    let key = (*p, keeper.clone());
                    // One from before this ownership counts as given now.
                    let (_, at) = *state
                        .delegation
                        .grants
                        .entry(key.clone())
                        .or_insert((0, now));
                    if now - at > self.settings.delegation_time().scale(1.5) + Micros::from_secs(2)
                    {
                        over.push((key, partition.since));
                    }
                }
            }
            for (key, _) in &over {
                state.delegation.grants.remove(key);
            }
        }
        for ((p, keeper), since) in over {
            let key = delegation_grant_key(p, &keeper);
            self.write_delegation_grant(p, since, Change::Delete { key });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a zone whose hosts no single value names, against parts that are rewritten
    /// for others' changes, and against growth without bound.
    #[test]
    fn hosts_are_asked_for_in_parts_that_fit() {
        let mut keeping = DelegationRequests::default();
        let host = |n: usize| HostId::new(&format!("n-{n:06}"));
        let (now, again) = (Micros::from_secs(100), Micros::from_secs(3));
        for n in 0..100 {
            assert_eq!(keeping.join(&host(n), 44, now), Some(true));
        }
        assert_eq!(keeping.join(&host(7), 44, now), Some(false));
        let due = keeping.due(again, now);
        let sizes: Vec<usize> = due.iter().map(|(.., hosts)| hosts.len()).collect();
        assert_eq!(sizes, [44, 44, 12]);
        let mut numbers: Vec<u64> = due.iter().map(|(_, number, _)| *number).collect();
        numbers.dedup();
        assert_eq!(numbers.len(), 3);
        assert!(keeping.due(again, now).is_empty());
        // One more is written with its part alone; after a while all are again.
        keeping.join(&host(100), 44, now);
        assert_eq!(keeping.due(again, now).len(), 1);
        assert_eq!(keeping.due(again, now + again).len(), 3);
        // All but one leave: the empty parts are written once more, to go.
        let later = now + Micros::from_secs(60);
        keeping.join(&host(50), 44, later);
        keeping.parts.values_mut().for_each(|p| p.written = true);
        keeping.leave(Micros::from_secs(10), later);
        let due = keeping.due(again, later);
        let left: Vec<_> = due.iter().map(|(n, _, hosts)| (*n, hosts.len())).collect();
        assert_eq!(left, [(0, 0), (1, 1), (2, 0)]);
        for n in 0..10_000 {
            keeping.join(&host(n), 44, later);
        }
        assert_eq!(keeping.hosts.len(), 44 * PARTS_MAX as usize);
    }
}
