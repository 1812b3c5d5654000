//! Dealings with workers: their reports, direct commands, results to be written, tokens to be
//! raised.

pub mod state;

use crate::{
    host_registry::HostUpdate,
    relay::{CommandRoute, HeartbeatRoute},
    shared::{Shared, to_duration},
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::JobEntry,
};
use jasperhill_connections::limiter;
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_membership::{link::Observation, reachability::LinkId};
use jasperhill_scheduler::{FencingState, HeartbeatSource, HostInput, Partition};
use jasperhill_wire::{
    HostId, JobId, Member, Micros, Revision, mesh,
    record::{HostAssignment, HostRecord, JobRecord, RecordPhase, Role, job_key, role_key},
    user::JobRequest,
    worker::{Command, Heartbeat, commands_body, redirect_body},
};
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

fn unavailable() -> Response {
    Response::new(503, b"{\"error\":\"not entitled to answer\"}".to_vec()).retry_after(1)
}

pub(crate) fn redirect(to: Option<&Member>) -> Response {
    Response::new(421, redirect_body(to))
}

/// Workers whose direct reports were answered here are remembered for a lease; beyond, they are
/// looked through.
const ANSWERED_MAX: usize = 5_000;

/// A worker that comes back within this time could not reach its owner.
pub(crate) const RELAY_MEMORY: Micros = Micros::from_secs(12);

/// The part of the limit on writes for results of unfinished jobs, and how soon and how late
/// each is written.
const PARTIAL_SHARE: f64 = 0.3;
const PARTIAL_SOONEST: Micros = Micros::from_millis(700);
const PARTIAL_LATEST: Micros = Micros::from_secs(10);
const PARTIAL_MAX: usize = 4_000;

/// Results being written at a time, and records of jobs that are cancelled with another.
const SAVING_MAX: usize = 100;
const CANCELLING_MAX: usize = 40;

/// How long a worker is kept waiting for a takeover: it waits four seconds for an answer.
const HOLD: Micros = Micros::from_millis(3_400);

/// How long before that a controller had stopped renewing its session when it was found unheard.
const NOTICED: Micros = Micros::from_millis(2_500);

/// Workers that are asked at a time whether they can be reached from here.
const PROBES_MAX: usize = 32;

/// Machines taken on together, at most, and how long the first waits for more.
const NEWCOMERS_MAX: usize = 500;
const NEWCOMERS_WAIT: std::time::Duration = std::time::Duration::from_millis(100);

fn parse(body: &[u8]) -> Result<Heartbeat, Response> {
    Heartbeat::parse(body).map_err(|error| {
        tracing::warn!(%error, "a report that is not understood");
        let text = serde_json::Value::from(error.to_string());
        Response::new(400, format!("{{\"error\":{text}}}").into_bytes())
    })
}

/// What came of a report that waited for a takeover.
enum DeferralOutcome {
    /// The role came here.
    Taken(Response),
    /// It went to somebody else.
    Moved(Member),
    /// It did not wait, or in vain.
    Not,
}

/// What a worker is told, and whom it was sent to.
struct HeartbeatReply {
    response: Response,
    owner: Option<Member>,
}

