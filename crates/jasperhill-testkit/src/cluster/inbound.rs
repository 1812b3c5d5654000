//! Requests of users, workers and the load balancer to controllers, and the connections that carry
//! them.

use super::{HALF_OPEN_TIMEOUT, NODE_COUNT, SimulatedCluster, request_line};
use crate::{connections::InboundConnection, faults::Endpoint};
use jasperhill_http::{Method, Request, Response};
use std::{rc::Rc, time::Duration};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

impl SimulatedCluster {
    /// Sends a request to the controller `node` and waits up to 4 s for the answer. The controller
    /// handles the request even if the sender has stopped waiting.
    /// `kept_connection`: the sender's connection from an earlier request, replaced by the one used
    /// if that stays open.
    pub(crate) async fn send_to_controller(
        self: &Rc<Self>,
        node: usize,
        request: Request,
        kept_connection: &mut Option<Rc<InboundConnection>>,
    ) -> Option<Response> {
        self.delay_by_latency().await;
        let connection = match kept_connection.take().filter(|l| self.is_open(l, node)) {
            Some(connection) => connection,
            None => self.open_connection(node)?,
        };
        let (cluster, (reply, answer)) = (self.clone(), tokio::sync::oneshot::channel());
        let serving_connection = connection.clone();
        spawn_local(async move {
            cluster.wait_while_stalled(node).await;
            let request_line = request_line(&request);
            let (future, generation) = {
                let inner = cluster.inner.borrow();
                let Some(controller) = inner.nodes[node].as_ref() else {
                    return;
                };
                if !serving_connection.begins(&request) {
                    let full = Response::new(503, b"{}".to_vec());
                    let _ = reply.send(full);
                    return;
                }
                (controller.handle(request), inner.generations[node])
            };
            let answer = future.await;
            cluster.add_to_transcript(|t, at| t.record_answer(at, node, &request_line, &answer));
            cluster.wait_while_stalled(node).await;
            serving_connection.rests();
            if cluster.inner.borrow().generations[node] == generation {
                let _ = reply.send(answer);
            }
        });
        let answer = timeout(Duration::from_secs(4), answer).await.ok()?.ok()?;
        *kept_connection = Some(connection).filter(|l| l.is_open());
        Some(answer)
    }

    /// Returns whether the connection is open and leads to the running process of the controller
    /// `node`.
    pub(crate) fn is_open(&self, connection: &InboundConnection, node: usize) -> bool {
        connection.node == node
            && connection.is_open()
            && self.inner.borrow().generations[node] == connection.life
    }

    /// Returns whether the load balancer resets connections to `node`: its readiness probes have
    /// failed for at least 5 s.
    pub(crate) fn has_balancer_reset_connections(&self, node: usize) -> bool {
        let since = self.inner.borrow().unready_since[node];
        since.is_some_and(|t| t.elapsed() >= Duration::from_secs(5))
    }

    /// Opens a connection to the controller `node`. Returns `None` if the controller is down, or
    /// the platform or the controller's connection budget refuses the connection.
    pub(crate) fn open_connection(&self, node: usize) -> Option<Rc<InboundConnection>> {
        let (platform, own, generation) = {
            let inner = self.inner.borrow();
            let (platform, own) = inner.process_sockets[node].clone()?;
            (platform, own, inner.generations[node])
        };
        InboundConnection::open(node, generation, &platform, &own)
    }

    /// Closes a worker's connection. If the link has a fault, the controller is not told and keeps
    /// its end until the half-open timeout.
    pub(crate) fn abandon_connection(
        self: &Rc<Self>,
        connection: Option<Rc<InboundConnection>>,
        from: &Endpoint,
    ) {
        let Some(connection) = connection else { return };
        let now = Instant::now();
        let is_link_whole =
            self.inner
                .borrow()
                .faults
                .is_link_intact(from, &Endpoint::Node(connection.node), now);
        if !is_link_whole {
            spawn_local(async move {
                sleep(HALF_OPEN_TIMEOUT).await;
                drop(connection);
            });
        }
    }

    /// Sends a user's request over the user's open connection, or else to a healthy controller.
    /// Returns the status and the body.
    pub async fn user_request(
        self: &Rc<Self>,
        request: &Request,
        kept_connection: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(u16, String)> {
        let (_, status, text) = self
            .user_request_with_responder(request, kept_connection)
            .await?;
        Some((status, text))
    }

    /// As [`Self::user_request`], and also returns which controller answered.
    pub async fn user_request_with_responder(
        self: &Rc<Self>,
        request: &Request,
        kept_connection: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(usize, u16, String)> {
        let mut node = self.draw(NODE_COUNT as u64) as usize;
        if kept_connection
            .as_ref()
            .is_some_and(|l| self.has_balancer_reset_connections(l.node))
        {
            *kept_connection = None;
        }
        if let Some(connection) = kept_connection.as_ref().filter(|l| self.is_open(l, l.node)) {
            node = connection.node;
        } else {
            let healthy = self.inner.borrow().healthy.clone();
            let first_healthy = (0..NODE_COUNT)
                .map(|n| (node + n) % NODE_COUNT)
                .find(|n| healthy[*n]);
            node = first_healthy.unwrap_or(node);
        }
        let answer = self
            .send_to_controller(node, request.clone(), kept_connection)
            .await?;
        let text = String::from_utf8(answer.body).unwrap();
        Some((node, answer.status, text))
    }

    /// Probes the readiness of every controller about once a second.
    pub(crate) async fn balancer_loop(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            for node in 0..NODE_COUNT {
                let ask = Request::new(Method::Get, "/ready", Vec::new());
                let mut kept_connection = None;
                let answer = timeout(
                    Duration::from_secs(1),
                    self.send_to_controller(node, ask, &mut kept_connection),
                );
                let ready = matches!(answer.await, Ok(Some(a)) if a.status == 200);
                let now = Instant::now();
                let mut inner = self.inner.borrow_mut();
                inner.healthy[node] = ready;
                let since = &mut inner.unready_since[node];
                *since = (!ready).then(|| since.unwrap_or(now));
            }
        }
    }
}
