//! Requests to workers: sends requests directly or through another controller, depending on the state
//! of the links, and relays the command requests of other controllers to workers.

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

/// The timeout for a worker's answer to a request that is relayed for another controller.
const RELAY_TIMEOUT: Micros = Micros::from_millis(1_500);
/// The number of hosts that the failure of a relayed request is weighed against when the link to the
/// worker's zone is judged. The sender's own number of hosts is not known here.
const RELAYED_FAILURE_HOST_COUNT: usize = 3;

impl Shared {
    /// Sends a request to a worker, directly or through another controller. The worker may take up to
    /// `timeout` to answer.
    ///
    /// # Errors
    /// Returns the client's error. Returns `NotSent` also if there is no route to the worker, and
    /// `NoAnswer` if the worker may have executed the request.
    pub async fn call_worker(
        &self,
        worker: Worker<'_>,
        request: Request,
        timeout: Micros,
    ) -> Result<Response, ClientError> {
        match self.command_route(worker.zone) {
            CommandRoute::Direct => {
                let result = self.call(worker.address, request, timeout).await;
                self.observe_call_result(worker, &result);
                result
            }
            CommandRoute::Through(peer) => {
                let body = match request.method {
                    Method::Get => None,
                    _ => Some(String::from_utf8_lossy(&request.body).into_owned()),
                };
                let host = worker.host.clone();
                let relay_request = MeshRequest::RelayCommands { host, body };
                match self.try_mesh_call(peer, relay_request, timeout).await? {
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

    /// Records the result of a call as an observation of the link to the worker's zone. The error
    /// `NoSocket` is not recorded: this controller had no socket free, which says nothing about the
    /// link.
    fn observe_call_result(&self, worker: Worker<'_>, result: &Result<Response, ClientError>) {
        if !matches!(result, Err(ClientError::NoSocket)) {
            self.observe_worker(worker.zone, worker.host, worker.host_count, result.is_ok());
        }
    }

    /// Relays the commands of another controller to a worker. Without a body, requests the worker's
    /// status. The worker may execute the commands at any time from now on, so the sender counts the
    /// commands as in doubt unless the response says otherwise. Called by the mesh server.
    pub async fn relay_commands(&self, host: HostId, body: Option<String>) -> MeshResponse {
        let (slot, target) = {
            let state = self.state.borrow();
            let target = state.cache.hosts.get(&host).and_then(|record| {
                let address = record.value.address.parse::<SocketAddr>().ok()?;
                Some((address, record.value.zone.clone()))
            });
            (state.relay.slots.acquire_relayed_commands(), target)
        };
        let (Some(_slot), Some((address, zone))) = (slot, target) else {
            return MeshResponse::CommandsNotSent;
        };
        let request = match body {
            Some(body) => commands_request(body.into_bytes()),
            None => status_request(),
        };
        let result = self.call(address, request, RELAY_TIMEOUT).await;
        let worker = Worker {
            host: &host,
            zone: &zone,
            host_count: RELAYED_FAILURE_HOST_COUNT,
            address,
        };
        self.observe_call_result(worker, &result);
        match result {
            Ok(response) => MeshResponse::CommandsRelayed {
                status: response.status,
                body: String::from_utf8(response.body).unwrap_or_default(),
            },
            Err(ClientError::NotSent | ClientError::NoSocket) => MeshResponse::CommandsNotSent,
            Err(ClientError::NoAnswer | ClientError::TooLong) => MeshResponse::Unavailable,
        }
    }
}
