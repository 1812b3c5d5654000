//! The simulated network: what can happen to a controller's request on its way.

use super::SimulatedCluster;
use crate::{
    cloud::address,
    connections::{NoConnection, OutboundConnections},
    faults::{Endpoint, LinkFault},
};
use jasperhill_connections::Class;
use jasperhill_controller::{Transport, transport::Call};
use jasperhill_http::{
    ClientError, ConnectionTracker, Request, Response, client::RESPONSE_BODY_MAX,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout},
};

pub(crate) struct SimTransport {
    pub(crate) world: Rc<SimulatedCluster>,
    pub(crate) node: usize,
    pub(crate) lines: OutboundConnections,
}

impl SimTransport {
    fn class_of(&self, to: SocketAddr) -> Class {
        match self.world.place(to) {
            Endpoint::Node(_) => Class::Peers,
            Endpoint::State => Class::State,
            Endpoint::Cloud => Class::Cloud,
            Endpoint::Zone(_) => Class::Commands,
        }
    }
}

impl Transport for SimTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        let (world, node) = (self.world.clone(), self.node);
        Box::pin(async move {
            world.transcribe(|t, at| t.request(at, node, to, &request));
            let ends = match self.lines.take(to, self.class_of(to)) {
                Ok(ends) => ends,
                Err(NoConnection::Own) => return Err(ClientError::NoSocket),
                Err(NoConnection::Platform) => return Err(ClientError::NotSent),
            };
            match timeout(limit, world.clone().carry(node, to, request, limit)).await {
                Ok(result) => match result {
                    Ok(answer) if answer.body.len() > RESPONSE_BODY_MAX => {
                        Err(ClientError::TooLong)
                    }
                    Ok(answer) => {
                        self.lines.keep(to, ends);
                        Ok(answer)
                    }
                    Err(error) => Err(error),
                },
                Err(_) => Err(ClientError::NoAnswer),
            }
        })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.lines.own
    }
}

impl SimulatedCluster {
    pub(crate) fn place(&self, to: SocketAddr) -> Endpoint {
        let SocketAddr::V4(v4) = to else {
            panic!("not IPv4")
        };
        let o = v4.ip().octets();
        match o[1] {
            0 => Endpoint::Node(o[3] as usize - 1),
            2 if o[3] == 1 => Endpoint::State,
            2 => Endpoint::Cloud,
            _ => {
                let inner = self.inner.borrow();
                let id = worker_id(to);
                let zone = inner.workers.get(&id).map_or("", |w| w.zone.as_str());
                Endpoint::Zone(zone.to_owned())
            }
        }
    }

    /// One request of a controller, with all that can happen to it on the way.
    pub(crate) async fn carry(
        self: Rc<Self>,
        node: usize,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        // A standstill between the decision and its way out.
        self.wait_while_stalled(node).await;
        self.latency().await;
        let place = self.place(to);
        let now = Instant::now();
        let cut = self
            .inner
            .borrow()
            .faults
            .cut_until(&Endpoint::Node(node), &place, now);
        if let Some(until) = cut {
            if self.draw(2) == 0 {
                // A connection that does not come about: given up for good.
                sleep(limit.min(Duration::from_millis(1_500))).await;
                return Err(ClientError::NotSent);
            }
            // Held back, and delivered after the cut although nobody waits any more.
            let world = self.clone();
            let late = until + Duration::from_millis(self.draw(2_000));
            spawn_local(async move {
                sleep_until(late).await;
                let _ = world.execute(node, to, request).await;
            });
            sleep(limit * 2).await;
            return Err(ClientError::NoAnswer);
        }
        let from = Endpoint::Node(node);
        let link = self.inner.borrow().faults.on_link(&from, &place, now);
        if let Some((kind, until)) = link {
            return self
                .carry_on_faulty_link(kind, until, (node, to), request, limit)
                .await;
        }
        let answer = self.execute(node, to, request).await;
        let later = self
            .inner
            .borrow()
            .faults
            .on_link(&from, &place, Instant::now());
        match later.map(|(kind, _)| kind) {
            Some(LinkFault::Reset | LinkFault::Refused) => return Err(ClientError::NoAnswer),
            Some(LinkFault::Held | LinkFault::NoAnswers) => sleep(limit * 2).await,
            _ => {}
        }
        if self.draw(300) == 0 {
            // The answer is lost.
            sleep(limit * 2).await;
        }
        self.latency().await;
        self.wait_while_stalled(node).await;
        answer
    }

    /// A request on a link that does not do what it should.
    pub(crate) async fn carry_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        (node, to): (usize, SocketAddr),
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        match kind {
            LinkFault::Held => {
                let world = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    let _ = world.execute(node, to, request).await;
                });
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::Reset => {
                if self.draw(2) == 0 {
                    let _ = self.execute(node, to, request).await;
                }
                Err(ClientError::NoAnswer)
            }
            LinkFault::Refused => Err(ClientError::NotSent),
            LinkFault::NoAnswers => {
                let _ = self.execute(node, to, request).await;
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::NoRequests => {
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::Slow(ms) => {
                sleep(Duration::from_millis(ms)).await;
                let answer = self.execute(node, to, request).await;
                sleep(Duration::from_millis(ms)).await;
                answer
            }
            LinkFault::Lossy(percent) => {
                if self.draw(100) < percent {
                    sleep(limit * 2).await;
                }
                let answer = self.execute(node, to, request).await;
                if self.draw(100) < percent {
                    sleep(limit * 2).await;
                }
                answer
            }
        }
    }
}

pub(crate) fn worker_id(to: SocketAddr) -> String {
    let SocketAddr::V4(v4) = to else {
        panic!("not IPv4")
    };
    let o = v4.ip().octets();
    let id = format!("n-{:06}", u32::from(o[2]) * 200 + u32::from(o[3]) - 1);
    debug_assert_eq!(address(&id), to.to_string());
    id
}