impl Shared {
    /// A worker's report. Only the owner of its partition answers 200, and only with
    /// authority. A worker that was sent to its owner and comes back can't reach it: its
    /// reports are then passed on, and the owner's answers back; at once where the owner is
    /// known not to hear its zone.
    pub async fn handle_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let began = self.now();
        let report = match parse(body) {
            Ok(report) => report,
            Err(refusal) => return refusal,
        };
        // Zones that nobody knows would be remembered without bound.
        if self.settings.zones.contains(&report.zone) {
            let zone = LinkId::Heartbeats(report.zone.clone());
            self.observe_link(zone, Observation::Success);
        }
        self.register_host(&report, began).await;
        let mine = match self.report(&report) {
            Ok(found) => found,
            Err(refusal) => return refusal,
        };
        let Some(owner) = mine.owner else {
            if mine.response.status != 200 {
                // Nobody's at this moment.
                return match self.defer_heartbeat(None, &report, began).await {
                    DeferralOutcome::Taken(response) => response,
                    DeferralOutcome::Moved(owner) => {
                        let last = self.route_heartbeat(owner, &report, body, began, false);
                        last.await
                    }
                    DeferralOutcome::Not => mine.response,
                };
            }
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let lease = self.settings.lease;
            if state.heartbeats.answered.len() > ANSWERED_MAX {
                state.heartbeats.answered.retain(|_, t| now - *t < lease);
            }
            state.heartbeats.answered.insert(report.host, now);
            return mine.response;
        };
        self.route_heartbeat(owner, &report, body, began, true)
            .await
    }

    /// A report whose owner is elsewhere: passed on, held for a takeover, or sent there.
    async fn route_heartbeat(
        self: &Rc<Self>,
        owner: Member,
        report: &Heartbeat,
        body: &[u8],
        began: Micros,
        may_wait: bool,
    ) -> Response {
        let (host, by) = (&report.host, began + HOLD);
        // A cut between two zones that outlasts the lease: sent to its owner, the worker would
        // only lose time that its tasks do not have.
        if self.is_cut_off(report.zone.as_str(), &owner) {
            let kept = self.answer_as_delegate(report).await;
            return kept.unwrap_or_else(|| redirect(Some(&owner)));
        }
        let course = self.heartbeat_route(&owner, report);
        match &course {
            Some(HeartbeatRoute::Redirect(third)) => {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                state.relay.redirected.insert(host.clone(), now);
                return redirect(Some(third));
            }
            Some(HeartbeatRoute::Through(third)) => {
                let passed = self.relay_through(third, body).await;
                return passed.unwrap_or_else(unavailable);
            }
            _ => {}
        }
        if course.is_some() {
            if let Some(passed) = self.ask_owner(owner.clone(), report, body, by).await {
                return passed;
            }
            // Guards against a worker that is sent round while the cut is just being found.
            if self.is_cut_off(report.zone.as_str(), &owner) {
                return self
                    .answer_as_delegate(report)
                    .await
                    .unwrap_or_else(unavailable);
            }
        }
        if may_wait {
            match self.defer_heartbeat(Some(&owner), report, began).await {
                DeferralOutcome::Taken(response) => return response,
                // Guards against a worker that is sent to an owner who has just been replaced:
                // its lease may not have the five seconds that this costs.
                DeferralOutcome::Moved(to) => {
                    return Box::pin(self.route_heartbeat(to, report, body, began, false)).await;
                }
                DeferralOutcome::Not => {}
            }
        }
        if matches!(course, Some(HeartbeatRoute::RelayOnly)) {
            return unavailable();
        }
        let now = self.now();
        let came_back = {
            let mut state = self.state.borrow_mut();
            if state.relay.redirected.len() > 1_000 {
                state
                    .relay
                    .redirected
                    .retain(|_, t| now - *t < RELAY_MEMORY);
            }
            let last = state.relay.redirected.insert(host.clone(), now);
            last.is_some_and(|t| now - t < RELAY_MEMORY)
        };
        if !came_back {
            return redirect(Some(&owner));
        }
        let passed = self.ask_owner(owner, report, body, by).await;
        passed.unwrap_or_else(unavailable)
    }

    /// The owner's answer, or this controller's if it finds that it is the owner by now: of a machine
    /// that the leader has just taken on, or by a role that has just come here.
    async fn ask_owner(
        self: &Rc<Self>,
        owner: Member,
        report: &Heartbeat,
        body: &[u8],
        by: Micros,
    ) -> Option<Response> {
        if let Some(passed) = self.relay_to_owner(owner, &report.host, body, by).await {
            return Some(passed);
        }
        match self.report(report) {
            Ok(HeartbeatReply {
                owner: None,
                response,
            }) if response.status == 200 => Some(response),
            _ => None,
        }
    }

    /// Nobody here hears the owner, or there is none, and this controller or another is served: the
    /// partition will come here, or to another, in a moment. Guards against workers that are sent to
    /// a dead owner in the seconds before, or on to controllers that they don't reach, and with all
    /// others silent come back only after ten seconds, which their leases may not have.
    async fn defer_heartbeat(
        self: &Rc<Self>,
        owner: Option<&Member>,
        report: &Heartbeat,
        began: Micros,
    ) -> DeferralOutcome {
        let _turn = {
            let now = self.now();
            let state = self.state.borrow();
            // Guards against workers that are kept from an owner who is back in a moment, or is only
            // not heard here: its session must be about to end. One that should have ended goes on.
            let ttl = state.authority.ttl();
            let ends = |m: &Member| {
                let unheard = state.membership.silent_since.get(m);
                unheard.is_some_and(|t| {
                    let silent = now - *t;
                    silent + HOLD + NOTICED >= ttl && silent < ttl + NOTICED
                })
            };
            let here = state.membership.reachability.own_link(&LinkId::Store)
                == mesh::LinkState::Up
                && state.authority.holds(now);
            let moves = here
                || (owner.is_none()
                    && state
                        .membership
                        .reachability
                        .is_store_reachable_elsewhere(now));
            let lost = self.uses_reachability(&state)
                && owner.is_none_or(ends)
                && moves
                && state.cache.hosts.contains_key(&report.host);
            match state.relay.slots.deferred_heartbeat() {
                Some(turn) if lost => turn,
                _ => return DeferralOutcome::Not,
            }
        };
        let settled = async {
            loop {
                let news = self.wake.ownership_changed.notified();
                match self.report(report) {
                    Ok(HeartbeatReply {
                        owner: None,
                        response,
                    }) if response.status == 200 => return DeferralOutcome::Taken(response),
                    Ok(HeartbeatReply {
                        owner: Some(to), ..
                    }) if Some(&to) != owner => {
                        return DeferralOutcome::Moved(to);
                    }
                    _ => news.await,
                }
            }
        };
        // What was tried before has taken its part of the time that the worker waits.
        let left = HOLD - (self.now() - began);
        let held = tokio::time::timeout(to_duration(left), settled).await;
        held.unwrap_or(DeferralOutcome::Not)
    }

    /// A report that another controller passed on. Once the worker can be reached from here
    /// it is told to come itself.
    pub async fn handle_relayed_heartbeat(self: &Rc<Self>, body: &[u8]) -> Response {
        let began = self.now();
        let report = match parse(body) {
            Ok(report) => report,
            Err(refusal) => return refusal,
        };
        // Whoever passed it on has had a part of the time.
        self.register_host(&report, began - HOLD.scale(0.6)).await;
        let mine = match self.report(&report) {
            Ok(found) => found,
            Err(refusal) => return refusal,
        };
        let host = report.host;
        if mine.owner.is_some() {
            // A 421 that names who it is: whoever passes reports on may know less.
            return mine.response;
        }
        if mine.response.status != 200 {
            return unavailable();
        }
        let now = self.now();
        let (probe, stays, probing) = {
            let state = self.state.borrow();
            let orders = state
                .membership
                .reachability
                .own_link(&LinkId::Commands(report.zone.clone()));
            let lease = self.settings.lease;
            let lately = |t: Option<&Micros>| t.is_some_and(|t| now - *t < lease);
            // Asking each of them would take as many requests as there are workers: the link is
            // asked about as a whole until it is up. And guards against a link that carries
            // commands but no reports, or reports but no answers to them: a worker that comes back
            // all the same, or that was answered here lately, is not sent home.
            let stays = orders == mesh::LinkState::Down
                || lately(state.relay.sent_to_owner.get(&host))
                || lately(state.heartbeats.answered.get(&host));
            let young = |at: Micros| now - at < Micros::from_secs(1);
            let asked = state.relay.probes.values();
            let probing = asked.filter(|(at, ok)| !ok && young(*at)).count();
            (state.relay.probes.get(&host).copied(), stays, probing)
        };
        if stays {
            return mine.response;
        }
        match probe {
            Some((at, true)) if now - at < Micros::from_secs(5) => {
                let mut state = self.state.borrow_mut();
                let lease = self.settings.lease;
                if state.relay.sent_to_owner.len() > 1_000 {
                    state.relay.sent_to_owner.retain(|_, t| now - *t < lease);
                }
                state.relay.sent_to_owner.insert(host, now);
                return redirect(None);
            }
            Some((at, _)) if now - at < Micros::from_secs(4) => {}
            // A few at a time: with one answer the whole zone is known to be in reach.
            _ if probing < PROBES_MAX => self.clone().spawn(self.clone().probe(host)),
            _ => {}
        }
        mine.response
    }

    async fn probe(self: Rc<Self>, host: HostId) {
        let address = {
            let mut state = self.state.borrow_mut();
            let now = self.now();
            state
                .relay
                .probes
                .retain(|_, (at, _)| now - *at < Micros::from_secs(30));
            state.relay.probes.insert(host.clone(), (now, false));
            state
                .cache
                .hosts
                .get(&host)
                .and_then(|k| k.value.address.parse::<SocketAddr>().ok())
        };
        let Some(address) = address else { return };
        let request = Request::new(Method::Get, "/inspect", Vec::new());
        let answer = self.call(address, request, Micros::from_secs(1)).await;
        if answer.is_ok_and(|a| a.status == 200) {
            let now = self.now();
            self.state
                .borrow_mut()
                .relay
                .probes
                .insert(host, (now, true));
        }
    }

    fn report(self: &Rc<Self>, report: &Heartbeat) -> Result<HeartbeatReply, Response> {
        let now = self.now();
        let host = report.host.clone();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let Some(kept) = state.cache.hosts.get(&host) else {
            if state.provisioning.leader.is_some() && state.authority.holds(now) {
                // Not taken on yet.
                return Err(unavailable());
            }
            let leader = self.latest_owner(state, Role::Leader);
            return Ok(self.redirect_to(leader));
        };
        let Some(p) = kept.value.partition() else {
            // What it became since a stale watch cache last heard of it, the leader knows.
            let stale =
                state.membership.reachability.own_link(&LinkId::Store) == mesh::LinkState::Down;
            let leader = self.latest_owner(state, Role::Leader).filter(|_| stale);
            return match self.redirect_to(leader) {
                told @ HeartbeatReply { owner: Some(_), .. } => Ok(told),
                _ => Err(redirect(None)),
            };
        };
        if !state.scheduling.partitions.contains_key(&p) {
            let owner = self.latest_owner(state, Role::Partition(p));
            return Ok(self.redirect_to(owner));
        }
        let Some(partition) = state.scheduling.partitions.get_mut(&p) else {
            return Err(unavailable());
        };
        if !state.authority.holds(now) {
            return Err(unavailable());
        }
        partition.on_heartbeat(report, HeartbeatSource::Heartbeat, now);
        let orders = partition.commands(&host);
        let Some((token, rests_on)) = partition
            .hosts
            .get(&host)
            .map(|h| (h.token, h.in_flight_known_as_of()))
        else {
            return Err(unavailable());
        };
        // Asked again: this answer renews a lease and carries commands.
        let now = self.now();
        if !state.authority.holds(now)
            || rests_on.is_some_and(|known| now >= self.settings.bounds.until(known))
        {
            return Err(unavailable());
        }
        partition.apply(&host, HostInput::Answered(&orders), now);
        if partition.changed {
            self.wake.scheduler.notify_one();
        }
        let blind = state.membership.reachability.own_link(&LinkId::Store) == mesh::LinkState::Down;
        state.heartbeats.answered_without_store += u32::from(blind);
        let turns = state
            .commands
            .limiter
            .apply(limiter::Input::Heard((p, host)), now);
        drop(guarded);
        self.send_commands(turns);
        let response = Response::new(200, commands_body(token, None, &orders));
        Ok(HeartbeatReply {
            response,
            owner: None,
        })
    }

    fn redirect_to(&self, owner: Option<Member>) -> HeartbeatReply {
        match owner {
            Some(owner) if owner != self.settings.member => HeartbeatReply {
                response: redirect(Some(&owner)),
                owner: Some(owner),
            },
            _ => HeartbeatReply {
                response: unavailable(),
                owner: None,
            },
        }
    }

    /// If this controller leads and has no record of a machine, takes it on and waits until that is
    /// written. Guards against a new machine that is told to come later, and beyond a cut finds
    /// nobody for as long as its first lease lasts.
    async fn register_host(self: &Rc<Self>, report: &Heartbeat, began: Micros) {
        let is_new = {
            let now = self.now();
            let state = self.state.borrow();
            !state.cache.hosts.contains_key(&report.host)
                && state.provisioning.leader.is_some()
                && state.authority.holds(now)
        };
        if !is_new {
            return;
        }
        let expected = {
            let state = self.state.borrow();
            state
                .provisioning
                .leader
                .as_ref()
                .is_some_and(|l| l.expects(&report.host))
        };
        if expected {
            self.clone().spawn(self.clone().adopt(report.clone()));
        } else {
            self.clone()
                .spawn(self.clone().adopt_if_there(report.clone()));
        }
        let known = async {
            loop {
                let news = self.wake.hosts_changed.notified();
                if self.state.borrow().cache.hosts.contains_key(&report.host) {
                    return;
                }
                news.await;
            }
        };
        // Guards against a machine that is told to come later while the rest of the controllers is
        // silent: it comes back after ten seconds, and gets tasks meanwhile that its first lease
        // does not last for.
        let left = HOLD - (self.now() - began);
        let _ = tokio::time::timeout(to_duration(left), known).await;
    }

    /// Takes on a machine that nobody expects if it answers. Guards against a report that comes late,
    /// after its machine was returned: a record of a machine that is not there counts as room, and is
    /// silent, so that its partition gets no other and goes from one owner to the next.
    async fn adopt_if_there(self: Rc<Self>, report: Heartbeat) {
        let Ok(address) = report.address.parse::<SocketAddr>() else {
            return;
        };
        let request = Request::new(Method::Get, "/inspect", Vec::new());
        let there = (&report.host, &report.zone, PROBES_MAX);
        let limit = Micros::from_secs(2);
        let answer = self.call_worker(there, address, request, limit).await;
        let now = answer.ok().and_then(|a| Heartbeat::parse(&a.body).ok());
        if now.is_some_and(|r| r.host == report.host) {
            self.adopt(report).await;
        }
    }

    /// Machines without a record report to the leader: they get one, and a partition. Those
    /// that come in the same moment are taken on together.
    async fn adopt(self: Rc<Self>, report: Heartbeat) {
        {
            let mut state = self.state.borrow_mut();
            let Some(specs) = &state.scheduling.specs else {
                return;
            };
            if !specs.contains_key(&report.machine_type)
                || report.address.parse::<SocketAddr>().is_err()
                || state.heartbeats.unregistered.len() >= NEWCOMERS_MAX
                || !state.commands.token_updates.insert(report.host.clone())
            {
                return;
            }
            state.heartbeats.unregistered.push(report);
            if state.heartbeats.unregistered.len() > 1 {
                return;
            }
        }
        tokio::time::sleep(NEWCOMERS_WAIT).await;
        let (newcomers, edits) = {
            let mut guarded = self.state.borrow_mut();
            let newcomers = std::mem::take(&mut guarded.heartbeats.unregistered);
            let mut needs = self.capacity_needs(&guarded);
            let state = &mut *guarded;
            let mut edits = Vec::new();
            if let Some(leader) = state.provisioning.leader.as_mut() {
                for report in &newcomers {
                    leader.came_up(&report.host, self.now());
                    let partition = needs.partition_most_in_need(&report.zone, report.spot);
                    needs.record_assignment(partition, &report.zone, report.spot);
                    let record = HostRecord {
                        assignment: HostAssignment::Partition(partition),
                        address: report.address.clone(),
                        machine_type: report.machine_type.clone(),
                        zone: report.zone.clone(),
                        spot: report.spot,
                        rewrites: 0,
                    };
                    let block = state.host_registry.assign_block(
                        &state.cache,
                        &report.host,
                        &record,
                        (partition, self.settings.size),
                        self.settings.value_bytes,
                    );
                    let edit = HostUpdate {
                        urgency: WritePriority::Finish,
                        role: (Role::Leader, leader.since),
                        host: report.host.clone(),
                        expected_version: None,
                        new_record: Some(record),
                        deadline: self.now() + Micros::from_secs(3),
                    };
                    edits.push((block, edit));
                }
            }
            (newcomers, edits)
        };
        if edits.is_empty() {
            let mut state = self.state.borrow_mut();
            for report in newcomers {
                state.commands.token_updates.remove(&report.host);
            }
        }
        for (block, edit) in edits {
            let inner = self.clone();
            self.clone().spawn(async move {
                let host = edit.host.clone();
                let usage = edit.new_record.as_ref().map(|r| r.assignment);
                if let WriteOutcome::Committed(_) = inner.update_host(block, edit).await {
                    tracing::info!(%host, ?usage, "host taken on");
                }
                inner
                    .state
                    .borrow_mut()
                    .commands
                    .token_updates
                    .remove(&host);
            });
        }
    }

    /// Sends what is outstanding straight to the worker, one request at a time per host. Whether it
    /// answered; `None` if nothing was sent.
    pub async fn send_commands_to(self: &Rc<Self>, p: u32, id: HostId) -> Option<bool> {
        let (address, since, tenure, zone, of) = {
            let state = self.state.borrow();
            state.scheduling.partitions.get(&p).and_then(|part| {
                let host = part.hosts.get(&id)?;
                if host.in_flight() || host.in_doubt() {
                    return None;
                }
                Some((
                    host.address.parse::<SocketAddr>().ok()?,
                    part.since,
                    host.incarnation,
                    host.zone.clone(),
                    part.hosts.len(),
                ))
            })
        }?;
        // Guards against commands in doubt for every host beyond a cut: each would have to have its
        // token raised by a write before it could be used again.
        if matches!(self.command_route(&zone), CommandRoute::None) {
            return None;
        }
        let limit = Micros::from_secs(3);
        let there = (&id, &zone, of);
        if tenure.is_none() {
            let request = Request::new(Method::Get, "/inspect", Vec::new());
            match self.call_worker(there, address, request, limit).await {
                Ok(answer) if answer.status == 200 => {
                    self.apply_direct_response(p, since, &id, &answer.body)
                }
                Err(ClientError::NoSocket) => return None,
                _ => return Some(false),
            }
        }
        let (body, starts) = self.prepare_commands(p, since, &id)?;
        let request = Request::new(Method::Post, "/do", body);
        let answer = self.call_worker(there, address, request, limit).await;
        let now = self.now();
        if let Some(partition) = self.state.borrow_mut().scheduling.partitions.get_mut(&p)
            && partition.since == since
        {
            let input = match &answer {
                Ok(a) if matches!(a.status, 200 | 400 | 409) => HostInput::DirectSettled,
                Err(error) if error.is_unsent() => HostInput::DirectSettled,
                _ => {
                    tracing::debug!(host = %id, starts, "direct orders in doubt");
                    HostInput::DirectUnanswered
                }
            };
            partition.apply(&id, input, now);
        }
        let answered = match &answer {
            Err(ClientError::NoSocket) => None,
            answer => Some(answer.is_ok()),
        };
        if let Ok(answer) = answer
            && matches!(answer.status, 200 | 409)
        {
            self.apply_direct_response(p, since, &id, &answer.body);
        }
        self.wake.scheduler.notify_one();
        answered
    }

    fn prepare_commands(&self, p: u32, since: Revision, id: &HostId) -> Option<(Vec<u8>, usize)> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        // Asked at every order: the process may have been stalled since the last one.
        if !state.authority.holds(now) {
            return None;
        }
        let partition = state
            .scheduling
            .partitions
            .get_mut(&p)
            .filter(|part| part.since == since)?;
        let orders = partition.commands(id);
        let host = partition.hosts.get(id)?;
        let known = state.authority.fresh();
        // Guards against a start that is carried out late under a lease that a delegate renews, after
        // its job was cancelled: see `Host::in_flight_known_as_of`.
        if host.last_answer > self.settings.bounds.until(known) {
            return None;
        }
        let (tenure, token) = (host.incarnation?, host.token);
        let pressing = orders.iter().any(|o| !matches!(o, Command::Clear(..)));
        let unfenced = matches!(host.fencing, FencingState::Unfenced { .. });
        if host.in_flight() || host.in_doubt() || !(pressing || unfenced) {
            return None;
        }
        let body = commands_body(token, Some(tenure), &orders);
        let count = orders.len();
        partition.apply(id, HostInput::DirectSent(orders, known), now);
        Some((body, count))
    }

    fn apply_direct_response(&self, p: u32, since: Revision, id: &HostId, body: &[u8]) {
        let now = self.now();
        match Heartbeat::parse(body) {
            Ok(report) if &report.host == id => {
                if let Some(partition) = self.state.borrow_mut().scheduling.partitions.get_mut(&p)
                    && partition.since == since
                {
                    partition.on_heartbeat(&report, HeartbeatSource::Direct, now);
                }
            }
            Ok(report) => tracing::warn!(host = %id, other = %report.host, "another host answers"),
            Err(error) => tracing::warn!(host = %id, %error, "an answer that is not understood"),
        }
    }

    /// Writes results. What is only partly done can wait a little, and then goes together.
    pub fn save_results(self: Rc<Self>) {
        let now = self.now();
        let mut due = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            if state.results.partial_due.len() > PARTIAL_MAX {
                // Jobs of partitions that went elsewhere.
                state.results.partial_due.retain(|_, at| now < *at);
            }
            for partition in state.scheduling.partitions.values_mut() {
                for id in std::mem::take(&mut partition.unsaved) {
                    let Some(job) = partition.jobs.get(&id) else {
                        continue;
                    };
                    let whole = job.done.is_full();
                    let suspected = job.failures.failed_attempts() != job.failed_attempts_saved;
                    let partial = !job.unsaved.is_empty() && (!job.is_gang() || whole);
                    if job.termination.is_some() || !(partial || suspected) {
                        continue;
                    }
                    // What others wait for goes ahead.
                    let needed = whole && state.cache.dependencies.has_dependents(&id);
                    if state.results.saving.contains(&id)
                        || (state.results.saving.len() > SAVING_MAX && !needed)
                    {
                        partition.unsaved.insert(id);
                        continue;
                    }
                    if whole {
                        state.results.partial_due.remove(&id);
                    } else {
                        // The more jobs have partial results, the seldomer each is written:
                        // together they use no more than a part of the limit. What is not
                        // written is safe with the workers, who forget nothing before it is.
                        let rate = (state.store.commit_queue.rate() * PARTIAL_SHARE).max(0.1);
                        let wait =
                            Micros::from_secs_f64(state.results.partial_due.len() as f64 / rate)
                                .clamp(PARTIAL_SOONEST, PARTIAL_LATEST);
                        let at = *state
                            .results
                            .partial_due
                            .entry(id.clone())
                            .or_insert(now + wait);
                        if now < at {
                            partition.unsaved.insert(id);
                            continue;
                        }
                        state.results.partial_due.remove(&id);
                    }
                    state.results.saving.insert(id.clone());
                    due.push((partition.id, id));
                }
            }
        }
        for (p, id) in due {
            self.clone().spawn(self.clone().save(p, id));
        }
    }

    async fn save(self: Rc<Self>, p: u32, id: JobId) {
        let needed = self.state.borrow().cache.dependencies.has_dependents(&id);
        let prepared = {
            let state = self.state.borrow();
            match (state.scheduling.partitions.get(&p), state.cache.job(&id)) {
                (Some(partition), Some(JobEntry::Active(active))) => self
                    .result_record(partition, &id, active)
                    .map(|(record, tasks)| {
                        let guards = vec![
                            guard(role_key(Role::Partition(p)), partition.since),
                            guard(job_key(&id), active.version),
                        ];
                        (
                            guards,
                            put(job_key(&id), &record),
                            tasks,
                            (record.phase, record.failed_attempts),
                            partition.since,
                        )
                    }),
                _ => None,
            }
        };
        let mut saved = true;
        if let Some((guards, change, tasks, (phase, failing), since)) = prepared {
            let urgency = match phase {
                RecordPhase::Done if needed => WritePriority::Release,
                RecordPhase::Done => WritePriority::Finish,
                _ => WritePriority::Background,
            };
            let done = self
                .write(urgency, guards, vec![change], Micros::from_secs(20))
                .await;
            saved = matches!(done, WriteOutcome::Committed(_));
            if saved {
                if let Some(partition) = self.state.borrow_mut().scheduling.partitions.get_mut(&p)
                    && partition.since == since
                {
                    partition.saved(&id, &tasks, failing);
                }
            } else {
                // The next try goes by what the watch cache then shows.
                self.read_index().await;
            }
        }
        let mut state = self.state.borrow_mut();
        state.results.saving.remove(&id);
        if let Some(partition) = state.scheduling.partitions.get_mut(&p)
            && partition.jobs.get(&id).is_some_and(|j| {
                j.termination.is_none()
                    && (!j.unsaved.is_empty()
                        || j.failures.failed_attempts() != j.failed_attempts_saved)
            })
        {
            partition.unsaved.insert(id);
            if saved {
                self.wake.scheduler.notify_one();
            }
        }
    }

    fn result_record(
        &self,
        partition: &Partition,
        id: &JobId,
        active: &crate::watch_cache::ActiveJob,
    ) -> Option<(JobRecord, BTreeSet<u32>)> {
        let job = partition.jobs.get(id)?;
        if job.done.is_full() {
            let record = JobRecord::terminal(RecordPhase::Done, job.done.count());
            return Some((record, job.unsaved.clone()));
        }
        let failing = job.failures.failed_attempts();
        if job.is_gang() && failing == job.failed_attempts_saved {
            return None;
        }
        // Its tasks have run: all that it needed is done.
        let request = JobRequest {
            dependencies: Vec::new(),
            ..(*active.request).clone()
        };
        let mut record = JobRecord {
            phase: RecordPhase::Active,
            done_count: job.request.tasks,
            request: Some(request),
            submitted: Some(active.submitted),
            finished: Vec::new(),
            failed_attempts: failing,
            residual_usage: None,
        };
        // As many runs as there is room for, each as long as the number of tasks and a comma.
        let used = serde_json::to_vec(&record).map_or(usize::MAX, |b| b.len()) + 32;
        let each = job.request.tasks.to_string().len() + 1;
        let most = self.settings.value_bytes.saturating_sub(used) / each;
        let finished = job.done.to_runs(most);
        let durable = jasperhill_scheduler::TaskSet::from_runs(job.request.tasks, &finished);
        let tasks: BTreeSet<u32> = job
            .unsaved
            .iter()
            .copied()
            .filter(|i| !job.is_gang() && durable.contains(*i))
            .collect();
        if durable.count() < active.done_count {
            // The record, of a time with larger values, says more than now fits: what it says of
            // tasks that workers have forgotten must not get lost. The rest stays with them.
            return None;
        }
        record.done_count = durable.count();
        record.finished = finished;
        Some((record, tasks))
    }

    /// Writes what follows from cancelled jobs into the records of the unfinished jobs after
    /// them, a few at a time. Everybody tells it from the records before: this only keeps it so
    /// for those who will not see how it came about, and whoever owns the jobs next goes on.
    pub fn write_cancelled(self: Rc<Self>) {
        let mut due = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            for id in state.cache.dependencies.cancelled_upstream() {
                if state.results.cancelling.len() >= CANCELLING_MAX {
                    break;
                }
                if let Some(JobEntry::Active(job)) = state.cache.job(id)
                    && let Some(p) = self.partition_of(&job.request.team)
                    && let Some(partition) = state.scheduling.partitions.get(&p)
                    && state.results.cancelling.insert(id.clone())
                {
                    let since = partition.since;
                    due.push((p, since, id.clone(), job.version, job.done_count));
                }
            }
        }
        for (p, since, id, version, done_count) in due {
            let inner = self.clone();
            self.clone().spawn(async move {
                let record = JobRecord::terminal(RecordPhase::Cancelled, done_count);
                let guards = vec![
                    guard(role_key(Role::Partition(p)), since),
                    guard(job_key(&id), version),
                ];
                let changes = vec![put(job_key(&id), &record)];
                let limit = Micros::from_secs(10);
                let done = inner
                    .write(WritePriority::Background, guards, changes, limit)
                    .await;
                inner.state.borrow_mut().results.cancelling.remove(&id);
                match done {
                    WriteOutcome::Committed(_) => {
                        tracing::info!(job = %id, "cancelled with a job before it");
                        inner.wake.scheduler.notify_one();
                    }
                    // Tried again with the next tick, by what the watch cache then shows.
                    _ => {
                        inner.read_index().await;
                    }
                }
            });
        }
    }

    /// Rewrites the records of hosts with commands in doubt, which raises their tokens: late
    /// direct commands then die at the worker.
    pub fn raise_tokens(self: &Rc<Self>) {
        let now = self.now();
        let mut due = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            for (p, partition) in &state.scheduling.partitions {
                for host in partition.hosts.values().filter(|h| h.needs_token()) {
                    if let Some(kept) = state.cache.hosts.get(&host.id)
                        && !state.host_registry.is_backing_off(kept.block, now)
                        && state.commands.token_updates.insert(host.id.clone())
                    {
                        due.push((*p, partition.since, host.id.clone(), kept.clone()));
                    }
                }
            }
        }
        for (p, since, id, kept) in due {
            let inner = self.clone();
            self.clone().spawn(async move {
                let mut record = kept.value;
                record.rewrites += 1;
                let edit = HostUpdate {
                    urgency: WritePriority::Accept,
                    role: (Role::Partition(p), since),
                    host: id.clone(),
                    expected_version: Some(kept.version),
                    new_record: Some(record),
                    deadline: inner.now() + Micros::from_secs(5),
                };
                // Done: the watch cache hands the new revision to the partition.
                inner.update_host(kept.block, edit).await;
                inner.state.borrow_mut().commands.token_updates.remove(&id);
            });
        }
    }
}
