//! The mesh between controllers: CBOR over HTTP. A peer that can't be reached is no error. Owns no state,
//! except that it decides on isolation while some members run a version without reachability.

use crate::{
    provisioner::state::{SpareCapacity, UnmetDemand},
    shared::Shared,
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::{
    Micros,
    mesh::{MeshRequest, MeshResponse, decode, encode},
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::sleep;

/// A watch cache that was up to date within this time is as good as the state service gives.
const FRESH_PERIOD: Micros = Micros::from_secs(6);
/// Where all messages of the mesh are sent.
const MESH_PATH: &str = "/mesh";
/// How often isolation is decided on.
const ISOLATION_INTERVAL: Duration = Duration::from_secs(1);
/// How long a peer's answer about the store is waited for.
const ISOLATION_CALL_LIMIT: Micros = Micros::from_secs(1);
/// Rounds in a row after which this controller counts as isolated.
const ISOLATION_ROUNDS: u32 = 2;

/// The reply to a worker's heartbeat, on its way back through another controller.
fn as_relayed(answer: Response) -> MeshResponse {
    MeshResponse::HeartbeatRelayed {
        status: answer.status,
        body: String::from_utf8(answer.body).unwrap_or_default(),
    }
}

impl Shared {
    /// Whether the state service has answered this controller lately.
    fn is_store_reachable(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        now - state.authority.fresh() < FRESH_PERIOD && !state.stalls.is_store_silent(now)
    }

    /// Decides on isolation while some members do not take part in reachability yet. Asks the peers
    /// while the state service is silent: if it answers the others, users are better served there; if
    /// nobody gets an answer, there is no better place to go. Isolated only after several rounds in a
    /// row, since the others may notice an outage a little later.
    pub async fn legacy_isolation_loop(self: Rc<Self>) {
        let mut rounds = 0u32;
        loop {
            sleep(ISOLATION_INTERVAL).await;
            if self.uses_reachability(&self.state.borrow()) {
                // Decided by the reachability of the links.
                continue;
            }
            let isolated = !self.is_store_reachable() && self.is_isolated_from_store().await;
            rounds = if isolated { rounds + 1 } else { 0 };
            self.state.borrow_mut().isolation.isolated = rounds >= ISOLATION_ROUNDS;
        }
    }

    /// Whether this controller alone seems to be cut off from the store: a peer reaches it, or none of
    /// the peers answers.
    async fn is_isolated_from_store(&self) -> bool {
        let mut isolated = !self.settings.peers.is_empty();
        for peer in &self.settings.peers {
            let request = MeshRequest::IsStoreReachable;
            match self
                .mesh_call(peer.address, request, ISOLATION_CALL_LIMIT)
                .await
            {
                Some(MeshResponse::StoreReachable(true)) => return true,
                Some(MeshResponse::StoreReachable(false)) => isolated = false,
                _ => {}
            }
        }
        isolated
    }

    /// Sends a message to another controller; `None` if no answer came in time.
    pub async fn mesh_call(
        &self,
        to: SocketAddr,
        request: MeshRequest,
        limit: Micros,
    ) -> Option<MeshResponse> {
        self.try_mesh_call(to, request, limit).await.ok()
    }

    /// Sends a message to another controller, and notes what that shows of the link.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] if the peer surely did not act on the message; otherwise it may have.
    pub async fn try_mesh_call(
        &self,
        to: SocketAddr,
        request: MeshRequest,
        limit: Micros,
    ) -> Result<MeshResponse, ClientError> {
        let short = matches!(
            request,
            MeshRequest::Reachability(_) | MeshRequest::IsStoreReachable
        );
        let body = encode(request).map_err(|_| ClientError::NotSent)?;
        let request = Request::new(Method::Post, MESH_PATH, body);
        let answer = self.call(to, request, limit).await;
        // A request that found no free socket here says nothing of the peer.
        if !matches!(answer, Err(ClientError::NoSocket)) {
            self.record_peer_contact(to, answer.is_ok(), short);
        }
        let answer = answer?;
        if answer.status != 200 {
            return Err(ClientError::NotSent);
        }
        decode(&answer.body).map_err(|error| {
            tracing::warn!(%error, "malformed mesh response");
            ClientError::NoAnswer
        })
    }

    /// Answers a message of another controller.
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
        let answer = self.handle_mesh_request(message).await;
        let mut response = Response::new(200, encode(answer).unwrap_or_default());
        response.cbor = true;
        response
    }

    /// Does what a message asks for.
    async fn handle_mesh_request(self: Rc<Self>, message: MeshRequest) -> MeshResponse {
        match message {
            MeshRequest::Admit(job) => self.admit(*job).await,
            MeshRequest::TaskCounts(ids) => self.local_task_counts(&ids),
            MeshRequest::RelayHeartbeat(report) => {
                as_relayed(self.handle_relayed_heartbeat(report.as_bytes()).await)
            }
            MeshRequest::RelayHeartbeatOnward(report) => {
                as_relayed(self.relay_onward(report.as_bytes()).await)
            }
            MeshRequest::SpareCapacity {
                machines,
                boot_time,
            } => {
                self.state.borrow_mut().provisioning.spare_capacity = Some(SpareCapacity {
                    machines,
                    boot_time,
                    at: self.now(),
                });
                MeshResponse::Acknowledged
            }
            MeshRequest::UnmetDemand {
                partition,
                thousandths,
            } => {
                if partition < self.settings.size {
                    let unmet = UnmetDemand {
                        hosts: f64::from(thousandths) / 1e3,
                        at: self.now(),
                    };
                    self.state
                        .borrow_mut()
                        .provisioning
                        .unmet_demand
                        .insert(partition, unmet);
                }
                MeshResponse::Acknowledged
            }
            MeshRequest::Reachability(theirs) => {
                MeshResponse::Reachability(Box::new(self.receive_reachability(&theirs)))
            }
            MeshRequest::RelayCommands { host, body } => self.relay_commands(host, body).await,
            MeshRequest::IsStoreReachable => {
                MeshResponse::StoreReachable(self.is_store_reachable())
            }
        }
    }
}
