//! The delegate's side of lease delegation: requests grants for hosts that can't reach their owners,
//! and answers the heartbeats of these hosts.

use super::requests::{AddHostOutcome, DueRequest};
use crate::{
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority, guard, put_with_lease},
};
use jasperhill_http::Response;
use jasperhill_membership::authority::Session;
use jasperhill_wire::{
    FencingToken, HostId, Member, Micros, Revision,
    mesh::MeshRequest,
    record::{DelegationRequestRecord, delegation_part, delegation_request_key, session_key},
    store::Change,
    worker::{Command, Heartbeat, TaskPhase, TaskStatus, commands_body},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// The space in bytes that a request reserves for each host, so that the hosts fit the value whatever
/// their names are.
const RESERVED_BYTES_PER_HOST: usize = 40;
/// The size in bytes of a request without its hosts.
const REQUEST_OVERHEAD_BYTES: usize = 256;
/// The longest time that a heartbeat waits for the owner's grant. Workers wait four seconds for a
/// response.
const GRANT_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The pause after writing requests. Hosts that arrive during the pause are requested together.
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// The longest time between two checks of the requests, when nothing wakes the loop earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The fraction of the delegation time after which a request is written again.
const RENEWAL_FRACTION: f64 = 0.25;
/// A host is removed from the requests after it has been silent for this number of heartbeat intervals
/// plus `HOST_SILENCE_MARGIN`.
const HOST_SILENCE_INTERVALS: f64 = 2.5;
/// The time added to `HOST_SILENCE_INTERVALS`, so that one heartbeat may be late.
const HOST_SILENCE_MARGIN: Micros = Micros::from_secs(5);
/// The time before the end of a grant at which the delegate stops answering, so that the response can
/// still arrive in time.
const GRANT_MARGIN: Micros = Micros::from_millis(200);
/// The fraction of the delegation time that is added to `GRANT_MARGIN`, as clocks run at different
/// rates.
const CLOCK_DRIFT_FRACTION: f64 = 0.002;
/// The longest time that the write of a request may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_secs(1);
/// The timeout for a ping of another controller.
const PING_TIMEOUT: Micros = Micros::from_secs(1);

/// This controller's session with the store.
#[derive(Clone, Copy)]
struct OwnSession {
    /// The id of the session's lease in the store.
    lease: u64,
    /// The version of the session's record.
    version: Revision,
}

impl Shared {
    /// Answers a heartbeat for its owner if the owner has granted the delegation or grants it within
    /// `GRANT_TIMEOUT`. Returns `None` if there is no such grant, or if no request has room for the
    /// host.
    pub async fn answer_as_delegate(self: &Rc<Self>, heartbeat: &Heartbeat) -> Option<Response> {
        match self.request_delegation(&heartbeat.host) {
            AddHostOutcome::Added => self.wakeups.delegation_requests.notify_one(),
            AddHostOutcome::Renewed => {}
            AddHostOutcome::Full => return None,
        }
        let granted_response = timeout(GRANT_TIMEOUT, async {
            loop {
                let grants_changed = self.wakeups.grants_changed.notified();
                if let Some(response) = self.delegate_response(heartbeat) {
                    return response;
                }
                grants_changed.await;
            }
        });
        granted_response.await.ok()
    }

    /// Adds a host to the requests, or records that it was heard again. Returns `Full` also if the
    /// host's name is too long.
    fn request_delegation(&self, host: &HostId) -> AddHostOutcome {
        let now = self.now();
        if host.as_str().len() > RESERVED_BYTES_PER_HOST / 2 {
            return AddHostOutcome::Full;
        }
        let hosts_per_part = self
            .settings
            .value_bytes
            .saturating_sub(REQUEST_OVERHEAD_BYTES)
            / RESERVED_BYTES_PER_HOST;
        let mut state = self.state.borrow_mut();
        state
            .delegation
            .requests
            .add_host(host, hosts_per_part, now)
    }

    /// Returns the response to a heartbeat on behalf of the owner. The response renews the worker's
    /// lease and stops the tasks of jobs that have ended. Returns `None` without a valid grant, or if
    /// this controller's view of the store is too old or lacks a running task's job.
    fn delegate_response(&self, heartbeat: &Heartbeat) -> Option<Response> {
        let now = self.now();
        let state = self.state.borrow();
        let Session::Held { lease, .. } = state.authority.session() else {
            return None;
        };
        // The freshness bound on cancellations: a controller that renews a host's lease must know which
        // tasks to stop on the host.
        let known_as_of = state.authority.cache_fresh_until();
        let answers_until = self
            .settings
            .freshness_bounds
            .delegate_may_renew_until(known_as_of);
        if !state.authority.is_valid_at(now) || now >= answers_until {
            return None;
        }
        // A lease is not renewed for a task whose job is unknown here: the job may have been cancelled,
        // or may just have been accepted.
        let is_unknown = |task: &TaskStatus| {
            !matches!(task.phase, TaskPhase::Exited(_)) && state.cache.job(&task.task.job).is_none()
        };
        if heartbeat.tasks.iter().any(is_unknown) {
            return None;
        }
        let token = self.granted_token(&state, &heartbeat.host, lease, now)?;
        let commands: Vec<Command> = heartbeat
            .tasks
            .iter()
            .filter(|status| state.cache.final_phase(&status.task.job).is_some())
            .map(|status| Command::Stop(status.task.clone(), status.attempt, Micros::ZERO))
            .collect();
        Some(Response::new(200, commands_body(token, None, &commands)))
    }

    /// Returns the fencing token that the owner of a host has granted to this controller's session.
    /// Returns `None` without a grant that is still valid.
    fn granted_token(
        &self,
        state: &State,
        host: &HostId,
        lease: u64,
        now: Micros,
    ) -> Option<FencingToken> {
        let partition_id = state.cache.hosts.get(host)?.value.partition()?;
        let part = state.delegation.requests.part_of(host)?;
        let delegate = delegation_part(&self.settings.member, part);
        let grant = state
            .cache
            .delegation_grants
            .get(&(partition_id, delegate))?;
        let token = *grant.value.hosts.get(host)?;
        let sent_at = state.delegation.requests.sent_at(grant.value.number)?;
        let delegation_time = self.settings.delegation_time();
        let margin = GRANT_MARGIN + delegation_time.scale(CLOCK_DRIFT_FRACTION);
        let is_valid = grant.value.lease == lease && now + margin < sent_at + delegation_time;
        is_valid.then_some(token)
    }

    /// Writes the requests when they change, and renews them regularly while they name hosts. Runs for
    /// as long as the controller.
    pub async fn delegation_request_loop(self: Rc<Self>) {
        loop {
            let woken = self.wakeups.delegation_requests.notified();
            let _ = timeout(CHECK_INTERVAL, woken).await;
            let Some((session, due)) = self.take_due_requests() else {
                continue;
            };
            if due.is_empty() {
                continue;
            }
            for request in due {
                self.clone()
                    .spawn(self.clone().write_delegation_request(session, request));
            }
            self.ping_unreached_peers();
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// Removes silent hosts from the requests and returns the requests to write now. Returns `None` if
    /// this controller has no session.
    fn take_due_requests(&self) -> Option<(OwnSession, Vec<DueRequest>)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let silence_max = self
            .settings
            .heartbeat_interval
            .scale(HOST_SILENCE_INTERVALS)
            + HOST_SILENCE_MARGIN;
        state.delegation.requests.remove_silent(silence_max, now);
        let Session::Held { lease, version } = state.authority.session() else {
            return None;
        };
        let interval = self.settings.delegation_time().scale(RENEWAL_FRACTION);
        let due = state.delegation.requests.take_due(interval, now);
        Some((OwnSession { lease, version }, due))
    }

    /// Writes a request to the store, or deletes the request's record if the request has no hosts.
    async fn write_delegation_request(self: Rc<Self>, session: OwnSession, request: DueRequest) {
        let own_member = &self.settings.member;
        let key = delegation_request_key(&delegation_part(own_member, request.part));
        let is_empty = request.hosts.is_empty();
        let change = if is_empty {
            Change::Delete { key }
        } else {
            let record = DelegationRequestRecord {
                number: request.number,
                lease: session.lease,
                hosts: request.hosts,
            };
            put_with_lease(key, &record, session.lease)
        };
        let guards = vec![guard(session_key(own_member), session.version)];
        let outcome = self
            .write(WritePriority::Accept, guards, vec![change], WRITE_TIMEOUT)
            .await;
        let may_be_stored = !is_empty || !matches!(outcome, WriteOutcome::Committed(_));
        let mut state = self.state.borrow_mut();
        state
            .delegation
            .requests
            .set_may_be_stored(request.part, may_be_stored);
    }

    /// Pings the peers that did not answer their last call, so that hosts return to their owners as
    /// soon as the owners can be reached.
    fn ping_unreached_peers(self: &Rc<Self>) {
        let unreached_peers: Vec<Member> = {
            let state = self.state.borrow();
            state.delegation.last_failure_at.keys().cloned().collect()
        };
        for member in unreached_peers {
            let Some(address) = self.address_of(&member) else {
                continue;
            };
            let shared = self.clone();
            self.clone().spawn(async move {
                let request = MeshRequest::IsStoreReachable;
                shared.mesh_call(address, request, PING_TIMEOUT).await;
            });
        }
    }
}
