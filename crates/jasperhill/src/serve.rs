//! The subcommand `serve`: listens for users, workers and other controllers, and runs the controller
//! on a single-threaded runtime.

use crate::listen::listen;
use jasperhill_connections::Class;
use jasperhill_controller::{Clock, Controller, HttpTransport, Settings, transport};
use jasperhill_http::{Endpoint, ServerLimits, serve};
use std::{rc::Rc, time::Duration};
use tokio::task::LocalSet;

/// The backlog of a listener is this fraction of the platform's connection limit.
const BACKLOG_DIVISOR: usize = 17;
/// The least and the largest backlog (connections).
const BACKLOG_MIN: usize = 16;
const BACKLOG_MAX: usize = 256;
/// The listener for controllers has this fraction of the backlog: there are few of them.
const PEER_BACKLOG_DIVISOR: u32 = 4;
/// A connection of a worker is closed after this many heartbeat intervals without a request.
const WORKER_IDLE_INTERVALS: f64 = 2.5;

/// Runs a controller until the process is ended.
///
/// # Errors
///
/// The runtime cannot start, or an address cannot be bound.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async move {
        // Guards against a process that stalls while all workers connect: connections that wait to
        // be accepted count against the platform's limit, but not in the connection budget.
        let backlog = (settings.max_connections / BACKLOG_DIVISOR).clamp(BACKLOG_MIN, BACKLOG_MAX);
        let backlog = backlog as u32;
        let user_listener = listen(settings.bind, backlog).await?;
        let peer_listener = listen(settings.mesh, backlog / PEER_BACKLOG_DIVISOR).await?;
        tracing::info!(member = %settings.member, bind = %settings.bind, "jasperhill serves");
        let connections = transport::new_connection_tracker(&settings);
        // A worker sends a heartbeat after an interval and a quarter at the latest; after twice that
        // it has moved to another controller, and a partition may hide that it closed its end.
        let limits = ServerLimits {
            idle_worker: Duration::from_micros(
                settings.heartbeat_interval.scale(WORKER_IDLE_INTERVALS).0,
            ),
            ..ServerLimits::default()
        };
        let user_endpoint = Endpoint {
            connections: connections.clone(),
            class_of: transport::class_of,
            initial_class: Class::Accepted,
        };
        let peer_endpoint = Endpoint {
            connections: connections.clone(),
            class_of: |_| Class::Mesh,
            initial_class: Class::Mesh,
        };
        let transport_client = Rc::new(HttpTransport::new(&settings, connections));
        let controller = Rc::new(Controller::start(
            settings,
            Clock::system(),
            transport_client,
        ));
        let peer_controller = controller.clone();
        tokio::join!(
            serve(user_listener, user_endpoint, limits, move |request| {
                controller.handle(request)
            }),
            serve(peer_listener, peer_endpoint, limits, move |request| {
                peer_controller.handle_mesh(request)
            }),
        );
        Ok(())
    }))
}
