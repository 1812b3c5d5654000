//! The mesh: messages between controllers, encoded as CBOR over HTTP. An unreachable peer is not an
//! error. The module owns no state, except that it updates [`crate::membership::IsolationState`]
//! while some members run a version without reachability reports.

use crate::{
    provisioner::state::{SpareCapacity, UnmetDemand},
    shared::Shared,
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::{
    Micros,
    mesh::{MISSING_HOSTS_MAX, MeshRequest, MeshResponse, decode, encode},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;

/// The store counts as reachable if the watch cache was up to date within this time: the state service
/// can't be expected to keep the cache any fresher.
const REACHABLE_CACHE_AGE_MAX: Micros = Micros::from_secs(6);
/// Path to which all mesh messages are sent.
const MESH_PATH: &str = "/mesh";
/// Interval at which isolation is evaluated.
const ISOLATION_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of asking one peer whether it reaches the store.
const ISOLATION_CALL_TIMEOUT: Micros = Micros::from_secs(1);
/// Number of consecutive evaluations that must show isolation before this controller counts as
/// isolated.
const ISOLATION_ROUNDS: u32 = 2;

/// Wraps the response to a worker's heartbeat into a mesh response, for the controller that relays it.
fn relayed_response(response: Response) -> MeshResponse {
    MeshResponse::HeartbeatRelayed {
        status: response.status,
        body: String::from_utf8(response.body).unwrap_or_default(),
    }
}

impl Shared {
    /// Returns whether the state service has answered this controller recently.
    fn is_store_reachable(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        now - state.authority.cache_fresh_until() < REACHABLE_CACHE_AGE_MAX
            && !state.stall_detector.is_store_silent(now)
    }

    /// Evaluates isolation while some members do not support reachability reports yet. Asks the
    /// peers while the state service does not answer this controller: if it answers the peers, they
    /// serve users better; if it answers nobody, no other controller would be better. Requires
    /// [`ISOLATION_ROUNDS`] consecutive results, since the peers may notice an outage slightly
    /// later.
    pub async fn legacy_isolation_loop(self: Rc<Self>) {
        let mut isolated_rounds = 0u32;
        loop {
            sleep(ISOLATION_INTERVAL).await;
            if self.uses_reachability(&self.state.borrow()) {
                // The reachability reports of the links determine isolation instead.
                continue;
            }
            let is_isolated = !self.is_store_reachable() && self.is_isolated_from_store().await;
            isolated_rounds = if is_isolated { isolated_rounds + 1 } else { 0 };
            self.state.borrow_mut().isolation.is_isolated = isolated_rounds >= ISOLATION_ROUNDS;
        }
    }

    /// Returns whether only this controller seems to be cut off from the store: a peer reaches the
    /// store, or there are peers and none of them answers.
    async fn is_isolated_from_store(&self) -> bool {
        let mut is_isolated = !self.settings.peers.is_empty();
        for peer in &self.settings.peers {
            let request = MeshRequest::IsStoreReachable;
            match self
                .mesh_call(peer.address, request, ISOLATION_CALL_TIMEOUT)
                .await
            {
                Some(MeshResponse::StoreReachable(true)) => return true,
                Some(MeshResponse::StoreReachable(false)) => is_isolated = false,
                _ => {}
            }
        }
        is_isolated
    }

    /// Sends a message to another controller. Returns `None` if the call fails or times out.
    pub async fn mesh_call(
        &self,
        to: SocketAddr,
        request: MeshRequest,
        timeout: Micros,
    ) -> Option<MeshResponse> {
        self.try_mesh_call(to, request, timeout).await.ok()
    }

    /// Sends a message to another controller, and records the outcome as an observation of the
    /// link.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if the peer certainly did not act on the message; after other
    /// errors it may have.
    pub async fn try_mesh_call(
        &self,
        to: SocketAddr,
        request: MeshRequest,
        timeout: Micros,
    ) -> Result<MeshResponse, ClientError> {
        let is_answered_at_once = matches!(
            request,
            MeshRequest::Reachability(_) | MeshRequest::IsStoreReachable
        );
        let body = encode(request).map_err(|_| ClientError::NotSent)?;
        let request = Request::new(Method::Post, MESH_PATH, body);
        let response = self.call(to, request, timeout).await;
        // A request that got no free socket in this process says nothing about the peer.
        if !matches!(response, Err(ClientError::NoSocket)) {
            self.record_peer_contact(to, response.is_ok(), is_answered_at_once);
        }
        let response = response?;
        if response.status != 200 {
            return Err(ClientError::NotSent);
        }
        decode(&response.body).map_err(|error| {
            tracing::warn!(%error, "malformed mesh response");
            ClientError::NoAnswer
        })
    }

    /// Handles an HTTP request from another controller: decodes the message, dispatches it and
    /// encodes the response.
    pub async fn serve_mesh(self: Rc<Self>, request: Request) -> Response {
        if request.method != Method::Post || request.path() != MESH_PATH {
            return Response::new(404, Vec::new());
        }
        if self.note_activity() {
            return Response::new(503, Vec::new());
        }
        let message = match decode::<MeshRequest>(&request.body) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(%error, "malformed mesh request");
                return Response::new(400, Vec::new());
            }
        };
        let reply = self.handle_mesh_request(message).await;
        let mut response = Response::new(200, encode(reply).unwrap_or_default());
        response.cbor = true;
        response
    }

    /// Dispatches a mesh message to its handler.
    async fn handle_mesh_request(self: Rc<Self>, message: MeshRequest) -> MeshResponse {
        match message {
            MeshRequest::Admit(job) => self.admit(*job).await,
            MeshRequest::TaskCounts(ids) => self.local_task_counts(&ids),
            MeshRequest::RelayHeartbeat(heartbeat) => {
                relayed_response(self.handle_relayed_heartbeat(heartbeat.as_bytes()).await)
            }
            MeshRequest::RelayHeartbeatOnward(heartbeat) => {
                relayed_response(self.relay_onward(heartbeat.as_bytes()).await)
            }
            MeshRequest::SpareCapacity {
                machines,
                boot_time,
            } => {
                self.state.borrow_mut().provisioning.spare_capacity = Some(SpareCapacity {
                    machines,
                    boot_time,
                    received_at: self.now(),
                });
                MeshResponse::Acknowledged
            }
            MeshRequest::UnmetDemand {
                partition,
                thousandths,
                mut missing,
            } => {
                if partition < self.settings.partition_count {
                    missing.truncate(MISSING_HOSTS_MAX);
                    let unmet_demand = UnmetDemand {
                        hosts: f64::from(thousandths) / 1e3,
                        missing,
                        received_at: self.now(),
                    };
                    self.state
                        .borrow_mut()
                        .provisioning
                        .unmet_demand
                        .insert(partition, unmet_demand);
                }
                MeshResponse::Acknowledged
            }
            MeshRequest::Reachability(report) => {
                MeshResponse::Reachability(Box::new(self.receive_reachability(&report)))
            }
            MeshRequest::RelayCommands { host, body } => self.relay_commands(host, body).await,
            MeshRequest::IsStoreReachable => {
                MeshResponse::StoreReachable(self.is_store_reachable())
            }
        }
    }
}
