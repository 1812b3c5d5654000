//! How requests leave the process. Tests put stand-ins behind the same trait.

use crate::{clock::to_duration, settings::Settings};
use jasperhill_connections::{Class, PlanInputs};
use jasperhill_http::{Client, ClientError, ClientLimits, ConnectionTracker, Request, Response};
use std::{collections::BTreeMap, future::Future, net::SocketAddr, pin::Pin, time::Duration};

pub type Call<'a> = Pin<Box<dyn Future<Output = Result<Response, ClientError>> + 'a>>;

pub trait Transport {
    /// Sends one request; the error says whether it can have been executed.
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_>;
    /// The account of this process's sockets.
    fn connection_tracker(&self) -> &ConnectionTracker;
}

/// The account of a controller's sockets, before any machine is known.
pub fn new_connection_tracker(settings: &Settings) -> ConnectionTracker {
    let sizes = PlanInputs {
        most: settings.max_connections,
        peers: settings.peers.len(),
        machines: 0,
    };
    // A worker reports after a report's time and a quarter at the latest, and waits four seconds
    // for an answer before it goes elsewhere.
    let overdue = to_duration(settings.heartbeat_interval.scale(1.25)) + Duration::from_secs(4);
    ConnectionTracker::new(sizes, overdue)
}

/// What a connection from users, workers or the balancer is for, by what comes on it.
pub fn class_of(request: &Request) -> Class {
    match request.path() {
        "/hello" => Class::Heartbeats,
        "/ready" => Class::Health,
        _ => Class::Users,
    }
}

/// Idle connections to one address that are kept.
const IDLE_PER_ADDRESS: usize = 4;

pub struct HttpTransport {
    client: Client,
    sockets: ConnectionTracker,
}

impl HttpTransport {
    pub fn new(settings: &Settings, sockets: ConnectionTracker) -> Self {
        let peers = settings.peers.iter().map(|p| (p.address, Class::Peers));
        let mut known: BTreeMap<SocketAddr, Class> = peers.collect();
        known.insert(settings.state, Class::State);
        known.insert(settings.cloud, Class::Cloud);
        let class_of = move |to: SocketAddr| known.get(&to).copied().unwrap_or(Class::Commands);
        let limits = ClientLimits {
            idle_per_address: IDLE_PER_ADDRESS,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(limits, sockets.clone(), class_of),
            sockets,
        }
    }
}

impl Transport for HttpTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        Box::pin(async move { self.client.call(to, &request, limit).await })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.sockets
    }
}
