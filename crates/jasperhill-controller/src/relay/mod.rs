//! What this controller learns of its links, and the ways round a cut: it feeds
//! [`jasperhill_membership::Reachability`], tells the others how it stands, passes reports on to owners that
//! their workers don't reach, and commands to workers that their owners don't reach.
//!
//! Nothing here decides what may run: whoever passes something on adds nothing to it. A report's
//! answer is the owner's, with its token and authority; an order passed on is in doubt for its
//! owner exactly as one that it sent itself.

pub mod state;

use crate::{heartbeats::RELAY_MEMORY, shared::Shared, state::State};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_membership::{
    link::Observation,
    reachability::{self, LinkId, Output},
    roles::Eligibility,
};
use jasperhill_wire::{
    HostId, Member, Micros, Name, Revision,
    mesh::{LinkState, MeshRequest, MeshResponse, ReachabilityReport},
    record::{REACHABILITY, Role},
    worker::Heartbeat,
};
use std::{
    cell::Cell,
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Links are looked at, and silence noticed, this often.
const LOOK: Duration = Duration::from_millis(500);
/// How often the others are told while all is well, and while something is not.
const TELL_CALM: Micros = Micros::from_secs(2);
const TELL: Micros = Micros::from_millis(900);
/// Workers asked at a time when a zone's link is in question.
const PROBES: usize = 3;
const PROBE_LIMIT: Micros = Micros::from_secs(1);
/// Commands of others passed on at a time, and reports; beyond, the sender is told so at once.
const PUSHES_MAX: usize = 64;
const RELAYS_MAX: usize = 400;
/// Reports that wait for a takeover.
const HOLDS_MAX: usize = 2_000;
/// A worker waits four seconds for an answer: within this an owner that is just changing is
/// asked again.
const RELAY_LIMIT: Micros = Micros::from_millis(3_200);
const RELAY_EACH: Micros = Micros::from_millis(1_500);
const RELAY_PAUSE: Duration = Duration::from_millis(300);
/// A controller that the state service has refused alone for so long counts as alone until it is
/// answered itself; shorter, it may just be the first to notice an outage.
const STAYS_ALONE: Micros = Micros::from_secs(4);
const PUSH_LIMIT: Micros = Micros::from_millis(1_500);

/// Counts of what is being passed on.
#[derive(Default)]
pub(crate) struct RelaySlots {
    pushes: Rc<Cell<usize>>,
    relays: Rc<Cell<usize>>,
    holds: Rc<Cell<usize>>,
}

impl RelaySlots {
    /// A place among the reports that wait for a takeover.
    pub fn deferred_heartbeat(&self) -> Option<RelaySlot> {
        RelaySlot::take(&self.holds, HOLDS_MAX)
    }

    fn is_holding(&self) -> bool {
        self.holds.get() > 0
    }
}

/// A place among those that are passed on. Given back when dropped, since whoever waits for an
/// answer may go away in the midst of it.
pub(crate) struct RelaySlot(Rc<Cell<usize>>);

impl RelaySlot {
    fn take(count: &Rc<Cell<usize>>, most: usize) -> Option<Self> {
        let n = count.get();
        (n < most).then(|| {
            count.set(n + 1);
            Self(count.clone())
        })
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// How commands get to a worker.
pub(crate) enum CommandRoute {
    Direct,
    Through(SocketAddr),
    /// Not at all: they wait for the next report.
    None,
}

/// Where a report goes that another controller owns.
pub(crate) enum HeartbeatRoute {
    /// The worker is sent there.
    Redirect(Member),
    /// The worker was there and came back: the report is passed on by that controller.
    Through(Member),
    /// The report is passed on.
    RelayOnly,
    /// The same, unless that fails: then the worker may go and try itself. The owner decides
    /// whether it reaches the worker, since it alone knows whom it has answered.
    RelayFirst,
}

fn number_of(host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

/// How many hosts of a partition, or of all, are in each zone.
fn hosts_by_role_and_zone(state: &State) -> BTreeMap<Role, BTreeMap<Name, u32>> {
    let mut counts: BTreeMap<Role, BTreeMap<Name, u32>> = BTreeMap::new();
    for kept in state.cache.hosts.values() {
        if let Some(p) = kept.value.partition() {
            let zones = counts.entry(Role::Partition(p)).or_default();
            *zones.entry(kept.value.zone.clone()).or_default() += 1;
        }
    }
    counts
}

impl Shared {
    /// Roles follow reach, and links are spoken of, only when every member understands that.
    pub fn uses_reachability(&self, state: &State) -> bool {
        state.membership.features.supports(REACHABILITY)
    }

    /// Something got through a link, or did not.
    pub fn observe_link(&self, link: LinkId, evidence: Observation) {
        self.update_reachability(reachability::Input::Evidence(link, evidence));
    }

    /// A worker of a zone answered, or not, out of so many there.
    pub fn observe_worker(&self, zone: &Name, host: &HostId, of: usize, answered: bool) {
        let evidence = if answered {
            Observation::Success
        } else {
            let by = number_of(host);
            Observation::Failure { by, of }
        };
        self.observe_link(LinkId::Commands(zone.clone()), evidence);
    }

    fn update_reachability(&self, input: reachability::Input<'_>) -> Vec<Name> {
        let now = self.now();
        let outputs = self
            .state
            .borrow_mut()
            .membership
            .reachability
            .apply(input, now);
        let mut probes = Vec::new();
        for output in outputs {
            match output {
                Output::Probe(zone) => probes.push(zone),
                Output::Changed(link, was, reach) => {
                    if let LinkId::Peer(member) = &link {
                        let mut state = self.state.borrow_mut();
                        if reach == LinkState::Down {
                            state
                                .membership
                                .silent_since
                                .entry(member.clone())
                                .or_insert(now);
                        } else if reach == LinkState::Up {
                            state.membership.silent_since.remove(member);
                        }
                    }
                    if was != LinkState::Down && reach != LinkState::Down {
                        tracing::debug!(?link, ?reach, "link");
                    } else {
                        tracing::info!(?link, ?reach, "link");
                        self.wake.reachability.notify_one();
                        self.wake.roles.notify_one();
                    }
                }
            }
        }
        probes
    }

    /// Looks at the links and tells the others of them.
    pub async fn reachability_loop(self: Rc<Self>) {
        let mut told = Micros::ZERO;
        loop {
            let woken = timeout(LOOK, self.wake.reachability.notified())
                .await
                .is_ok();
            self.expect_reports();
            let now = self.now();
            let (speaks, calm) = {
                let state = self.state.borrow();
                (
                    self.uses_reachability(&state),
                    state.membership.reachability.all_links_up(),
                )
            };
            let pause = if calm { TELL_CALM } else { TELL };
            if speaks && (woken || now - told >= pause) {
                told = now;
                self.send_reachability();
            }
            self.update_isolation();
            self.log_answers_without_store();
        }
    }

    /// Says how many reports were answered while the state service was silent, once that is over.
    fn log_answers_without_store(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let down = state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
        if state.heartbeats.answered_without_store > 0 && !(down && state.authority.holds(now)) {
            let reports = std::mem::take(&mut state.heartbeats.answered_without_store);
            tracing::info!(reports, "answered without knowing more");
        }
    }

    /// Silence where reports are due, and questions where nothing else speaks.
    fn expect_reports(self: &Rc<Self>) {
        let due: BTreeMap<Name, u32> = {
            let state = self.state.borrow();
            let zones = self.settings.zones.iter().cloned();
            let mut due: BTreeMap<Name, u32> = zones.map(|z| (z, 0)).collect();
            for host in state
                .scheduling
                .partitions
                .values()
                .flat_map(|p| p.hosts.values())
            {
                if host.fencing != jasperhill_scheduler::FencingState::Lapsed {
                    *due.entry(host.zone.clone()).or_default() += 1;
                }
            }
            due
        };
        for (zone, hosts) in &due {
            let report = self.settings.heartbeat_interval;
            let probes = self.update_reachability(reachability::Input::ExpectHeartbeats {
                zone,
                hosts: *hosts,
                report,
            });
            for zone in probes {
                self.probe_zone(&zone);
            }
        }
    }

    /// Asks a few workers of a zone, others each time.
    fn probe_zone(self: &Rc<Self>, zone: &Name) {
        let (asked, of) = {
            let state = self.state.borrow();
            let here: Vec<_> = state
                .cache
                .hosts
                .iter()
                .filter(|(_, k)| &k.value.zone == zone)
                .collect();
            let of = here.len();
            let from = (self.now().0 / 10_007) as usize;
            let asked: Vec<(HostId, SocketAddr)> = (0..PROBES.min(of))
                .filter_map(|i| {
                    let (id, kept) = here[(from + i * (of / PROBES).max(1)) % of];
                    Some((id.clone(), kept.value.address.parse().ok()?))
                })
                .collect();
            (asked, of)
        };
        for (host, address) in asked {
            let (inner, zone) = (self.clone(), zone.clone());
            self.clone().spawn(async move {
                let request = Request::new(Method::Get, "/inspect", Vec::new());
                let answer = inner.call(address, request, PROBE_LIMIT).await;
                if !matches!(answer, Err(ClientError::NoSocket)) {
                    inner.observe_worker(&zone, &host, of, answer.is_ok());
                }
            });
        }
    }

    fn own_report(&self, state: &mut State, now: Micros) -> ReachabilityReport {
        // What a watch cache shows that is no longer brought up to date is not told as news.
        let owners = if state.membership.reachability.own_link(&LinkId::Store) == LinkState::Up {
            let seats = state.cache.ownerships();
            let live = seats.into_iter().filter(|(_, s)| s.live);
            live.map(|(role, s)| (role, s.owner, s.version)).collect()
        } else {
            Vec::new()
        };
        let me = &self.settings.member;
        let let_go: Vec<(Role, Revision)> = state
            .membership
            .roles
            .relinquished()
            .filter(|(role, version)| {
                let kept = state.cache.roles.get(role);
                kept.is_some_and(|k| k.version == *version && &k.value.owner == me)
            })
            .collect();
        state.membership.reachability.report(owners, let_go, now)
    }

    /// Tells every other controller how the links stand; their answers say the same of theirs.
    fn send_reachability(self: &Rc<Self>) {
        let now = self.now();
        let report = {
            let mut state = self.state.borrow_mut();
            self.own_report(&mut state, now)
        };
        for peer in &self.settings.peers {
            let (inner, to, report) = (self.clone(), peer.address, report.clone());
            self.clone().spawn(async move {
                let ask = MeshRequest::Reachability(Box::new(report));
                let answer = inner.mesh_call(to, ask, Micros::from_secs(1)).await;
                if let Some(MeshResponse::Reachability(theirs)) = answer {
                    inner.update_reachability(reachability::Input::PeerReport(&theirs));
                    inner.after_peer_report();
                }
            });
        }
    }

    /// Another controller tells how its links stand.
    pub fn receive_reachability(
        self: &Rc<Self>,
        theirs: &ReachabilityReport,
    ) -> ReachabilityReport {
        self.update_reachability(reachability::Input::PeerReport(theirs));
        self.after_peer_report();
        let now = self.now();
        let mut state = self.state.borrow_mut();
        self.own_report(&mut state, now)
    }

    /// What follows at once from what another has told.
    fn after_peer_report(&self) {
        let let_go = {
            let now = self.now();
            let state = self.state.borrow();
            let mut seats = state.cache.roles.iter();
            seats.any(|(role, k)| {
                state.membership.reachability.has_relinquished(
                    &k.value.owner,
                    *role,
                    k.version,
                    now,
                )
            })
        };
        if let_go {
            self.wake.roles.notify_one();
        }
        // A role that reports wait for may have found an owner.
        if self.state.borrow().relay.slots.is_holding() {
            self.wake.ownership_changed.notify_waiters();
        }
        self.update_isolation();
    }

    /// Whether users are better served elsewhere: the state service answers others, but not
    /// this controller. In an outage that everybody sees, it stays.
    fn update_isolation(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if self.uses_reachability(&state) {
            let down = state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
            let alone = state.membership.reachability.is_isolated(now);
            let long = state
                .isolation
                .since
                .is_some_and(|t| now - t >= STAYS_ALONE);
            if alone {
                state.isolation.since.get_or_insert(now);
            } else if !(down && long) {
                state.isolation.since = None;
            }
            // Guards against users who are sent back to a refused controller when all others lose
            // the state service as well: after that it answers last.
            state.isolation.isolated = down && (alone || long);
        }
    }

    /// How fit each member is for each role, as far as is known here.
    pub fn role_eligibility(
        &self,
        state: &State,
        now: Micros,
    ) -> (BTreeMap<(Role, Member), Eligibility>, BTreeMap<Role, u32>) {
        let zones = hosts_by_role_and_zone(state);
        let roles = (0..self.settings.size).map(Role::Partition);
        let (mut fits, mut hosts) = (BTreeMap::new(), BTreeMap::new());
        let none = BTreeMap::new();
        for role in roles.chain([Role::Leader]) {
            let here = zones.get(&role).unwrap_or(&none);
            hosts.insert(role, here.values().sum());
            for member in &self.members {
                let mut fit = Eligibility {
                    state: state.membership.reachability.store_link(member, now),
                    ..Eligibility::default()
                };
                for (zone, n) in here {
                    let proved = state
                        .membership
                        .reachability
                        .has_recent_contact(member, zone, now);
                    match state.membership.reachability.reaches(member, zone, now) {
                        LinkState::Up if member == &self.settings.member || proved => {
                            fit.reachable_hosts += n
                        }
                        LinkState::Down => fit.unreachable_hosts += n,
                        _ => {}
                    }
                }
                if role == Role::Leader {
                    fit.other_link = if member == &self.settings.member {
                        state.membership.reachability.own_link(&LinkId::Cloud)
                    } else {
                        let said = state.membership.reachability.peer_report(member, now);
                        said.map_or(LinkState::Unknown, |r| r.cloud)
                    };
                }
                let owns = state
                    .cache
                    .roles
                    .values()
                    .filter(|k| &k.value.owner == member);
                fit.load = owns.count() as u32;
                fits.insert((role, member.clone()), fit);
            }
        }
        (fits, hosts)
    }

    /// The owner of a role by the youngest that is known: the own watch cache, or what others have
    /// told while this controller can't hear of it itself.
    pub fn latest_owner(&self, state: &State, role: Role) -> Option<Member> {
        let now = self.now();
        let mine = state.cache.roles.get(&role).map(|k| k.version);
        match state.membership.reachability.owner(role, now) {
            Some((owner, version))
                if self.uses_reachability(state) && mine.is_none_or(|v| v < version) =>
            {
                Some(owner.clone())
            }
            _ => state.cache.owner(role).cloned(),
        }
    }

    /// Where a report from this zone goes whose owner is elsewhere. `None` without an opinion.
    pub fn heartbeat_route(&self, owner: &Member, report: &Heartbeat) -> Option<HeartbeatRoute> {
        let now = self.now();
        let state = self.state.borrow();
        let zone = &report.zone;
        if !self.uses_reachability(&state) {
            return None;
        }
        let view = &state.membership.reachability;
        if !view.hears_peer(owner, now) {
            let third = view.relay_to_owner(owner, zone, now)?.clone();
            let last = state.relay.redirected.get(&report.host);
            let came_back = last.is_some_and(|t| now - *t < RELAY_MEMORY);
            return Some(if came_back {
                HeartbeatRoute::Through(third)
            } else {
                HeartbeatRoute::Redirect(third)
            });
        }
        let (reports, _) = view.zone_links(owner, zone, now);
        // Sent to its owner, the worker would lose ten seconds that its tasks may not have.
        if matches!(reports, LinkState::Down | LinkState::Suspect) {
            return Some(HeartbeatRoute::RelayOnly);
        }
        let known = state.cache.hosts.contains_key(&report.host);
        known.then_some(HeartbeatRoute::RelayFirst)
    }

    /// Passes a report on to its owner, and the owner's answer back, until then at the latest.
    pub async fn relay_to_owner(
        self: &Rc<Self>,
        owner: Member,
        host: &HostId,
        body: &[u8],
        by: Micros,
    ) -> Option<Response> {
        let _turn = RelaySlot::take(&self.state.borrow().relay.slots.relays, RELAYS_MAX)?;
        self.relay_until_answered(owner, host, body, by).await
    }

    /// Passes a report on by way of one who hears its owner.
    pub async fn relay_through(&self, third: &Member, body: &[u8]) -> Option<Response> {
        let _turn = RelaySlot::take(&self.state.borrow().relay.slots.relays, RELAYS_MAX)?;
        let address = self.address_of(third)?;
        let ask = MeshRequest::RelayHeartbeatOnward(String::from_utf8_lossy(body).into_owned());
        match self.mesh_call(address, ask, RELAY_LIMIT).await? {
            MeshResponse::HeartbeatRelayed { status: 200, body } => {
                Some(Response::new(200, body.into_bytes()))
            }
            _ => None,
        }
    }

    /// A report for an owner whom the sender does not hear: one step further, no more.
    pub async fn relay_onward(self: &Rc<Self>, body: &[u8]) -> Response {
        let answer = self.handle_relayed_heartbeat(body).await;
        let owner = match answer.status {
            421 => jasperhill_wire::worker::redirected_to(&answer.body),
            _ => None,
        };
        match (owner, Heartbeat::parse(body)) {
            (Some(owner), Ok(report)) => {
                let passed = self
                    .relay_to_owner(owner, &report.host, body, self.now() + RELAY_LIMIT)
                    .await;
                passed.unwrap_or(answer)
            }
            _ => answer,
        }
    }

    async fn relay_until_answered(
        self: &Rc<Self>,
        owner: Member,
        host: &HostId,
        body: &[u8],
        by: Micros,
    ) -> Option<Response> {
        let by = by.min(self.now() + RELAY_LIMIT);
        let mut to = owner;
        loop {
            let left = by - self.now();
            if left <= Micros::from_millis(200) {
                return None;
            }
            let address = self.address_of(&to)?;
            let ask = MeshRequest::RelayHeartbeat(String::from_utf8_lossy(body).into_owned());
            match self.mesh_call(address, ask, left.min(RELAY_EACH)).await {
                Some(MeshResponse::HeartbeatRelayed { status: 200, body }) => {
                    return Some(Response::new(200, body.into_bytes()));
                }
                Some(MeshResponse::HeartbeatRelayed { status: 421, body }) => {
                    match jasperhill_wire::worker::redirected_to(body.as_bytes()) {
                        // It knows a younger owner.
                        Some(other) if other != to && other != self.settings.member => {
                            to = other;
                            continue;
                        }
                        Some(_) => {}
                        // It reaches the worker by now.
                        None => {
                            let now = self.now();
                            self.state
                                .borrow_mut()
                                .relay
                                .redirected
                                .insert(host.clone(), now);
                            return Some(crate::heartbeats::redirect(Some(&to)));
                        }
                    }
                }
                other => {
                    let status = match other {
                        Some(MeshResponse::HeartbeatRelayed { status, .. }) => status,
                        _ => 0,
                    };
                    tracing::debug!(%host, %to, status, "a report was not taken");
                }
            }
            if !self.uses_reachability(&self.state.borrow()) || !self.reaches_peer(&to) {
                return None;
            }
            // The owner may just be changing.
            sleep(RELAY_PAUSE).await;
            let state = self.state.borrow();
            let kept = state.cache.hosts.get(host);
            let role = kept
                .and_then(|k| k.value.partition())
                .map_or(Role::Leader, Role::Partition);
            let next = self.latest_owner(&state, role);
            to = next.filter(|m| m != &self.settings.member)?;
        }
    }

    /// How commands get to a worker of this zone.
    pub fn command_route(&self, zone: &Name) -> CommandRoute {
        let now = self.now();
        let state = self.state.borrow();
        if state
            .membership
            .reachability
            .own_link(&LinkId::Commands(zone.clone()))
            != LinkState::Down
            || !self.uses_reachability(&state)
        {
            return CommandRoute::Direct;
        }
        let peer = state
            .membership
            .reachability
            .relay_to_zone(zone, now)
            .cloned();
        match peer.and_then(|m| self.address_of(&m)) {
            Some(address) => CommandRoute::Through(address),
            None => CommandRoute::None,
        }
    }

    /// Sends a worker something on the way that there is. `of`: hosts there.
    pub async fn call_worker(
        &self,
        (host, zone, of): (&HostId, &Name, usize),
        address: SocketAddr,
        request: Request,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        match self.command_route(zone) {
            CommandRoute::Direct => {
                let answer = self.call(address, request, limit).await;
                // What found no socket here says nothing of the worker.
                if !matches!(answer, Err(ClientError::NoSocket)) {
                    self.observe_worker(zone, host, of, answer.is_ok());
                }
                answer
            }
            CommandRoute::Through(peer) => {
                let body = match request.method {
                    Method::Get => None,
                    _ => Some(String::from_utf8_lossy(&request.body).into_owned()),
                };
                let host = host.clone();
                match self
                    .try_mesh_call(peer, MeshRequest::RelayCommands { host, body }, limit)
                    .await
                {
                    Ok(MeshResponse::CommandsRelayed { status, body }) => {
                        Ok(Response::new(status, body.into_bytes()))
                    }
                    Ok(MeshResponse::CommandsNotSent) => Err(ClientError::NotSent),
                    Ok(_) => Err(ClientError::NoAnswer),
                    Err(error) => Err(error),
                }
            }
            CommandRoute::None => Err(ClientError::NotSent),
        }
    }

    /// Passes the commands of another controller on to a worker. They may be executed at any
    /// time from now on: unless it says otherwise, the sender counts them as in doubt.
    pub async fn relay_commands(&self, host: HostId, body: Option<String>) -> MeshResponse {
        let (turn, found) = {
            let state = self.state.borrow();
            let found = state.cache.hosts.get(&host).and_then(|k| {
                let address = k.value.address.parse::<SocketAddr>().ok()?;
                Some((address, k.value.zone.clone()))
            });
            (
                RelaySlot::take(&state.relay.slots.pushes, PUSHES_MAX),
                found,
            )
        };
        let (Some(_turn), Some((address, zone))) = (turn, found) else {
            return MeshResponse::CommandsNotSent;
        };
        let request = match body {
            Some(body) => Request::new(Method::Post, "/do", body.into_bytes()),
            None => Request::new(Method::Get, "/inspect", Vec::new()),
        };
        let answer = self.call(address, request, PUSH_LIMIT).await;
        if !matches!(answer, Err(ClientError::NoSocket)) {
            self.observe_worker(&zone, &host, PROBES, answer.is_ok());
        }
        match answer {
            Ok(answer) => MeshResponse::CommandsRelayed {
                status: answer.status,
                body: String::from_utf8(answer.body).unwrap_or_default(),
            },
            Err(ClientError::NotSent | ClientError::NoSocket) => MeshResponse::CommandsNotSent,
            Err(ClientError::NoAnswer | ClientError::TooLong) => MeshResponse::Unavailable,
        }
    }
}
