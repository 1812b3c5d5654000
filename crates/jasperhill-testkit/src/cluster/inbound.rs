//! Requests of users, workers and the balancer to controllers.

use super::{HALF_OPEN, NODES, SimulatedCluster, asked};
use crate::{connections::InboundConnection, faults::Endpoint};
use jasperhill_http::{Method, Request, Response};
use std::{rc::Rc, time::Duration};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

impl SimulatedCluster {
    /// A request of a user or worker to some controller.
    /// It is handled even if whoever sent it no longer waits.
    /// `line`: the connection that whoever sent it has from the last time.
    pub(crate) async fn send_to_controller(
        self: &Rc<Self>,
        node: usize,
        request: Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<Response> {
        self.latency().await;
        let there = match line.take().filter(|l| self.is_open(l, node)) {
            Some(there) => there,
            None => self.open_connection(node)?,
        };
        let (world, (reply, answer)) = (self.clone(), tokio::sync::oneshot::channel());
        let ours = there.clone();
        spawn_local(async move {
            world.wait_while_stalled(node).await;
            let asked = asked(&request);
            let (future, life) = {
                let inner = world.inner.borrow();
                let Some(controller) = inner.nodes[node].as_ref() else {
                    return;
                };
                if !ours.begins(&request) {
                    let full = Response::new(503, b"{}".to_vec());
                    let _ = reply.send(full);
                    return;
                }
                (controller.handle(request), inner.generations[node])
            };
            let answer = future.await;
            world.transcribe(|t, at| t.answer(at, node, &asked, &answer));
            world.wait_while_stalled(node).await;
            ours.rests();
            if world.inner.borrow().generations[node] == life {
                let _ = reply.send(answer);
            }
        });
        let answer = timeout(Duration::from_secs(4), answer).await.ok()?.ok()?;
        *line = Some(there).filter(|l| l.is_open());
        Some(answer)
    }

    pub(crate) fn is_open(&self, line: &InboundConnection, node: usize) -> bool {
        line.node == node && line.is_open() && self.inner.borrow().generations[node] == line.life
    }

    /// The balancer resets the connections of a controller that has not been ready for a while.
    pub(crate) fn is_reset(&self, node: usize) -> bool {
        let since = self.inner.borrow().unready_since[node];
        since.is_some_and(|t| t.elapsed() >= Duration::from_secs(5))
    }

    /// A new connection into a controller.
    pub(crate) fn open_connection(&self, node: usize) -> Option<Rc<InboundConnection>> {
        let (platform, own, life) = {
            let inner = self.inner.borrow();
            let (platform, own) = inner.sockets[node].clone()?;
            (platform, own, inner.generations[node])
        };
        InboundConnection::open(node, life, &platform, &own)
    }

    /// A worker gives its connection up. Beyond a cut the controller does not hear of it.
    pub(crate) fn abandon_connection(
        self: &Rc<Self>,
        line: Option<Rc<InboundConnection>>,
        from: &Endpoint,
    ) {
        let Some(line) = line else { return };
        let now = Instant::now();
        let whole = self
            .inner
            .borrow()
            .faults
            .is_whole(from, &Endpoint::Node(line.node), now);
        if !whole {
            spawn_local(async move {
                sleep(HALF_OPEN).await;
                drop(line);
            });
        }
    }

    /// What a user gets: from whom it has a connection to, or from a healthy controller.
    pub async fn user_request(
        self: &Rc<Self>,
        request: &Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(u16, String)> {
        let (_, status, text) = self.user_request_with_responder(request, line).await?;
        Some((status, text))
    }

    /// With who answered.
    pub async fn user_request_with_responder(
        self: &Rc<Self>,
        request: &Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(usize, u16, String)> {
        let mut node = self.draw(NODES as u64) as usize;
        if line.as_ref().is_some_and(|l| self.is_reset(l.node)) {
            *line = None;
        }
        if let Some(there) = line.as_ref().filter(|l| self.is_open(l, l.node)) {
            node = there.node;
        } else {
            let healthy = self.inner.borrow().healthy.clone();
            let well = (0..NODES).map(|n| (node + n) % NODES).find(|n| healthy[*n]);
            node = well.unwrap_or(node);
        }
        let answer = self.send_to_controller(node, request.clone(), line).await?;
        let text = String::from_utf8(answer.body).unwrap();
        Some((node, answer.status, text))
    }

    /// The balancer asks every controller about once a second whether it is ready.
    pub(crate) async fn balancer_loop(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            for node in 0..NODES {
                let ask = Request::new(Method::Get, "/ready", Vec::new());
                let mut line = None;
                let answer = timeout(
                    Duration::from_secs(1),
                    self.send_to_controller(node, ask, &mut line),
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
