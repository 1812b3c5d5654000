//! The mesh between controllers: CBOR over HTTP. One that can't be reached is no error.

use crate::{
    provisioner::state::{SpareCapacity, UnmetDemand},
    shared::Shared,
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::{
    Micros,
    mesh::{MeshRequest, MeshResponse, decode, encode},
};
use std::{net::SocketAddr, rc::Rc};

/// A watch cache heard from within this time is as good as the state service gives.
pub(crate) const FRESH: Micros = Micros::from_secs(6);

/// What a worker is to be told, on its way back through another controller.
fn as_relayed(answer: Response) -> MeshResponse {
    MeshResponse::HeartbeatRelayed {
        status: answer.status,
        body: String::from_utf8(answer.body).unwrap_or_default(),
    }
}

impl Shared {
    /// The state service has answered this controller lately.
    fn is_store_reachable(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        now - state.authority.fresh() < FRESH && !state.stalls.is_store_silent(now)
    }

    /// Looks around while the state service is silent: if it answers the others, users are
    /// better served there; if nobody gets an answer, there is no better place to go. Twice in
    /// a row, since the others may notice an outage a little later.
    pub async fn legacy_isolation_loop(self: Rc<Self>) {
        let mut rounds = 0u32;
        loop {
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            if self.uses_reachability(&self.state.borrow()) {
                // Told by the links.
                continue;
            }
            let stale = !self.is_store_reachable();
            let mut alone = stale && !self.settings.peers.is_empty();
            if stale {
                for peer in &self.settings.peers {
                    match self
                        .mesh_call(
                            peer.address,
                            MeshRequest::IsStoreReachable,
                            Micros::from_secs(1),
                        )
                        .await
                    {
                        Some(MeshResponse::StoreReachable(true)) => {
                            alone = true;
                            break;
                        }
                        Some(MeshResponse::StoreReachable(false)) => alone = false,
                        _ => {}
                    }
                }
            }
            rounds = if alone { rounds + 1 } else { 0 };
            self.state.borrow_mut().isolation.isolated = rounds >= 2;
        }
    }

    pub async fn mesh_call(
        &self,
        to: SocketAddr,
        ask: MeshRequest,
        limit: Micros,
    ) -> Option<MeshResponse> {
        self.try_mesh_call(to, ask, limit).await.ok()
    }

    /// As `ask`; the error says whether the message can have been acted on.
    pub async fn try_mesh_call(
        &self,
        to: SocketAddr,
        ask: MeshRequest,
        limit: Micros,
    ) -> Result<MeshResponse, ClientError> {
        let short = matches!(
            ask,
            MeshRequest::Reachability(_) | MeshRequest::IsStoreReachable
        );
        let body = encode(ask).map_err(|_| ClientError::NotSent)?;
        let request = Request::new(Method::Post, "/mesh", body);
        let answer = self.call(to, request, limit).await;
        // What found no socket here says nothing of the peer.
        if !matches!(answer, Err(ClientError::NoSocket)) {
            self.record_peer_contact(to, answer.is_ok(), short);
        }
        let answer = answer?;
        if answer.status != 200 {
            return Err(ClientError::NotSent);
        }
        decode(&answer.body).map_err(|error| {
            tracing::warn!(%error, "a mesh answer that is not understood");
            ClientError::NoAnswer
        })
    }

    pub async fn serve_mesh(self: Rc<Self>, request: Request) -> Response {
        if request.method != Method::Post || request.path() != "/mesh" {
            return Response::new(404, Vec::new());
        }
        if self.note_activity() {
            return Response::new(503, Vec::new());
        }
        let answer = match decode::<MeshRequest>(&request.body) {
            Ok(MeshRequest::Admit(job)) => self.admit(*job).await,
            Ok(MeshRequest::TaskCounts(ids)) => self.local_task_counts(&ids),
            Ok(MeshRequest::RelayHeartbeat(report)) => {
                as_relayed(self.handle_relayed_heartbeat(report.as_bytes()).await)
            }
            Ok(MeshRequest::RelayHeartbeatOnward(report)) => {
                as_relayed(self.relay_onward(report.as_bytes()).await)
            }
            Ok(MeshRequest::SpareCapacity {
                machines,
                boot_time,
            }) => {
                self.state.borrow_mut().provisioning.spare_capacity = Some(SpareCapacity {
                    machines,
                    boot_time,
                    at: self.now(),
                });
                MeshResponse::Acknowledged
            }
            Ok(MeshRequest::UnmetDemand {
                partition,
                thousandths,
            }) => {
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
            Ok(MeshRequest::Reachability(theirs)) => {
                MeshResponse::Reachability(Box::new(self.receive_reachability(&theirs)))
            }
            Ok(MeshRequest::RelayCommands { host, body }) => self.relay_commands(host, body).await,
            Ok(MeshRequest::IsStoreReachable) => {
                MeshResponse::StoreReachable(self.is_store_reachable())
            }
            Err(error) => {
                tracing::warn!(%error, "a mesh message that is not understood");
                return Response::new(400, Vec::new());
            }
        };
        let mut response = Response::new(200, encode(answer).unwrap_or_default());
        response.cbor = true;
        response
    }
}
