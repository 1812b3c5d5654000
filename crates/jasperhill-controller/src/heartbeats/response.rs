//! Responses to heartbeats: 200 with the fencing token and commands if this controller owns the
//! worker's partition, 421 with the owner's name if another controller does, and 503 if no known
//! controller may answer now.

use crate::{
    commands::{log::CommandMessage, tokens::raise_token_to_clear},
    shared::Shared,
    state::State,
};
use jasperhill_connections::limiter;
use jasperhill_http::Response;
use jasperhill_membership::reachability::LinkId;
use jasperhill_scheduler::{HeartbeatSource, HostInput};
use jasperhill_wire::{
    HostId, Member, Micros,
    mesh::LinkState,
    record::Role,
    worker::{Heartbeat, commands_body, redirect_body},
};
use std::rc::Rc;

/// Returns a 503 response: this controller may not answer now, and the worker is to try another one.
pub(super) fn unavailable() -> Response {
    Response::new(503, b"{\"error\":\"not entitled to answer\"}".to_vec()).retry_after(1)
}

/// Returns a 421 response: the worker is to send its heartbeat to controller `to`. With `None`, the
/// worker is to try any other controller; if the heartbeat was relayed, `None` means that the worker
/// can reach the responding controller directly.
pub(crate) fn redirect(to: Option<&Member>) -> Response {
    Response::new(421, redirect_body(to))
}

/// Parses the body of a heartbeat request.
///
/// # Errors
/// Returns the 400 response if the body is not a valid heartbeat.
pub(super) fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, Response> {
    Heartbeat::parse(body).map_err(|error| {
        tracing::warn!(%error, "malformed heartbeat");
        let text = serde_json::Value::from(error.to_string());
        Response::new(400, format!("{{\"error\":{text}}}").into_bytes())
    })
}

/// The response to a worker, with the owner that the response redirects to.
pub(super) struct HeartbeatReply {
    /// The response to the worker.
    pub response: Response,
    /// The other controller that the response names as the owner. `None` if this controller answers
    /// itself, or if no known controller can answer.
    pub owner: Option<Member>,
}

/// The controller that answers the heartbeats of a host.
enum Responder {
    /// This controller, as the owner of the partition with this number.
    Partition(u32),
    /// Another controller, or no controller at the moment. The value is the reply that names the other
    /// owner or refuses the heartbeat.
    Elsewhere(HeartbeatReply),
}

impl Shared {
    /// Returns this controller's reply to a heartbeat. A reply with status 200 has renewed the worker's
    /// lease.
    ///
    /// # Errors
    /// Returns the refusal to send if neither this controller nor another one that it knows of can
    /// answer.
    pub(super) fn answer_heartbeat(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatReply, Response> {
        let now = self.now();
        let responder = self.responder(&self.state.borrow(), &heartbeat.host, now)?;
        match responder {
            Responder::Partition(partition_id) => {
                self.renew_worker_lease(heartbeat, partition_id, now)
            }
            Responder::Elsewhere(reply) => Ok(reply),
        }
    }

    /// Returns which controller answers the heartbeats of a host.
    ///
    /// # Errors
    /// Returns the refusal to send if no controller is known that could answer.
    fn responder(&self, state: &State, host: &HostId, now: Micros) -> Result<Responder, Response> {
        let Some(record) = state.cache.hosts.get(host) else {
            if state.provisioning.leader.is_some() && state.authority.is_valid_at(now) {
                // This controller is the leader and has not registered the host yet.
                return Err(unavailable());
            }
            let leader = self.latest_owner(state, Role::Leader);
            return Ok(Responder::Elsewhere(self.redirect_to(leader)));
        };
        let Some(partition_id) = record.value.partition() else {
            // A stale watch cache may have missed changes of the host's record; the leader knows them.
            let is_cache_stale =
                state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
            let leader = self
                .latest_owner(state, Role::Leader)
                .filter(|_| is_cache_stale);
            return match self.redirect_to(leader) {
                reply @ HeartbeatReply { owner: Some(_), .. } => Ok(Responder::Elsewhere(reply)),
                _ => Err(redirect(None)),
            };
        };
        if state.scheduling.partitions.contains_key(&partition_id) {
            return Ok(Responder::Partition(partition_id));
        }
        let owner = self.latest_owner(state, Role::Partition(partition_id));
        Ok(Responder::Elsewhere(self.redirect_to(owner)))
    }

    /// Answers a heartbeat as the owner of its partition, which renews the worker's lease.
    ///
    /// # Errors
    /// Returns the 503 response if this controller may not renew the lease now.
    fn renew_worker_lease(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        partition_id: u32,
        received_at: Micros,
    ) -> Result<HeartbeatReply, Response> {
        let host_id = &heartbeat.host;
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let Some(partition) = state.scheduling.partitions.get_mut(&partition_id) else {
            return Err(unavailable());
        };
        if !state.authority.is_valid_at(received_at) {
            return Err(unavailable());
        }
        partition.on_heartbeat(heartbeat, HeartbeatSource::Heartbeat, received_at);
        raise_token_to_clear(&state.cache, partition, host_id, received_at);
        let commands = partition.commands(host_id);
        let Some(host) = partition.hosts.get(host_id) else {
            return Err(unavailable());
        };
        let (token, known_as_of) = (host.token, host.outstanding_starts_known_as_of());
        // The authority is checked again here, as this response renews a lease and carries commands.
        let now = self.now();
        let is_known_state_too_old = known_as_of.is_some_and(|known| {
            now >= self.settings.freshness_bounds.owner_may_renew_until(known)
        });
        if !state.authority.is_valid_at(now) || is_known_state_too_old {
            return Err(unavailable());
        }
        state.commands.metrics.record_message(
            host,
            CommandMessage::HeartbeatResponse,
            &commands,
            state.cache.revision,
        );
        partition.apply(host_id, HostInput::Answered(&commands), now);
        if partition.needs_scheduling {
            self.wakeups.scheduler.notify_one();
        }
        let is_store_down =
            state.membership.reachability.own_link(&LinkId::Store) == LinkState::Down;
        state.heartbeats.answered_without_store += u32::from(is_store_down);
        let host_heard = limiter::Input::HeartbeatReceived((partition_id, host_id.clone()));
        let ready_hosts = state.commands.limiter.apply(host_heard, now);
        drop(state_guard);
        self.send_commands(ready_hosts);
        Ok(HeartbeatReply {
            response: Response::new(200, commands_body(token, None, &commands)),
            owner: None,
        })
    }

    /// Returns the reply that redirects a worker to the owner. Returns a 503 reply if there is no
    /// owner, or if the owner is this controller.
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
}
