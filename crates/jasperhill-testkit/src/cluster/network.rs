//! Simulated network for controllers' requests: latency, connection limits and link faults.

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

/// Transport of one controller process over the simulated network.
pub(crate) struct SimTransport {
    pub(crate) cluster: Rc<SimulatedCluster>,
    pub(crate) node: usize,
    pub(crate) connections: OutboundConnections,
}

impl SimTransport {
    /// Returns the connection class for requests to the address `to`.
    fn class_of(&self, to: SocketAddr) -> Class {
        match self.cluster.endpoint_of(to) {
            Endpoint::Node(_) => Class::Peers,
            Endpoint::State => Class::State,
            Endpoint::Cloud => Class::Cloud,
            Endpoint::Zone(_) => Class::Commands,
        }
    }
}

impl Transport for SimTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        let (cluster, node) = (self.cluster.clone(), self.node);
        Box::pin(async move {
            cluster.add_to_transcript(|t, at| t.record_request(at, node, to, &request));
            let connection = match self.connections.take(to, self.class_of(to)) {
                Ok(connection) => connection,
                Err(NoConnection::Own) => return Err(ClientError::NoSocket),
                Err(NoConnection::Platform) => return Err(ClientError::NotSent),
            };
            match timeout(
                limit,
                cluster.clone().route_request(node, to, request, limit),
            )
            .await
            {
                Ok(result) => match result {
                    Ok(answer) if answer.body.len() > RESPONSE_BODY_MAX => {
                        Err(ClientError::TooLong)
                    }
                    Ok(answer) => {
                        self.connections.keep(to, connection);
                        Ok(answer)
                    }
                    Err(error) => Err(error),
                },
                Err(_) => Err(ClientError::NoAnswer),
            }
        })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connections.own
    }
}

impl SimulatedCluster {
    /// Returns the endpoint that the address `to` belongs to.
    pub(crate) fn endpoint_of(&self, to: SocketAddr) -> Endpoint {
        let SocketAddr::V4(v4) = to else {
            panic!("not IPv4")
        };
        let octets = v4.ip().octets();
        match octets[1] {
            0 => Endpoint::Node(octets[3] as usize - 1),
            2 if octets[3] == 1 => Endpoint::State,
            2 => Endpoint::Cloud,
            _ => {
                let inner = self.inner.borrow();
                let id = worker_id(to);
                let zone = inner.workers.get(&id).map_or("", |w| w.zone.as_str());
                Endpoint::Zone(zone.to_owned())
            }
        }
    }

    /// Routes a controller's request to its destination, applying latency and the faults that are
    /// active on the link.
    ///
    /// # Errors
    /// `NotSent` if no connection could be opened, `NoAnswer` if the request or its answer was
    /// lost.
    pub(crate) async fn route_request(
        self: Rc<Self>,
        node: usize,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        // A controller may stall between deciding to send a request and sending it.
        self.wait_while_stalled(node).await;
        self.delay_by_latency().await;
        let destination = self.endpoint_of(to);
        let now = Instant::now();
        let cut = self
            .inner
            .borrow()
            .faults
            .cut_until(&Endpoint::Node(node), &destination, now);
        if let Some(until) = cut {
            if self.draw(2) == 0 {
                // The connection attempt fails, and the request is never delivered.
                sleep(limit.min(Duration::from_millis(1_500))).await;
                return Err(ClientError::NotSent);
            }
            // The request is held back and delivered after the cut, when the sender no longer
            // waits.
            let cluster = self.clone();
            let late = until + Duration::from_millis(self.draw(2_000));
            spawn_local(async move {
                sleep_until(late).await;
                let _ = cluster.execute(node, to, request).await;
            });
            sleep(limit * 2).await;
            return Err(ClientError::NoAnswer);
        }
        let from = Endpoint::Node(node);
        let link_fault = self
            .inner
            .borrow()
            .faults
            .link_fault(&from, &destination, now);
        if let Some((kind, until)) = link_fault {
            return self
                .route_on_faulty_link(kind, until, (node, to), request, limit)
                .await;
        }
        let answer = self.execute(node, to, request.clone()).await;
        self.copy_answered_request(node, to, &request, &answer);
        let fault_after_execution =
            self.inner
                .borrow()
                .faults
                .link_fault(&from, &destination, Instant::now());
        match fault_after_execution.map(|(kind, _)| kind) {
            Some(LinkFault::Reset | LinkFault::Refused) => return Err(ClientError::NoAnswer),
            Some(LinkFault::Held | LinkFault::NoAnswers) => sleep(limit * 2).await,
            _ => {}
        }
        if self.draw(300) == 0 {
            // One answer in 300 is lost.
            sleep(limit * 2).await;
        }
        self.delay_by_latency().await;
        self.wait_while_stalled(node).await;
        answer
    }

    /// Routes a request over a link with the fault `kind`, which lasts until `until`.
    pub(crate) async fn route_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        (node, to): (usize, SocketAddr),
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        match kind {
            LinkFault::Held => {
                let cluster = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    let _ = cluster.execute(node, to, request).await;
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

/// Returns the id of the worker with the address `to`; the inverse of [`address`].
pub(crate) fn worker_id(to: SocketAddr) -> String {
    let SocketAddr::V4(v4) = to else {
        panic!("not IPv4")
    };
    let octets = v4.ip().octets();
    let id = format!(
        "n-{:06}",
        u32::from(octets[2]) * 200 + u32::from(octets[3]) - 1
    );
    debug_assert_eq!(address(&id), to.to_string());
    id
}
