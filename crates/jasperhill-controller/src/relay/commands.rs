//! Requests to workers by the route that there is, and the commands that other controllers send by this
//! one.

use super::{
    requests::{commands_request, status_request},
    route::{CommandRoute, Worker},
};
use crate::shared::Shared;
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::{
    HostId, Micros,
    mesh::{MeshRequest, MeshResponse},
};
use std::net::SocketAddr;

/// How long a worker may take to answer a relayed request.
const RELAY_LIMIT: Micros = Micros::from_millis(1_500);
/// How many hosts the failure of a relayed request is weighed against, as the sender's number is not
/// known here.
const RELAY_HOST_COUNT: usize = 3;

impl Shared {
    /// Sends a worker a request by the route that there is. `limit`: how long the answer may take.
    ///
    /// # Errors
    /// `NotSent` also if there is no route; `NoAnswer` if the request may have been executed.
    pub async fn call_worker(
        &self,
        worker: Worker<'_>,
        request: Request,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        match self.command_route(worker.zone) {
            CommandRoute::Direct => {
                let answer = self.call(worker.address, request, limit).await;
                self.observe_answer(worker, &answer);
                answer
            }
            CommandRoute::Through(peer) => {
                let body = match request.method {
                    Method::Get => None,
                    _ => Some(String::from_utf8_lossy(&request.body).into_owned()),
                };
                let host = worker.host.clone();
                let relayed = MeshRequest::RelayCommands { host, body };
                match self.try_mesh_call(peer, relayed, limit).await? {
                    MeshResponse::CommandsRelayed { status, body } => {
                        Ok(Response::new(status, body.into_bytes()))
                    }
                    MeshResponse::CommandsNotSent => Err(ClientError::NotSent),
                    _ => Err(ClientError::NoAnswer),
                }
            }
            CommandRoute::None => Err(ClientError::NotSent),
        }
    }

    /// Notes what an answer, or its absence, says of the link to the worker's zone. A request that found
    /// no socket here says nothing of it.
    fn observe_answer(&self, worker: Worker<'_>, answer: &Result<Response, ClientError>) {
        if !matches!(answer, Err(ClientError::NoSocket)) {
            self.observe_worker(worker.zone, worker.host, worker.host_count, answer.is_ok());
        }
    }

    /// Relays the commands of another controller to a worker. They may be executed at any time from now
    /// on: unless the response says otherwise, the sender counts them as in doubt. Without a body, the
    /// worker is asked for its status. Called by the mesh server.
    pub async fn relay_commands(&self, host: HostId, body: Option<String>) -> MeshResponse {
        let (slot, target) = {
            let state = self.state.borrow();
            let target = state.cache.hosts.get(&host).and_then(|record| {
                let address = record.value.address.parse::<SocketAddr>().ok()?;
                Some((address, record.value.zone.clone()))
            });
            (state.relay.slots.relayed_commands(), target)
        };
        let (Some(_slot), Some((address, zone))) = (slot, target) else {
            return MeshResponse::CommandsNotSent;
        };
        let request = match body {
            Some(body) => commands_request(body.into_bytes()),
            None => status_request(),
        };
        let answer = self.call(address, request, RELAY_LIMIT).await;
        let worker = Worker {
            host: &host,
            zone: &zone,
            host_count: RELAY_HOST_COUNT,
            address,
        };
        self.observe_answer(worker, &answer);
        match answer {
            Ok(response) => MeshResponse::CommandsRelayed {
                status: response.status,
                body: String::from_utf8(response.body).unwrap_or_default(),
            },
            Err(ClientError::NotSent | ClientError::NoSocket) => MeshResponse::CommandsNotSent,
            Err(ClientError::NoAnswer | ClientError::TooLong) => MeshResponse::Unavailable,
        }
    }
}
