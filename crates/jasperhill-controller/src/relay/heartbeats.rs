//! Relaying heartbeats to their owners, and the owners' responses back.

use crate::{heartbeats::response::redirect, shared::Shared};
use jasperhill_http::Response;
use jasperhill_wire::{
    HostId, Member, Micros,
    mesh::{MeshRequest, MeshResponse},
    record::Role,
    worker::{Heartbeat, redirected_to},
};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// A worker waits four seconds for a response: within this an owner that is just changing is asked again.
const RELAY_LIMIT: Micros = Micros::from_millis(3_200);
/// How long one attempt may take.
const ATTEMPT_LIMIT: Micros = Micros::from_millis(1_500);
/// With less time left, an attempt is not worth making.
const ATTEMPT_TIME_MIN: Micros = Micros::from_millis(200);
/// Between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What one attempt to relay a heartbeat has led to.
enum RelayAttempt {
    /// The response to the worker.
    Answered(Response),
    /// That controller owns the role by a later version.
    Moved(Member),
    /// Not answered; to be tried again.
    Failed,
}

impl Shared {
    /// Relays a heartbeat to its owner and returns the owner's response; `None` if there was none until
    /// `deadline`, or too many heartbeats are being relayed.
    pub async fn relay_to_owner(
        self: &Rc<Self>,
        owner: Member,
        host: &HostId,
        body: &[u8],
        deadline: Micros,
    ) -> Option<Response> {
        let _slot = self.state.borrow().relay.slots.relayed_heartbeat()?;
        let deadline = deadline.min(self.now() + RELAY_LIMIT);
        let mut target = owner;
        loop {
            let time_left = deadline - self.now();
            if time_left <= ATTEMPT_TIME_MIN {
                return None;
            }
            let limit = time_left.min(ATTEMPT_LIMIT);
            match self.try_relay_to_owner(&target, host, body, limit).await? {
                RelayAttempt::Answered(response) => return Some(response),
                RelayAttempt::Moved(owner) => {
                    target = owner;
                    continue;
                }
                RelayAttempt::Failed => {}
            }
            if !self.uses_reachability(&self.state.borrow()) || !self.reaches_peer(&target) {
                return None;
            }
            // The role may just be moving.
            sleep(RETRY_PAUSE).await;
            target = self.other_owner_of(host)?;
        }
    }

    /// Relays a heartbeat to its owner once; `None` if the owner is not configured here.
    async fn try_relay_to_owner(
        &self,
        owner: &Member,
        host: &HostId,
        body: &[u8],
        limit: Micros,
    ) -> Option<RelayAttempt> {
        let address = self.address_of(owner)?;
        let request = MeshRequest::RelayHeartbeat(String::from_utf8_lossy(body).into_owned());
        let (status, body) = match self.mesh_call(address, request, limit).await {
            Some(MeshResponse::HeartbeatRelayed { status, body }) => (status, body),
            _ => (0, String::new()),
        };
        match status {
            200 => {
                let response = Response::new(200, body.into_bytes());
                Some(RelayAttempt::Answered(response))
            }
            421 => Some(match redirected_to(body.as_bytes()) {
                Some(other) if &other != owner && other != self.settings.member => {
                    RelayAttempt::Moved(other)
                }
                Some(_) => RelayAttempt::Failed,
                // The owner reaches the worker by now.
                None => {
                    let now = self.now();
                    let mut state = self.state.borrow_mut();
                    state.relay.record_redirect(host.clone(), now);
                    RelayAttempt::Answered(redirect(Some(owner)))
                }
            }),
            _ => {
                tracing::debug!(%host, to = %owner, status, "relayed heartbeat not answered");
                Some(RelayAttempt::Failed)
            }
        }
    }

    /// The owner of a host's partition, or the leader for a host without one; `None` if that is this
    /// controller.
    fn other_owner_of(&self, host: &HostId) -> Option<Member> {
        let state = self.state.borrow();
        let record = state.cache.hosts.get(host);
        let role = record
            .and_then(|record| record.value.partition())
            .map_or(Role::Leader, Role::Partition);
        let owner = self.latest_owner(&state, role);
        owner.filter(|member| member != &self.settings.member)
    }

    /// Relays a heartbeat by a controller that hears its owner. `None` without an owner's response.
    pub async fn relay_through(&self, peer: &Member, body: &[u8]) -> Option<Response> {
        let _slot = self.state.borrow().relay.slots.relayed_heartbeat()?;
        let address = self.address_of(peer)?;
        let body = String::from_utf8_lossy(body).into_owned();
        let request = MeshRequest::RelayHeartbeatOnward(body);
        match self.mesh_call(address, request, RELAY_LIMIT).await? {
            MeshResponse::HeartbeatRelayed { status: 200, body } => {
                Some(Response::new(200, body.into_bytes()))
            }
            _ => None,
        }
    }

    /// Answers a heartbeat whose sender does not hear its owner: relayed one step further, no more.
    /// Called by the mesh server.
    pub async fn relay_onward(self: &Rc<Self>, body: &[u8]) -> Response {
        let response = self.handle_relayed_heartbeat(body).await;
        let owner = match response.status {
            421 => redirected_to(&response.body),
            _ => None,
        };
        match (owner, Heartbeat::parse(body)) {
            (Some(owner), Ok(heartbeat)) => {
                let deadline = self.now() + RELAY_LIMIT;
                let relayed = self.relay_to_owner(owner, &heartbeat.host, body, deadline);
                relayed.await.unwrap_or(response)
            }
            _ => response,
        }
    }
}
