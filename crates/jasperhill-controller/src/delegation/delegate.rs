//! As a delegate: requesting to answer for hosts that can't reach their owners, and answering them.

use super::requests::{DueRequest, JoinOutcome};
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

/// Hosts that fit a request whatever their names, as a part of a value's bytes.
const HOST_BYTES: usize = 40;
/// Bytes of a request beyond its hosts.
const REQUEST_OVERHEAD: usize = 256;
/// How long a heartbeat may wait for the grant; the worker waits four seconds.
const GRANT_WAIT: Duration = Duration::from_millis(2_200);
/// Hosts that come soon after one another are requested together.
const REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// How often requests are checked when nothing wakes the loop.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The part of the delegation time after which a request is written again.
const RENEWAL_SHARE: f64 = 0.25;
/// A host that was not heard for so many intervals between heartbeats, and `SILENT_MARGIN`, has left.
const SILENT_INTERVALS: f64 = 2.5;
/// See `SILENT_INTERVALS`: lets one heartbeat be late.
const SILENT_MARGIN: Micros = Micros::from_secs(5);
/// How long before the grant ends a delegate stops answering, for the way of the response.
const GRANT_MARGIN: Micros = Micros::from_millis(200);
/// The part of the delegation time that is added to `GRANT_MARGIN`, as clocks run at different rates.
const CLOCK_DRIFT: f64 = 0.002;
/// How long the write of a request is tried.
const WRITE_LIMIT: Micros = Micros::from_secs(1);
/// How long a peer may take to answer.
const PING_LIMIT: Micros = Micros::from_secs(1);

/// This controller's session with the store.
#[derive(Clone, Copy)]
struct OwnSession {
    /// The lease of the session in the store.
    lease: u64,
    /// The version of the session's record.
    version: Revision,
}

impl Shared {
    /// Answers a heartbeat for the owner if that has granted it, or does so in a moment.
    pub async fn answer_as_delegate(self: &Rc<Self>, heartbeat: &Heartbeat) -> Option<Response> {
        match self.request_delegation(&heartbeat.host) {
            JoinOutcome::Added => self.wake.delegation_requests.notify_one(),
            JoinOutcome::Renewed => {}
            JoinOutcome::Full => return None,
        }
        let granted = timeout(GRANT_WAIT, async {
            loop {
                let grants_changed = self.wake.grants_changed.notified();
                if let Some(response) = self.delegate_response(heartbeat) {
                    return response;
                }
                grants_changed.await;
            }
        });
        granted.await.ok()
    }

    /// Adds a host to the requests; `Full` also for a name that is too long.
    fn request_delegation(&self, host: &HostId) -> JoinOutcome {
        let now = self.now();
        if host.as_str().len() > HOST_BYTES / 2 {
            return JoinOutcome::Full;
        }
        let hosts_max = self.settings.value_bytes.saturating_sub(REQUEST_OVERHEAD) / HOST_BYTES;
        let mut state = self.state.borrow_mut();
        state.delegation.requests.join(host, hosts_max, now)
    }

    /// The response for the owner: it renews the lease and stops what is cancelled. `None` without a
    /// grant that is still valid.
    fn delegate_response(&self, heartbeat: &Heartbeat) -> Option<Response> {
        let now = self.now();
        let state = self.state.borrow();
        let Session::Held { lease, .. } = state.authority.session() else {
            return None;
        };
        // The bound on cancellations: whoever renews a host's lease knows what is to be stopped there.
        let known_as_of = state.authority.fresh();
        let answers_until = self.settings.bounds.delegate_until(known_as_of);
        if !state.authority.holds(now) || now >= answers_until {
            return None;
        }
        // Guards against a bare renewal for a task of a job that is not known here: it may be cancelled
        // as well as just accepted.
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

    /// The fencing token that the owner of a host has granted to this controller's session; `None`
    /// without a grant that is still valid.
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
        let margin = GRANT_MARGIN + delegation_time.scale(CLOCK_DRIFT);
        let is_valid = grant.value.lease == lease && now + margin < sent_at + delegation_time;
        is_valid.then_some(token)
    }

    /// Writes the requests when they change, and again and again while there are hosts to answer for, for
    /// as long as the controller lives.
    pub async fn delegation_request_loop(self: Rc<Self>) {
        loop {
            let woken = self.wake.delegation_requests.notified();
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
            self.ping_unreached();
            sleep(REQUEST_PAUSE).await;
        }
    }

    /// The requests to be written now, after hosts that have left are removed; `None` without a session.
    fn take_due_requests(&self) -> Option<(OwnSession, Vec<DueRequest>)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let silence = self.settings.heartbeat_interval.scale(SILENT_INTERVALS) + SILENT_MARGIN;
        state.delegation.requests.remove_silent(silence, now);
        let Session::Held { lease, version } = state.authority.session() else {
            return None;
        };
        let interval = self.settings.delegation_time().scale(RENEWAL_SHARE);
        let due = state.delegation.requests.due(interval, now);
        Some((OwnSession { lease, version }, due))
    }

    /// Writes a request, or deletes the record of one without hosts.
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
            .write(WritePriority::Accept, guards, vec![change], WRITE_LIMIT)
            .await;
        let written = !is_empty || !matches!(outcome, WriteOutcome::Committed(_));
        let mut state = self.state.borrow_mut();
        state.delegation.requests.set_written(request.part, written);
    }

    /// Calls those peers that did not answer, so that hosts go back to their owners as soon as these can
    /// be reached.
    fn ping_unreached(self: &Rc<Self>) {
        let unreached: Vec<Member> = {
            let state = self.state.borrow();
            state.delegation.unreached_peers.keys().cloned().collect()
        };
        for member in unreached {
            let Some(address) = self.address_of(&member) else {
                continue;
            };
            let shared = self.clone();
            self.clone().spawn(async move {
                let request = MeshRequest::IsStoreReachable;
                shared.mesh_call(address, request, PING_LIMIT).await;
            });
        }
    }
}
