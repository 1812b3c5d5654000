//! Outgoing requests. [`Transport`] is implemented by [`HttpTransport`], and by the simulated
//! network of tests. Owns the connection pool; `jasperhill_connections` does the accounting of
//! sockets.

use crate::{clock::to_duration, settings::Settings};
use jasperhill_connections::{Class, PlanInputs};
use jasperhill_http::{Client, ClientError, ClientLimits, ConnectionTracker, Request, Response};
use std::{collections::BTreeMap, future::Future, net::SocketAddr, pin::Pin, time::Duration};

/// Maximum number of idle connections that are kept per address; limits the number of unused sockets.
const IDLE_CONNECTIONS_PER_ADDRESS_MAX: usize = 4;
/// How long a worker waits for the response to a heartbeat.
const WORKER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// The future of a request in flight.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Response, ClientError>> + 'a>>;

/// Sends requests to the state service, the cloud, other controllers and workers.
pub trait Transport {
    /// Sends one request and waits for the response until `timeout` has passed.
    ///
    /// # Errors
    /// A [`ClientError`], which tells whether the request may have been executed.
    fn call(&self, to: SocketAddr, request: Request, timeout: Duration) -> Call<'_>;
    /// Returns the tracker of this process's connections by class.
    fn connection_tracker(&self) -> &ConnectionTracker;
}

/// Creates a connection tracker with the budget of a controller that knows no machine yet.
pub fn new_connection_tracker(settings: &Settings) -> ConnectionTracker {
    let inputs = PlanInputs {
        max_connections: settings.max_connections,
        peers: settings.peers.len(),
        machines: 0,
    };
    // A worker sends its next heartbeat after at most 1.25 intervals, and waits for the response
    // before it turns to another controller.
    let heartbeat_overdue_after =
        to_duration(settings.heartbeat_interval.scale(1.25)) + WORKER_RESPONSE_TIMEOUT;
    ConnectionTracker::new(inputs, heartbeat_overdue_after)
}

/// Returns the class of an incoming connection from a user, a worker or the load balancer, by the
/// path of its request.
pub fn class_of(request: &Request) -> Class {
    match request.path() {
        "/hello" => Class::Heartbeats,
        "/ready" => Class::Health,
        _ => Class::Users,
    }
}

/// The transport of a deployed controller: HTTP with pooled connections.
pub struct HttpTransport {
    /// HTTP client with the connection pool.
    client: Client,
    /// Tracker of the connections and their budget.
    connections: ConnectionTracker,
}

impl HttpTransport {
    /// Creates a transport. `connections`: the tracker from [`new_connection_tracker`].
    pub fn new(settings: &Settings, connections: ConnectionTracker) -> Self {
        let peers = settings
            .peers
            .iter()
            .map(|peer| (peer.address, Class::Peers));
        let mut classes: BTreeMap<SocketAddr, Class> = peers.collect();
        classes.insert(settings.state_service_address, Class::State);
        classes.insert(settings.cloud_address, Class::Cloud);
        let class_of = move |to: SocketAddr| classes.get(&to).copied().unwrap_or(Class::Commands);
        let limits = ClientLimits {
            idle_per_address: IDLE_CONNECTIONS_PER_ADDRESS_MAX,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(limits, connections.clone(), class_of),
            connections,
        }
    }
}

impl Transport for HttpTransport {
    fn call(&self, to: SocketAddr, request: Request, timeout: Duration) -> Call<'_> {
        Box::pin(async move { self.client.call(to, &request, timeout).await })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.connections
    }
}
