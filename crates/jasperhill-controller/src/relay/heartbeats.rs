//! Relays heartbeats to the owners of their partitions, and the owners' responses back to the workers.

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

/// The time limit for relaying a heartbeat, including further attempts while its partition changes
/// owners. Workers wait four seconds for a response.
const RELAY_TIMEOUT: Micros = Micros::from_millis(3_200);
/// The timeout for one attempt to relay a heartbeat.
const ATTEMPT_TIMEOUT: Micros = Micros::from_millis(1_500);
/// The least remaining time with which another attempt is made; less is too short to be worth an
/// attempt.
const MIN_ATTEMPT_TIME: Micros = Micros::from_millis(200);
/// The pause between two attempts to relay a heartbeat.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The outcome of one attempt to relay a heartbeat.
enum RelayAttempt {
    /// The owner answered; this is the response to the worker.
    Answered(Response),
    /// The response names another controller, which owns the role by a later version.
    Moved(Member),
    /// The owner did not answer; another attempt may succeed.
    Failed,
}

impl Shared {
    /// Relays a heartbeat to its owner and returns the owner's response. Returns `None` if no response
    /// arrives before `deadline`, if the owner can't be reached, or if too many heartbeats are being
    /// relayed.
    pub async fn relay_to_owner(
        self: &Rc<Self>,
        owner: Member,
        host: &HostId,
        body: &[u8],
        deadline: Micros,
    ) -> Option<Response> {
        let _slot = self
            .state
            .borrow()
            .relay
            .slots
            .acquire_relayed_heartbeat()?;
        let deadline = deadline.min(self.now() + RELAY_TIMEOUT);
        let mut target = owner;
        loop {
            let time_left = deadline - self.now();
            if time_left <= MIN_ATTEMPT_TIME {
                return None;
            }
            let timeout = time_left.min(ATTEMPT_TIMEOUT);
            match self
                .try_relay_to_owner(&target, host, body, timeout)
                .await?
            {
                RelayAttempt::Answered(response) => return Some(response),
                RelayAttempt::Moved(owner) => {
                    target = owner;
                    continue;
                }
                RelayAttempt::Failed => {}
            }
            if !self.uses_reachability(&self.state.borrow()) || !self.is_peer_reachable(&target) {
                return None;
            }
            // The role may be moving to another controller, so the owner is looked up again after a
            // pause.
            sleep(RETRY_PAUSE).await;
            target = self.remote_owner_of(host)?;
        }
    }

    /// Makes one attempt to relay a heartbeat to its owner. Returns `None` if this controller has no
    /// address for the owner.
    async fn try_relay_to_owner(
        &self,
        owner: &Member,
        host: &HostId,
        body: &[u8],
        timeout: Micros,
    ) -> Option<RelayAttempt> {
        let address = self.address_of(owner)?;
        let request = MeshRequest::RelayHeartbeat(String::from_utf8_lossy(body).into_owned());
        let (status, body) = match self.mesh_call(address, request, timeout).await {
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
                // A 421 that names no controller means that the owner can reach the worker directly
                // again, so the worker is redirected to the owner.
                None => {
                    let now = self.now();
                    let mut state = self.state.borrow_mut();
                    state.relay.record_redirect(host.clone(), now);
                    RelayAttempt::Answered(redirect(Some(owner)))
                }
            }),
            _ => {
                tracing::debug!(%host, %owner, status, "relayed heartbeat not answered");
                Some(RelayAttempt::Failed)
            }
        }
    }

    /// Returns the owner of a host's partition, or the leader for a host without a partition. Returns
    /// `None` if there is no owner, or if the owner is this controller.
    fn remote_owner_of(&self, host: &HostId) -> Option<Member> {
        let state = self.state.borrow();
        let record = state.cache.hosts.get(host);
        let role = record
            .and_then(|record| record.value.partition())
            .map_or(Role::Leader, Role::Partition);
        let owner = self.latest_owner(&state, role);
        owner.filter(|member| member != &self.settings.member)
    }

    /// Relays a heartbeat through another controller that can reach the owner. Returns `None` if the
    /// owner's response does not arrive.
    pub async fn relay_through_peer(&self, peer: &Member, body: &[u8]) -> Option<Response> {
        let _slot = self
            .state
            .borrow()
            .relay
            .slots
            .acquire_relayed_heartbeat()?;
        let address = self.address_of(peer)?;
        let body = String::from_utf8_lossy(body).into_owned();
        let request = MeshRequest::RelayHeartbeatOnward(body);
        match self.mesh_call(address, request, RELAY_TIMEOUT).await? {
            MeshResponse::HeartbeatRelayed { status: 200, body } => {
                Some(Response::new(200, body.into_bytes()))
            }
            _ => None,
        }
    }

    /// Answers a heartbeat that a controller sends which can't reach the owner: relays the heartbeat to
    /// the owner. A heartbeat is relayed onward only once. Called by the mesh server.
    pub async fn relay_onward(self: &Rc<Self>, body: &[u8]) -> Response {
        let response = self.handle_relayed_heartbeat(body).await;
        let owner = match response.status {
            421 => redirected_to(&response.body),
            _ => None,
        };
        match (owner, Heartbeat::parse(body)) {
            (Some(owner), Ok(heartbeat)) => {
                let deadline = self.now() + RELAY_TIMEOUT;
                let relay = self.relay_to_owner(owner, &heartbeat.host, body, deadline);
                relay.await.unwrap_or(response)
            }
            _ => response,
        }
    }
}
