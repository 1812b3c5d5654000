//! How requests leave the process. Tests put a simulated network behind the same trait. Owns the pool of
//! connections; the account of sockets is that of `jasperhill_connections`.

use crate::{clock::to_duration, settings::Settings};
use jasperhill_connections::{Class, PlanInputs};
use jasperhill_http::{Client, ClientError, ClientLimits, ConnectionTracker, Request, Response};
use std::{collections::BTreeMap, future::Future, net::SocketAddr, pin::Pin, time::Duration};

/// Idle connections to one address that are kept, at most: bounds the sockets that nothing goes on on.
const IDLE_PER_ADDRESS: usize = 4;
/// How long a worker waits for the answer to a heartbeat.
const WORKER_ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// A request under way.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Response, ClientError>> + 'a>>;

/// Sends requests to the state service, the cloud, other controllers and workers.
pub trait Transport {
    /// Sends one request and waits for the response until `limit` has passed; the error says whether
    /// it can have been executed.
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_>;
    /// The connections of this process, by what they are for.
    fn connection_tracker(&self) -> &ConnectionTracker;
}

/// The connection budget of a controller, before any machine is known.
pub fn new_connection_tracker(settings: &Settings) -> ConnectionTracker {
    let inputs = PlanInputs {
        max_connections: settings.max_connections,
        peers: settings.peers.len(),
        machines: 0,
    };
    // A worker sends a heartbeat after an interval and a quarter at the latest, and waits for an answer
    // before it goes elsewhere.
    let overdue = to_duration(settings.heartbeat_interval.scale(1.25)) + WORKER_ANSWER_LIMIT;
    ConnectionTracker::new(inputs, overdue)
}

/// What a connection from users, workers or the balancer is for, by what comes on it.
pub fn class_of(request: &Request) -> Class {
    match request.path() {
        "/hello" => Class::Heartbeats,
        "/ready" => Class::Health,
        _ => Class::Users,
    }
}

/// The transport of a real controller: HTTP with pooled connections.
pub struct HttpTransport {
    /// Pools the connections.
    client: Client,
    /// The connection budget.
    connections: ConnectionTracker,
}

impl HttpTransport {
    /// `connections`: the budget that [`new_connection_tracker`] makes.
    pub fn new(settings: &Settings, connections: ConnectionTracker) -> Self {
        let peers = settings.peers.iter().map(|p| (p.address, Class::Peers));
        let mut classes: BTreeMap<SocketAddr, Class> = peers.collect();
        classes.insert(settings.state, Class::State);
        classes.insert(settings.cloud, Class::Cloud);
        let class_of = move |to: SocketAddr| classes.get(&to).copied().unwrap_or(Class::Commands);
        let limits = ClientLimits {
            idle_per_address: IDLE_PER_ADDRESS,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(limits, connections.clone(), class_of),
            connections,
        }
    }
}

impl Transport for HttpTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        Box::pin(async move { self.client.call(to, &request, limit).await })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connections
    }
}
